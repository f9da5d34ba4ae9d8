package micatally.wire

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** One task on one machine under one attempt, as a worker lists it. */
data class ListedTask(
    val jobId: String,
    val taskIndex: Int,
    val attempt: Long,
    val status: String,
    val exitReasonText: String?,
    val isSaved: Boolean,
) {
    val isEnded get() = status == ENDED
    val isDone get() = isEnded && exitReason == ExitReason.DONE
    val exitReason get() = ExitReason.of(exitReasonText)

    companion object {
        const val PULLING = "pulling"

        /** A gang's task that has its image and waits for the others. */
        const val WAITING = "waiting"
        const val RUNNING = "running"
        const val SAVING = "saving"
        const val ENDED = "ended"
        val STATUSES = setOf(PULLING, WAITING, RUNNING, SAVING, ENDED)
    }
}

/** Why a task has ended, as its worker says. */
enum class ExitReason(
    val word: String,
) {
    DONE("done"),
    STOPPED("stopped"),
    ERROR("error"),
    FULL("full"),
    IN_USE("in_use"),
    UNKNOWN("unknown"),

    /** Another task of the gang is gone. */
    PEERS("peers"),

    /** The gang was not complete in time. */
    ALONE("alone"),
    ;

    companion object {
        fun of(word: String?): ExitReason? = entries.find { it.word == word }
    }
}

/** A worker's report; the protocol's stint is the session, its tick the order of messages, its baton the token. */
class Heartbeat(
    val machine: String,
    val addr: String,
    val type: String,
    val zone: String,
    val isSpot: Boolean,
    val incarnation: Long,
    val sequence: Long,
    val token: Long,
    val spotNoticeS: Double?,
    val tasks: List<ListedTask>,
) {
    companion object {
        fun parse(o: JsonObject): Heartbeat =
            Heartbeat(
                o.text("car"),
                o.text("addr"),
                o.text("rig"),
                o.text("circuit"),
                o.flag("loaners"),
                o.long("stint"),
                o.long("tick"),
                o.longOrNull("baton") ?: 0,
                o.numberOrNull("recall_s"),
                (o.listOrNull("laps") ?: emptyList()).map { task(it.asObject()) },
            )

        private fun task(o: JsonObject): ListedTask {
            val name = o.text("lap")
            val slash = name.lastIndexOf('/')
            val taskIndex = if (slash < 0) null else name.substring(slash + 1).toIntOrNull()
            if (taskIndex == null) throw MalformedMessage("lap must look like j-000412/3")
            val isSaved = (o["saved"] as? JsonPrimitive)?.booleanOrNull ?: false
            return ListedTask(
                name.substring(0, slash),
                taskIndex,
                o.long("start"),
                o.text("status"),
                o.textOrNull("retire_reason"),
                isSaved,
            )
        }
    }
}

enum class CommandType(
    val word: String,
) {
    RUN("run"),
    KILL("kill"),
    CLEAR("clear"),
}

class Command(
    val type: CommandType,
    val jobId: String,
    val taskIndex: Int,
    val attempt: Long,
    val graceS: Double? = null,
) {
    fun json() =
        buildJsonObject {
            put("call", type.word)
            put("lap", "$jobId/$taskIndex")
            put("start", attempt)
            if (graceS != null) put("cooldown_s", graceS)
        }
}

fun commandRequest(
    token: Long,
    incarnation: Long,
    commands: List<Command>,
): JsonObject =
    buildJsonObject {
        put("baton", token)
        put("stint", incarnation)
        put("radio", JsonArray(commands.map { it.json() }))
    }

fun heartbeatResponse(
    token: Long,
    commands: List<Command>,
): JsonObject =
    buildJsonObject {
        put("baton", token)
        put("radio", JsonArray(commands.map { it.json() }))
    }
