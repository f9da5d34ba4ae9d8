package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A controller that its workers cannot reach sends them to another one, and leaves its shard to one that can reach them. */
class WorkerReachabilityTest {
    /**
     * Found in an incident: a controller that its workers could not reach still exchanged messages with the others,
     * which sent each worker back to it until its lease had expired. Guard: [micatally.api.WorkerRedirects].
     */
    @Test
    fun `workers that can't reach their zone's controller keep their tasks`() {
        for (mode in CutMode.entries) {
            forEachSeed {
                val jobIds = (0..2).map { submit(it, "daemon", 3, "loaners" to false) }
                allRun(jobIds)
                fleet.runFor(fleet.lease)
                val starts = fleet.rules.starts
                val cut = cutFromWorkers(mode)
                fleet.runFor(fleet.lease * 4)
                heal(cut)
                fleet.runFor(fleet.lease * 5)
                assertEquals(starts, fleet.rules.starts, "$mode: nothing starts again")
                val zone = zoneOf(0)
                val there =
                    fleet.live[0]!!
                        .machines.byName.values
                        .filter { it.zone == zone && !it.deleted }
                val latest = there.maxOf { it.heardAt }
                assertTrue(there.any { it.heardHereAt > latest - fleet.lease }, "workers go back to their zone")
            }
        }
    }

    /**
     * Guard: a controller that reaches no worker reports that it is not healthy, accepts nothing, and leaves its shard
     * to one that does ([micatally.worker.WorkerReach], [micatally.membership.MembershipConditions.shouldStepDown]).
     */
    @Test
    fun `the jobs of a controller that is cut from the workers go on at another one, and short cuts move nothing`() {
        for (mode in CutMode.entries) {
            forEachSeed {
                val before = (0..2).map { submit(it, "daemon", 2, "loaners" to false) }
                allRun(before)
                val fencingToken =
                    fleet.live[1]!!
                        .membership.sharedKeys.fencingToken
                repeat(2) {
                    val short = cutFromWorkers(mode)
                    fleet.runFor(fleet.lease / 4)
                    heal(short)
                    fleet.runFor(fleet.lease / 4)
                }
                assertEquals(
                    fencingToken,
                    fleet.live[1]!!
                        .membership.sharedKeys.fencingToken,
                    "short cuts move nothing",
                )
                val cut = cutFromWorkers(mode)
                fleet.runFor(100)
                val waiting = submit(0, "sweep", 2, "loaners" to false, runMs = 1000)
                runUntil(
                    fleet.lease,
                    "it says that it is not healthy",
                ) { fleet.asked(0, "GET", "/healthz").first == 503 }
                assertEquals(
                    503,
                    fleet.asked(0, "POST", "/work", spec("sweep", 1).source.toString().encodeToByteArray()).first,
                )
                runUntil(fleet.lease * 2, "the job is done at another controller") {
                    fleet.rules.completed[waiting]?.size == 2
                }
                cancel(before[0], listOf(1, 2))
                runUntil(fleet.lease * 2, "its jobs can be cancelled") { fleet.rules.isCancelled(before[0]) }
                fleet.runFor(fleet.lease * 4)
                heal(cut)
                runUntil(fleet.lease * 2, "it has its shard again") {
                    isLeaderOf(0, 0) &&
                        fleet.asked(0, "GET", "/healthz").first == 200
                }
                checkRecovery(before)
            }
        }
    }

    private fun Scenario.cutFromWorkers(mode: CutMode) =
        cut(mode) { from, to ->
            from.name.startsWith("m-") &&
                to.name == "n0"
        }
}
