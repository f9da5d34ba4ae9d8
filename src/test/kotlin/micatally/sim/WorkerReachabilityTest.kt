package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * The workers of a controller that they cannot reach are served by another controller, and its shard passes to a
 * controller that workers can reach.
 */
class WorkerReachabilityTest {
    /**
     * Guards [micatally.api.WorkerRedirects]: a controller that its workers could not reach still exchanged messages
     * with the others, which sent each worker back to it until the worker's lease had expired.
     */
    @Test
    fun `workers that can't reach the controller of their zone keep their tasks`() {
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
                assertEquals(starts, fleet.rules.starts, "$mode: no task starts again")
                val zone = zoneOf(0)
                val machines =
                    fleet.live[0]!!
                        .machines.byName.values
                        .filter { it.zone == zone && !it.deleted }
                val latest = machines.maxOf { it.heardAt }
                assertTrue(
                    machines.any {
                        it.heardHereAt > latest - fleet.lease
                    },
                    "workers send heartbeats to the controller of their zone again",
                )
            }
        }
    }

    /**
     * Guards [micatally.worker.WorkerReach] and [micatally.membership.MembershipConditions.shouldStepDown]: a
     * controller that reaches no worker reports that it is unhealthy, accepts no job, and gives its shard up to a
     * controller that reaches workers.
     */
    @Test
    fun `the shard of a controller that is cut off from workers moves to another one, but not during short cuts`() {
        for (mode in CutMode.entries) {
            forEachSeed {
                val services = (0..2).map { submit(it, "daemon", 2, "loaners" to false) }
                allRun(services)
                val fencingToken =
                    fleet.live[1]!!
                        .membership.sharedKeys.fencingToken
                repeat(2) {
                    val shortCut = cutFromWorkers(mode)
                    fleet.runFor(fleet.lease / 4)
                    heal(shortCut)
                    fleet.runFor(fleet.lease / 4)
                }
                assertEquals(
                    fencingToken,
                    fleet.live[1]!!
                        .membership.sharedKeys.fencingToken,
                    "no shard moves during short cuts",
                )
                val cut = cutFromWorkers(mode)
                fleet.runFor(100)
                val newJob = submit(0, "sweep", 2, "loaners" to false, runMs = 1000)
                runUntil(
                    fleet.lease,
                    "node 0 reports that it is unhealthy",
                ) { fleet.asked(0, "GET", "/healthz").first == 503 }
                assertEquals(
                    503,
                    fleet.asked(0, "POST", "/work", spec("sweep", 1).source.toString().encodeToByteArray()).first,
                )
                runUntil(fleet.lease * 2, "the job is done at another controller") {
                    fleet.rules.completed[newJob]?.size == 2
                }
                cancel(services[0], listOf(1, 2))
                runUntil(fleet.lease * 2, "a job of node 0 can be cancelled") { fleet.rules.isCancelled(services[0]) }
                fleet.runFor(fleet.lease * 4)
                heal(cut)
                runUntil(fleet.lease * 2, "node 0 leads its shard again and is healthy") {
                    isLeaderOf(0, 0) &&
                        fleet.asked(0, "GET", "/healthz").first == 200
                }
                checkRecovery(services)
            }
        }
    }

    private fun Scenario.cutFromWorkers(mode: CutMode) =
        cut(mode) { from, to ->
            from.name.startsWith("m-") &&
                to.name == "n0"
        }
}
