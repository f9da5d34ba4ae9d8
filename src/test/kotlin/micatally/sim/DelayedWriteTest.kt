package micatally.sim

import kotlinx.coroutines.launch
import micatally.http.HttpRequest
import micatally.membership.Keys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Writes that the state store executes late or whose response is lost. Each transaction is conditional on the keys that
 * its decision was based on, so it has no effect once that decision is out of date.
 */
class DelayedWriteTest {
    /**
     * Guards the conditions of all transactions: each one is conditional on what it changes, also the one that writes
     * the live key ([micatally.membership.Membership]).
     */
    @Test
    fun `transactions without a response that are executed after newer ones do no harm`() =
        forEachSeed(largeDeployment) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 1), submitLongArray(it, 2)) }
            allRun(jobIds)
            fleet.stateFaults.lateWriteShare = 0.4
            val laterJobs = ArrayList<String>()
            repeat(10) { i ->
                val spec =
                    spec("sweep", 2).also {
                        fleet.workers.fixedRunMs[it.jobId] = 5000
                        laterJobs.add(it.jobId)
                    }
                fleet.users.launchUser(
                    spec,
                    if (i % 3 == 0) 4000L else null,
                    pollAll = true,
                )
                fleet.runFor(1500)
            }
            for (node in 0..2) {
                fleet.crash(node)
                fleet.runFor(400)
                fleet.startNode(node)
                fleet.runFor(fleet.lease / 2)
            }
            cancel(jobIds[1], listOf(0, 1, 2))
            fleet.runFor(fleet.lease)
            fleet.stateFaults.lateWriteShare = 0.0
            assertTrue(fleet.stateFaults.writesWithoutResponse > 10)
            fleet.runFor(15_000)
            checkRecovery(jobIds)
            for (jobId in laterJobs) assertTrue(fleet.rules.isFinal(jobId), "$jobId is done or cancelled")
        }

    /**
     * Guards the conditional write of the live key, and a node's check that the live key is its own. When the key was
     * written without a condition, a late write tied it to a lease that nobody renewed any more. The key expired, other
     * controllers took over the shard, and its host went on answering from memory.
     */
    @Test
    fun `a live key that is written late does not cost its host the shard`() =
        scenario(1, largeDeployment) {
            fleet.crash(0)
            fleet.runFor(300)
            var heldWrites = 0
            fleet.stateFaults.holdWriteOf =
                { node, body -> if (node == 0 && "\"put\":\"c/live/" in body && heldWrites++ == 0) 8000 else null }
            fleet.startNode(0)
            runUntil(fleet.lease, "node 0 leads its shard") { isLeaderOf(0, 0) }
            assertTrue(heldWrites > 0)
            val until = fleet.now + fleet.lease * 3
            while (fleet.now < until) {
                fleet.step(100)
                assertEquals(0, leaderOf(0), "at ${fleet.now}")
            }
        }

    /**
     * Guards the conditions of a takeover, which include the live key of the former leader. A takeover that was
     * conditional on the shard alone, and that was executed late, took the shard from a host that had come back.
     */
    @Test
    fun `a takeover that is executed late does not take the shard from a host that is live again`() =
        scenario(2, largeDeployment) {
            var heldWrites = 0
            fleet.stateFaults.holdWriteOf =
                { node, body ->
                    if (node != 0 && "\"put\":\"c/ledger/pitbox-0\"" in body) {
                        heldWrites++
                        7000L
                    } else {
                        null
                    }
                }
            fleet.stateFaults.refusedHosts.add("n0")
            runUntil(fleet.lease * 2, "a takeover is sent") { heldWrites > 0 }
            fleet.stateFaults.refusedHosts.clear()
            runUntil(5000, "node 0 is live again") { fleet.live[0]!!.membership.leaseHolds() }
            fleet.runFor(12_000)
            assertEquals(0, leaderOf(0))
        }

    /**
     * Guards a fleet manager that finds itself named in the fleet manager's key: it takes up the work. When the
     * response that granted a node the key was lost, the key kept naming that node, but nobody scaled the fleet out or
     * in.
     */
    @Test
    fun `a node that did not receive the grant of the fleet manager's key becomes fleet manager`() =
        scenario(4) {
            for (i in 0..2) fleet.crash(i)
            fleet.runFor(fleet.lease)
            var lostResponses = 0
            fleet.stateFaults.losesResponseOf = { _, body -> "\"put\":\"c/fleet\"" in body && lostResponses++ < 2 }
            for (i in 0..2) fleet.startNode(i)
            fleet.runFor(fleet.lease)
            val jobId = submit(1, "daemon", 1)
            runUntil(fleet.lease * 4, "a machine is provisioned and the task runs") { tasks(jobId).isNotEmpty() }
            assertTrue(lostResponses > 0)
        }

    /**
     * Guards the removal of evictions that the fleet manager has not decided. An eviction record that was written late,
     * after the eviction had been cancelled, kept a machine without work forever.
     */
    @Test
    fun `an eviction record that the fleet manager has not decided is removed`() =
        scenario(7) {
            val jobId = submit(0, "daemon", 2)
            allRun(listOf(jobId))
            val key = Keys.DRAIN + tasks(jobId).first().machine
            fleet.scope.launch {
                fleet.state.handle(
                    HttpRequest(
                        "POST",
                        "/txn",
                        "{\"when\":[],\"then\":[{\"put\":\"$key\",\"value\":{\"by\":\"pitbox-0\"}}]}".toByteArray(),
                    ),
                )
            }
            fleet.runFor(500)
            assertTrue(fleet.state.keysUnder(Keys.DRAIN).contains(key))
            fleet.runFor(fleet.lease)
            assertFalse(fleet.state.keysUnder(Keys.DRAIN).contains(key))
            assertEquals(2, tasks(jobId).size)
        }
}
