package micatally.sim

import micatally.membership.LeadershipState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * The state store is slow, down, or refuses single controllers: tasks outlive it, and a controller alone stops acting in time.
 */
class StateStoreOutageTest {
    /**
     * Found on a day with many faults: in an outage longer than a node's leadership lasts every node stopped
     * answering, and the whole fleet lost its leases, though no cancellation can be recorded during an outage of the
     * state store and the nodes heard from each other. Guard: nodes that hear from each other keep answering workers.
     */
    @Test
    fun `tasks outlive a long outage of the state store while the controllers hear each other`() =
        withFleet(2) { fleet ->
            val jobId = fleet.submit(0, 1, "daemon", 2)
            fleet.runFor(20_000)
            assertEquals(2, fleet.rules.running.count { it.jobId == jobId })
            fleet.state.down = true
            fleet.runFor(45_000)
            fleet.state.down = false
            fleet.runFor(10_000)
            assertEquals(2, fleet.rules.running.count { it.jobId == jobId })
            assertEquals(2, fleet.rules.starts)
        }

    /**
     * Found in a repeated day: users were sent for half a minute to a node that the state store refused alone. Guard:
     * such a node is not healthy, but in an outage for all every node is.
     */
    @Test
    fun `a node refused alone is not healthy, in an outage for all every node is`() =
        withFleet(7) { fleet ->
            fleet.stateFaults.refusedHosts.add("n0")
            fleet.runFor(5000)
            assertEquals(listOf(503, 200, 200), (0..2).map { fleet.asked(it, "GET", "/healthz").first })
            fleet.stateFaults.refusedHosts.clear()
            fleet.runFor(5000)
            fleet.state.down = true
            fleet.runFor(6000)
            assertEquals(listOf(200, 200, 200), (0..2).map { fleet.asked(it, "GET", "/healthz").first })
        }

    /**
     * The other side of the long outage. Guard: a node that reaches neither the state store nor another controller
     * stops answering in time.
     */
    @Test
    fun `a node alone without the state store stops answering workers`() =
        withFleet(3) { fleet ->
            fleet.runFor(3000)
            fleet.crash(1)
            fleet.crash(2)
            fleet.state.down = true
            fleet.runFor(fleet.settings[0].leadershipMs + 3000)
            assertEquals(LeadershipState.EXPIRED, fleet.live[0]!!.membership.leadership)
        }

    /** Guard: as in [CancellationDeadlineTest]; and a request that cannot be decided is answered 503 at once. */
    @Test
    fun `the state store is slow, refuses the leader alone and then everybody, while users cancel and ask`() =
        forEachSeed(largeDeployment) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 2), submitLongArray(it, 3)) }
            allRun(jobIds)
            fleet.net.slowMs["state"] = 400
            for (jobId in jobIds) poll(jobId)
            fleet.runFor(2000)
            fleet.stateFaults.refusedHosts.add("n0")
            for (jobId in jobIds.filterIndexed { i, _ -> i % 2 == 1 }) cancel(jobId, listOf(0, 1, 2))
            runUntil(fleet.lease, "one is confirmed") { jobIds.any { fleet.rules.isCancelled(it) } }
            fleet.state.down = true
            fleet.runFor(fleet.cancelMs * 6 / 5)
            fleet.state.down = false
            fleet.stateFaults.refusedHosts.clear()
            fleet.net.slowMs.clear()
            fleet.runFor(fleet.lease * 2)
            checkRecovery(jobIds)
        }
}
