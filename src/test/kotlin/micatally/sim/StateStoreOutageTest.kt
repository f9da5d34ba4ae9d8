package micatally.sim

import micatally.membership.LeadershipState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * The state store is slow, down, or refuses single controllers: tasks outlive it, and a controller alone stops acting in time.
 */
class StateStoreOutageTest {
    /** Found on a rough day: in an outage longer than a node's right, every node stopped answering and the whole fleet lost
     * its leases, though no cancellation can be recorded while the state service is out and the nodes heard each other. */
    @Test
    fun `tasks outlive a long outage of the state service while the controllers hear each other`() =
        fleet(2) { f ->
            val jobId = f.submit(0, 1, "daemon", 2)
            f.runFor(20_000)
            assertEquals(2, f.rules.running.count { it.jobId == jobId })
            f.state.down = true
            f.runFor(45_000)
            f.state.down = false
            f.runFor(10_000)
            assertEquals(2, f.rules.running.count { it.jobId == jobId })
            assertEquals(2, f.rules.starts)
        }

    /** Found on a day apart: users were sent for half a minute to a node that the state service refused alone. */
    @Test
    fun `a node refused alone is not healthy, in an outage for all every node is`() =
        fleet(7) { f ->
            f.stateFaults.refusedHosts.add("n0")
            f.runFor(5000)
            assertEquals(listOf(503, 200, 200), (0..2).map { f.asked(it, "GET", "/healthz").first })
            f.stateFaults.refusedHosts.clear()
            f.runFor(5000)
            f.state.down = true
            f.runFor(6000)
            assertEquals(listOf(200, 200, 200), (0..2).map { f.asked(it, "GET", "/healthz").first })
        }

    /** The other side of it: a node that hears neither the state service nor a peer must stop answering in time. */
    @Test
    fun `a node alone without the state service stops answering workers`() =
        fleet(3) { f ->
            f.runFor(3000)
            f.crash(1)
            f.crash(2)
            f.state.down = true
            f.runFor(f.settings[0].leadershipMs + 3000)
            assertEquals(micatally.membership.LeadershipState.EXPIRED, f.live[0]!!.membership.leadership)
        }

    /** Guard: as in the gap; and what can't be decided is answered 503 at once. */
    @Test
    fun `the state service is slow, refuses the leader alone and then everybody, while users cancel and ask`() =
        each(big) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 2), longArray(it, 3)) }
            allRun(jobIds)
            f.net.slowMs["state"] = 400
            for (r in jobIds) poll(r)
            f.runFor(2000)
            f.stateFaults.refusedHosts.add("n0")
            for (r in jobIds.filterIndexed { i, _ -> i % 2 == 1 }) cancel(r, listOf(0, 1, 2))
            runUntil(f.lease, "one is confirmed") { jobIds.any { f.rules.isCancelled(it) } }
            f.state.down = true
            f.runFor(f.cancelMs * 6 / 5)
            f.state.down = false
            f.stateFaults.refusedHosts.clear()
            f.net.slowMs.clear()
            f.runFor(f.lease * 2)
            afterwards(jobIds)
        }
}
