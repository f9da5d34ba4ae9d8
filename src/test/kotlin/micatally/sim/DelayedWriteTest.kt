package micatally.sim

import kotlinx.coroutines.launch
import micatally.http.HttpRequest
import micatally.membership.Keys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Writes that the state store carries out late or whose answer is lost: each transaction is conditional on what it changes,
 * so none takes effect once its decision is out of date.
 */
class DelayedWriteTest {
    /**
     * Guard: each transaction is conditional on what it changes, the live key included
     * ([micatally.membership.Membership]).
     */
    @Test
    fun `transactions without an answer are carried out late, after newer ones of the same controller`() =
        forEachSeed(largeDeployment) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 1), submitLongArray(it, 2)) }
            allRun(jobIds)
            fleet.stateFaults.lateWrites = 0.4
            val more = ArrayList<String>()
            repeat(10) { i ->
                val spec =
                    spec("sweep", 2).also {
                        fleet.workers.fixedRunMs[it.jobId] = 5000
                        more.add(it.jobId)
                    }
                fleet.users.launchUser(
                    spec,
                    if (i % 3 == 0) 4000L else null,
                    nosy = true,
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
            fleet.stateFaults.lateWrites = 0.0
            assertTrue(fleet.stateFaults.writesWithoutAnswer > 10)
            fleet.runFor(15_000)
            checkRecovery(jobIds)
            for (jobId in more) assertTrue(fleet.rules.isFinal(jobId), "$jobId has ended")
        }

    /**
     * The live key was written without a condition: carried out late, it was tied to a lease that nobody renewed any
     * more. The key expired, other controllers took the shard, and its host went on answering from memory. Guard: its
     * write is conditional, and a node checks that its live key is its own.
     */
    @Test
    fun `a live key that is written late does not end the life of its host`() =
        scenario(1, largeDeployment) {
            fleet.crash(0)
            fleet.runFor(300)
            var held = 0
            fleet.stateFaults.holdWriteOf =
                { node, body -> if (node == 0 && "\"put\":\"c/live/" in body && held++ == 0) 8000 else null }
            fleet.startNode(0)
            runUntil(fleet.lease, "it is live and has its shard") { isLeaderOf(0, 0) }
            assertTrue(held > 0)
            val until = fleet.now + fleet.lease * 3
            while (fleet.now < until) {
                fleet.step(100)
                assertEquals(0, leaderOf(0), "at ${fleet.now}")
            }
        }

    /**
     * A takeover was conditional on the shard alone: carried out late, it took the shard of a host that had come back.
     * Guard: a takeover is conditional on what it was decided on, the live key included.
     */
    @Test
    fun `a takeover that is carried out late does not take the shard of a host that is live again`() =
        scenario(2, largeDeployment) {
            var held = 0
            fleet.stateFaults.holdWriteOf =
                { node, body ->
                    if (node != 0 && "\"put\":\"c/ledger/pitbox-0\"" in body) {
                        held++
                        7000L
                    } else {
                        null
                    }
                }
            fleet.stateFaults.refusedHosts.add("n0")
            runUntil(fleet.lease * 2, "a takeover is under way") { held > 0 }
            fleet.stateFaults.refusedHosts.clear()
            runUntil(5000, "its host is live again") { fleet.live[0]!!.membership.leaseHolds() }
            fleet.runFor(12_000)
            assertEquals(0, leaderOf(0))
        }

    /**
     * The answer that granted a node the fleet manager's key was lost: the key stayed its own, and nobody scaled the
     * fleet out or in. Guard: a node that finds its own key adopts it.
     */
    @Test
    fun `whoever has the fleet's key without having heard of it keeps the fleet`() =
        scenario(4) {
            for (i in 0..2) fleet.crash(i)
            fleet.runFor(fleet.lease)
            var lost = 0
            fleet.stateFaults.loseAnswerOf = { _, body -> "\"put\":\"c/fleet\"" in body && lost++ < 2 }
            for (i in 0..2) fleet.startNode(i)
            fleet.runFor(fleet.lease)
            val jobId = submit(1, "daemon", 1)
            runUntil(fleet.lease * 4, "a machine is rented for it") { tasks(jobId).isNotEmpty() }
            assertTrue(lost > 0)
        }

    /**
     * A drain that was written late, after it had been called off, kept a machine without work for good. Guard: the
     * fleet manager removes drains that it has not decided.
     */
    @Test
    fun `a drain that nobody decided is taken off`() =
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
