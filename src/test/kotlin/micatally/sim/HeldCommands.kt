package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random

/** Holds copies of answered commands until they may do the most harm, and delivers them then, again and again. */
internal class HeldCommands(
    private val fleet: SimFleet,
) {
    private val random: Random get() = fleet.random

    /** Runs until the end of the simulation. */
    fun launch() =
        fleet.scope.launch {
            while (true) {
                delay(random.nextLong(2000, 20_000))
                when (random.nextInt(3)) {
                    0 -> awaitDown()
                    1 -> awaitReturn()
                    else -> {}
                }
                deliver()
            }
        }

    /** Waits until a controller is down, for a minute at the most. */
    private suspend fun awaitDown() = await { fleet.live.any { it == null } }

    /** Waits until a controller has just come back, for a minute at the most. */
    private suspend fun awaitReturn() {
        awaitDown()
        await { fleet.live.all { it != null } }
    }

    private suspend fun await(condition: () -> Boolean) {
        repeat(POLLS) {
            if (condition()) return
            delay(POLL_MS)
        }
    }

    /** Delivers the commands of jobs that are over, or those of a random third of all jobs. */
    private fun deliver() {
        val isOver = random.nextBoolean()
        val salt = random.nextInt()
        val count =
            fleet.net.deliverKeptCommands { body ->
                val jobId = JOB_ID.find(body)?.value
                jobId != null && if (isOver) fleet.rules.isFinal(jobId) else (jobId.hashCode() xor salt) % 3 == 0
            }
        fleet.note("$count held commands delivered")
    }

    private companion object {
        val JOB_ID = Regex("j-[0-9]+")
        const val POLLS = 120
        const val POLL_MS = 500L
    }
}
