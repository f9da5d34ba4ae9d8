package micatally.wire

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Kind of a job. [word] is its name in the protocol. */
enum class Format(
    val word: String,
) {
    /** A job array: tasks that run to completion independently. */
    ARRAY("sweep"),

    /** Replicas that run until the job is cancelled. */
    SERVICE("daemon"),

    /** Tasks that run only if all of them run at the same time. */
    GANG("gang"),
}

/**
 * Priority of a job. The constants go from the most to the least important. Controllers send each other the ordinal, so
 * their order is part of the protocol.
 *
 * @property word name of the priority in the protocol
 */
enum class Priority(
    val word: String,
) {
    PRODUCTION("production"),
    HIGH("high"),
    STANDARD("standard"),
    LOW("low"),
}

/**
 * A job as its user submitted it: the fields of the request body, after their validation.
 *
 * @property jobClass class of similar jobs, chosen by the user
 * @property resources resources that one task takes
 * @property imageGb size of the image, in gigabytes
 * @property types labels of the machine types that its tasks may run on; null for all
 * @property zone the only zone that its tasks may run in; null for all
 * @property together whether all its tasks have to be in the same zone. If it is a service, its waiting tasks are then
 *   also placed all at once or not at all.
 * @property scatter whether each zone may hold at most half of its tasks, rounded up
 * @property isSpot whether its tasks may run on spot instances
 * @property estimateS expected run time of one task, in seconds
 * @property checkpointS interval between checkpoints, in seconds; 0 if its tasks save none
 * @property saveS time that it takes to save a checkpoint, in seconds
 * @property deadlineS time from the submission within which the job should be done, in seconds; null for none. It is
 *   stored but has no effect.
 * @property source the known fields as submitted, which are stored in the job's record
 */
class JobSpec(
    val jobId: String,
    val jobClass: String,
    val team: String,
    val format: Format,
    val priority: Priority,
    val taskCount: Int,
    val resources: Resources,
    val image: String,
    val imageGb: Double,
    val types: Set<String>?,
    val zone: String?,
    val together: Boolean,
    val scatter: Boolean,
    val isSpot: Boolean,
    val estimateS: Double,
    val checkpointS: Double,
    val saveS: Double,
    val deadlineS: Double?,
    val source: JsonObject,
) {
    val isService get() = format == Format.SERVICE
    val isGang get() = format == Format.GANG

    /** Whether its waiting tasks are placed all at once or not at all. */
    val isAllOrNothing get() = isGang || isService && together

    /** Parses a submitted job. */
    companion object {
        const val MAX_TASKS = 100_000
        private const val MAX_TEXT_LENGTH = 200
        private val JOB_ID = Regex("j-[0-9]{1,18}")

        /** Names of the fields that are known; others are neither read nor stored. */
        val KNOWN_FIELDS: Set<String> =
            setOf(
                "ref",
                "lane",
                "crew",
                "format",
                "grid",
                "laps",
                "cores",
                "cards",
                "ram_gb",
                "livery",
                "size_gb",
                "chassis",
                "circuit",
                "together",
                "scatter",
                "loaners",
                "lap_time_s",
                "sector_s",
                "pit_stop_s",
                "flag_s",
            )

        /** Whether [jobId] has the form of j-000412: `j-` and 1 to 18 digits. */
        fun isValidId(jobId: String) = JOB_ID.matches(jobId)

        /** @throws MalformedMessage naming the first field that is missing or wrong */
        fun parse(json: JsonObject): JobSpec {
            val jobId = json.text("ref")
            if (!isValidId(jobId)) throw MalformedMessage("ref must look like j-000412")
            val taskCount = json.long("laps")
            if (taskCount !in 1..MAX_TASKS) throw MalformedMessage("laps must be from 1 to $MAX_TASKS")
            val types = parseTypes(json)
            val image = boundedText(json, "livery")
            return JobSpec(
                jobId,
                boundedText(json, "lane"),
                boundedText(json, "crew"),
                Format.entries.find { it.word == json.text("format") }
                    ?: throw MalformedMessage("format must be sweep, daemon or gang"),
                Priority.entries.find { it.word == json.text("grid") }
                    ?: throw MalformedMessage("grid must be production, high, standard or low"),
                taskCount.toInt(),
                Resources(nonNegative(json, "cores"), nonNegative(json, "cards"), nonNegative(json, "ram_gb")),
                image,
                nonNegative(json, "size_gb"),
                types,
                json.textOrNull("circuit"),
                json.flag("together"),
                json.flag("scatter"),
                json.flag("loaners"),
                nonNegative(json, "lap_time_s"),
                nonNegative(json, "sector_s"),
                nonNegative(json, "pit_stop_s"),
                json.numberOrNull("flag_s")?.also { if (it < 0) throw MalformedMessage("flag_s must not be negative") },
                JsonObject(json.filterKeys { it in KNOWN_FIELDS }),
            )
        }

        private fun parseTypes(json: JsonObject): Set<String>? {
            val types = json.listOrNull("chassis")?.map { parseType(it) }?.toSet() ?: return null
            if (types.isEmpty()) throw MalformedMessage("chassis must not be empty")
            return types
        }

        private fun parseType(element: JsonElement): String =
            try {
                element.asText()
            } catch (e: MalformedMessage) {
                throw MalformedMessage("chassis must hold strings", e)
            }

        private fun boundedText(
            json: JsonObject,
            name: String,
        ) = json.text(name).also {
            if (it.isEmpty() || it.length > MAX_TEXT_LENGTH) {
                throw MalformedMessage("$name must have 1 to $MAX_TEXT_LENGTH characters")
            }
        }

        private fun nonNegative(
            json: JsonObject,
            name: String,
        ) = json.number(name).also {
            if (it < 0) throw MalformedMessage("$name must not be negative")
        }
    }
}
