package micatally.sim

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.wire.JobSpec
import kotlin.random.Random

/** Creates random jobs of all formats and sizes: services, job arrays and gangs. */
class RandomJobs(
    private val random: Random,
    private val zones: List<String>,
) {
    /**
     * Returns a random job with this number in its id. Numbers from [FIRST_GANG_NUMBER] on give gangs. The jobs of a
     * seed depend on the order of the random draws.
     */
    fun job(number: Int): JobSpec {
        val isGang = number >= FIRST_GANG_NUMBER
        val isService = !isGang && random.nextInt(3) == 0
        val gpus = if (random.nextInt(3) == 0) random.nextInt(1, 4).toDouble() else 0.0
        val taskCount = taskCount(isService, isGang)
        return JobSpec.parse(
            buildJsonObject {
                put("ref", "j-%06d".format(number))
                put("lane", "l")
                put("crew", if (random.nextBoolean()) "vision" else "text")
                put("format", format(isService, isGang))
                put("grid", listOf("production", "high", "standard", "low").random(random))
                put("laps", taskCount)
                put("cores", random.nextInt(1, 5).toDouble())
                put("cards", gpus)
                put("ram_gb", 4.0)
                put("livery", "img-${random.nextInt(3)}")
                put("size_gb", 3.0)
                if (random.nextInt(4) == 0) put("chassis", JsonArray(listOf(JsonPrimitive("g8"))))
                val zone = if (random.nextInt(6) == 0) zones.random(random) else null
                if (zone != null) put("circuit", zone)
                val together = if (isGang) random.nextBoolean() else random.nextInt(5) == 0
                put("together", together)
                put("scatter", !together && random.nextInt(3) == 0 && !(isGang && zone != null))
                put("loaners", random.nextBoolean())
                put("lap_time_s", 5.0)
                put("sector_s", if (random.nextBoolean()) 2.0 else 0.0)
                put("pit_stop_s", 1.0)
            },
        )
    }

    private fun taskCount(
        isService: Boolean,
        isGang: Boolean,
    ) = when {
        isService -> random.nextInt(1, 4)
        isGang -> random.nextInt(2, 7)
        else -> random.nextInt(1, 12)
    }

    private fun format(
        isService: Boolean,
        isGang: Boolean,
    ) = when {
        isService -> "daemon"
        isGang -> "gang"
        else -> "sweep"
    }

    companion object {
        /** The lowest job number that gives a gang. */
        const val FIRST_GANG_NUMBER = 100
    }
}
