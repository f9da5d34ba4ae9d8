package micatally.wire

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Tasks that run to completion independently, replicas that run until cancelled, and tasks that run only all together. */
enum class Format(
    val word: String,
) {
    ARRAY("sweep"),
    SERVICE("daemon"),
    GANG("gang"),
}

/** The order is the order of importance, the first being the most important. */
enum class Priority(
    val word: String,
) {
    PRODUCTION("production"),
    HIGH("high"),
    STANDARD("standard"),
    LOW("low"),
}

/** What a task takes of its machine. */
data class Resources(
    val cores: Double,
    val gpus: Double,
    val memoryGb: Double,
) {
    operator fun plus(o: Resources) = Resources(cores + o.cores, gpus + o.gpus, memoryGb + o.memoryGb)

    operator fun minus(o: Resources) = Resources(cores - o.cores, gpus - o.gpus, memoryGb - o.memoryGb)

    operator fun times(n: Int) = Resources(cores * n, gpus * n, memoryGb * n)

    fun fitsIn(o: Resources) = cores <= o.cores + SLACK && gpus <= o.gpus + SLACK && memoryGb <= o.memoryGb + SLACK

    /** How many of it fit in [room]; a dimension that it does not take sets no bound. */
    fun countIn(room: Resources): Int {
        fun count(
            one: Double,
            all: Double,
        ) = if (one <=
            0
        ) {
            Int.MAX_VALUE
        } else {
            ((all + SLACK) / one).toInt().coerceAtLeast(0)
        }
        return minOf(count(cores, room.cores), count(gpus, room.gpus), count(memoryGb, room.memoryGb))
    }

    companion object {
        /** Sums of decimal amounts are compared with this much room for rounding. */
        const val SLACK = 1e-6
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}

/** A job as its user submitted it. Parsed once, checked field by field. */
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
    val isPlacedWhole get() = isGang || isService && together

    companion object {
        const val MAX_TASKS = 100_000
        private val REF = Regex("j-[0-9]{1,18}")
        private val FIELDS =
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

        fun isValidId(jobId: String) = REF.matches(jobId)

        fun parse(o: JsonObject): JobSpec {
            val jobId = o.text("ref")
            if (!isValidId(jobId)) throw MalformedMessage("ref must look like j-000412")
            val taskCount = o.long("laps")
            if (taskCount !in 1..MAX_TASKS) throw MalformedMessage("laps must be from 1 to $MAX_TASKS")
            val types =
                o
                    .listOrNull("chassis")
                    ?.map {
                        try {
                            it.asText()
                        } catch (e: MalformedMessage) {
                            throw MalformedMessage("chassis must hold strings")
                        }
                    }?.toSet()
            if (types != null && types.isEmpty()) throw MalformedMessage("chassis must not be empty")
            val image = word(o, "livery")
            return JobSpec(
                jobId,
                word(o, "lane"),
                word(o, "crew"),
                Format.entries.find { it.word == o.text("format") }
                    ?: throw MalformedMessage("format must be sweep, daemon or gang"),
                Priority.entries.find { it.word == o.text("grid") }
                    ?: throw MalformedMessage("grid must be production, high, standard or low"),
                taskCount.toInt(),
                Resources(amount(o, "cores"), amount(o, "cards"), amount(o, "ram_gb")),
                image,
                amount(o, "size_gb"),
                types,
                o.textOrNull("circuit"),
                o.flag("together"),
                o.flag("scatter"),
                o.flag("loaners"),
                amount(o, "lap_time_s"),
                amount(o, "sector_s"),
                amount(o, "pit_stop_s"),
                o.numberOrNull("flag_s")?.also { if (it < 0) throw MalformedMessage("flag_s must not be negative") },
                JsonObject(o.filterKeys { it in FIELDS }),
            )
        }

        private fun word(
            o: JsonObject,
            name: String,
        ) = o.text(name).also {
            if (it.isEmpty() || it.length > 200) throw MalformedMessage("$name must have 1 to 200 characters")
        }

        private fun amount(
            o: JsonObject,
            name: String,
        ) = o.number(name).also {
            if (it < 0) throw MalformedMessage("$name must not be negative")
        }
    }
}

/** What users are told of a job. */
data class JobAnswer(
    val jobId: String,
    val status: String,
    val doneCount: Int,
    val runningCount: Int,
) {
    fun json() =
        buildJsonObject {
            put("ref", jobId)
            put("status", status)
            put("done", doneCount)
            put("running", runningCount)
        }

    fun brief() =
        buildJsonObject {
            put("ref", jobId)
            put("status", status)
        }

    companion object {
        const val PENDING = "pending"
        const val RUNNING = "running"
        const val DONE = "done"
        const val CANCELLED = "withdrawn"
    }
}
