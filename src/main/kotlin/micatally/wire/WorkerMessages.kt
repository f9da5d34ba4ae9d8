package micatally.wire

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/**
 * A task on a worker, in the list of its [Heartbeat].
 *
 * @property attempt number of the attempt under which a controller started the task
 * @property status one of [STATUSES]
 * @property exitReasonText the worker's word for why the task has ended; null if it has not ended
 * @property isSaved whether the task saved a checkpoint before it ended
 */
data class ListedTask(
    val jobId: String,
    val taskIndex: Int,
    val attempt: Long,
    val status: String,
    val exitReasonText: String?,
    val isSaved: Boolean,
) {
    val isEnded get() = status == ENDED

    /** Whether the task has ended by completing. */
    val isDone get() = isEnded && exitReason == ExitReason.DONE

    /** Why the task has ended; null if it has not ended, or if this program does not know the worker's word. */
    val exitReason get() = ExitReason.of(exitReasonText)

    /** The values of [status]. */
    companion object {
        /** The image is being pulled. */
        const val PULLING = "pulling"

        /** A task of a gang that has its image and waits for the other tasks. */
        const val WAITING = "waiting"
        const val RUNNING = "running"

        /** The task is saving a checkpoint before it stops. */
        const val SAVING = "saving"
        const val ENDED = "ended"

        val STATUSES = setOf(PULLING, WAITING, RUNNING, SAVING, ENDED)
    }
}

/** Why a task has ended, as reported by its worker. [word] is the name of the reason in the protocol. */
enum class ExitReason(
    val word: String,
) {
    DONE("done"),

    /** Stopped on the command of a controller. */
    STOPPED("stopped"),
    ERROR("error"),

    /** Refused: the machine has too little free capacity. */
    FULL("full"),

    /** Refused: another attempt of the same task is on the machine. */
    IN_USE("in_use"),

    /** Refused: the worker does not know the job, or the job has no such task. */
    UNKNOWN("unknown"),

    /** Ended because another task of the gang is gone. */
    PEERS("peers"),

    /** Ended because the gang was not complete in time. */
    ALONE("alone"),
    ;

    /** Finds a reason by its word. */
    companion object {
        /** Null if [word] is null or unknown. */
        fun of(word: String?): ExitReason? = entries.find { it.word == word }
    }
}

/**
 * The state of a worker. Sent by the worker to a controller as a heartbeat, and as the response to commands.
 *
 * Field names in the protocol: `stint` is [incarnation], `tick` is [sequence], `baton` is [token], `recall_s` is
 * [spotNoticeS].
 *
 * @property addr host and port of the worker
 * @property type label of its [MachineType]
 * @property isSpot whether it is a spot instance
 * @property incarnation number that grows with each restart of the worker
 * @property sequence number that grows with each message within an incarnation
 * @property token highest fencing token that the worker has seen; 0 if none
 * @property spotNoticeS time until the spot instance is reclaimed, in seconds; null if there is no notice
 * @property tasks all tasks on the worker, including ended ones that no controller has cleared yet
 */
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
    /** Parses a heartbeat. */
    companion object {
        /** Names of the fields that are known; others need not be read. */
        val KNOWN_FIELDS =
            setOf("car", "addr", "rig", "circuit", "loaners", "stint", "tick", "baton", "recall_s", "laps")

        /** @throws MalformedMessage naming the first field that is missing or wrong */
        fun parse(json: JsonObject): Heartbeat =
            Heartbeat(
                json.text("car"),
                json.text("addr"),
                json.text("rig"),
                json.text("circuit"),
                json.flag("loaners"),
                json.long("stint"),
                json.long("tick"),
                json.longOrNull("baton") ?: 0,
                json.numberOrNull("recall_s"),
                (json.listOrNull("laps") ?: emptyList()).map { parseTask(it.asObject()) },
            )

        private fun parseTask(json: JsonObject): ListedTask {
            val taskName = json.text("lap")
            val slash = taskName.lastIndexOf('/')
            val taskIndex = if (slash < 0) null else taskName.substring(slash + 1).toIntOrNull()
            if (taskIndex == null) throw MalformedMessage("lap must look like j-000412/3")
            val isSaved = (json["saved"] as? JsonPrimitive)?.booleanOrNull ?: false
            return ListedTask(
                taskName.substring(0, slash),
                taskIndex,
                json.long("start"),
                json.text("status"),
                json.textOrNull("retire_reason"),
                isSaved,
            )
        }
    }
}

/** What a [Command] asks for. [word] is its name in the protocol. */
enum class CommandType(
    val word: String,
) {
    /** Start the task. */
    RUN("run"),

    /** Stop the task. */
    KILL("kill"),

    /** Remove an ended task from the worker's list. */
    CLEAR("clear"),
}

/**
 * A command about one task. Sent by a controller to a worker, in a [commandRequest] or a [heartbeatResponse].
 *
 * @property attempt number of the attempt under which the task is or was started
 * @property graceS for [CommandType.KILL], the time to save a checkpoint before the task is stopped, in seconds; null
 *   for the other types
 */
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

/**
 * The body of a controller's request to a worker. The worker responds with a [Heartbeat].
 *
 * @param token the controller's fencing token. A worker that has seen a higher one refuses the request.
 * @param incarnation incarnation of the worker that the commands are meant for
 */
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

/**
 * The body of a controller's response to a worker's [Heartbeat].
 *
 * @param token the controller's fencing token
 */
fun heartbeatResponse(
    token: Long,
    commands: List<Command>,
): JsonObject =
    buildJsonObject {
        put("baton", token)
        put("radio", JsonArray(commands.map { it.json() }))
    }
