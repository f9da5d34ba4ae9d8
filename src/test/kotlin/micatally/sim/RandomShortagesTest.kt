package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * Random zones, types and kinds of machines run out and come back while jobs are submitted and fleet managers end. Once
 * the shortages stay as they are, each job runs if the cloud has machines in a zone that it may use.
 */
class RandomShortagesTest {
    private val zones = listOf("a", "b", "c")

    /** Draws what the cloud runs out of. On-demand machines of the small type stay in one zone. */
    private fun Scenario.drawShortage(soundZone: String) {
        val emptyZone = (zones - soundZone).random(fleet.random)
        val emptyType = listOf("small", "g8", "none").random(fleet.random)
        val hasSpot = fleet.random.nextBoolean()
        fleet.cloud.limitCapacity(MACHINES_PER_POOL) { true }
        fleet.cloud.limitCapacity(fleet.random.nextInt(2)) { it.zone == emptyZone }
        fleet.cloud.limitCapacity(0) { it.type == emptyType && it.zone != soundZone }
        if (!hasSpot) fleet.cloud.limitCapacity(0) { it.isSpot }
    }

    private fun Scenario.submitRandomJob(): String {
        val up = (0 until fleet.nodes).filter { fleet.live[it] != null }
        return submit(
            up.random(fleet.random),
            listOf("gang", "daemon", "sweep").random(fleet.random),
            fleet.random.nextInt(1, MAX_TASKS + 1),
            "together" to fleet.random.nextBoolean(),
            "loaners" to fleet.random.nextBoolean(),
            "cores" to listOf(0.5, 1.0).random(fleet.random),
            runMs = TASK_RUN_MS,
        )
    }

    private fun Scenario.endFleetManager() {
        val leader = fleetManager() ?: return
        fleet.crash(leader)
        runUntil(fleet.lease * 3, "another node is fleet manager") { fleetManager() != null }
        fleet.startNode(leader)
        fleet.runFor(fleet.lease / 2)
    }

    private fun Scenario.hasRun(jobId: String): Boolean {
        val spec = fleet.rules.specs.getValue(jobId)
        return tasks(jobId).size + (fleet.rules.completed[jobId]?.size ?: 0) >= spec.taskCount
    }

    @Test
    fun `jobs run while zones, types and kinds run out and fleet managers end`() =
        forEachSeed {
            val soundZone = zones.random(fleet.random)
            val jobIds = ArrayList<String>()
            repeat(ROUNDS) {
                drawShortage(soundZone)
                repeat(JOBS_PER_ROUND) {
                    jobIds.add(submitRandomJob())
                    fleet.runFor(fleet.random.nextLong(3000))
                }
                if (fleet.random.nextBoolean()) endFleetManager()
            }
            val until = fleet.now + fleet.lease * 6
            while (fleet.now < until && !jobIds.all { hasRun(it) }) fleet.step(100)
            assertEquals(emptyList<String>(), jobIds.filterNot { hasRun(it) }, "jobs that wait")
        }

    private companion object {
        /** All jobs together stay within the limit of their team. */
        const val ROUNDS = 4
        const val JOBS_PER_ROUND = 3
        const val MAX_TASKS = 5
        const val MACHINES_PER_POOL = 8

        /** Longer than the test, so that a job once whole stays so unless it loses a machine. */
        const val TASK_RUN_MS = 600_000L
    }
}
