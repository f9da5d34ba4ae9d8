package micatally.sim

import micatally.membership.LeadershipState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * The state store is slow, down, or refuses single controllers. Tasks survive that, and a controller without any
 * contact stops answering workers in time.
 */
class StateStoreOutageTest {
    /**
     * Guards the rule that nodes in contact with each other keep answering workers. In an outage of the state store
     * that was longer than a node's leadership lasts, every node stopped answering, and all workers lost their leases.
     * That is not necessary: no cancellation can be stored during such an outage.
     */
    @Test
    fun `tasks survive a long outage of the state store while the controllers are in contact`() =
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
     * Guards the health check: a node that the state store refuses alone is unhealthy, or else users are sent to it for
     * half a minute. In an outage that affects all nodes, every node is healthy.
     */
    @Test
    fun `a node that the state store refuses alone is unhealthy, but an outage for all nodes makes none unhealthy`() =
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
     * Guards the opposite case to a long outage with contact between the nodes: a node that reaches neither the state
     * store nor another controller stops answering workers in time.
     */
    @Test
    fun `a node that reaches neither the state store nor a peer stops answering workers`() =
        withFleet(3) { fleet ->
            fleet.runFor(3000)
            fleet.crash(1)
            fleet.crash(2)
            fleet.state.down = true
            fleet.runFor(fleet.settings[0].leadershipMs + 3000)
            assertEquals(LeadershipState.EXPIRED, fleet.live[0]!!.membership.leadership)
        }

    /** Guards the rules of [CancellationDeadlineTest]. Also, a request that cannot be decided gets 503 at once. */
    @Test
    fun `cancellations hold while the state store is slow, refuses the leader, and then is down`() =
        forEachSeed(largeDeployment) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 2), submitLongArray(it, 3)) }
            allRun(jobIds)
            fleet.net.extraLatencyMs["state"] = 400
            for (jobId in jobIds) poll(jobId)
            fleet.runFor(2000)
            fleet.stateFaults.refusedHosts.add("n0")
            for (jobId in jobIds.filterIndexed { i, _ -> i % 2 == 1 }) cancel(jobId, listOf(0, 1, 2))
            runUntil(fleet.lease, "a cancellation is confirmed") { jobIds.any { fleet.rules.isCancelled(it) } }
            fleet.state.down = true
            fleet.runFor(fleet.cancelMs * 6 / 5)
            fleet.state.down = false
            fleet.stateFaults.refusedHosts.clear()
            fleet.net.extraLatencyMs.clear()
            fleet.runFor(fleet.lease * 2)
            checkRecovery(jobIds)
        }
}
