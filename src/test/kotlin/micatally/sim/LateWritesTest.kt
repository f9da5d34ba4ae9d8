package micatally.sim

import kotlinx.coroutines.launch
import micatally.http.HttpRequest
import micatally.job.ShardState
import micatally.membership.Keys
import micatally.membership.LeadershipState
import micatally.wire.JobSpec
import micatally.wire.bytes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Writes to the state service that come late or whose answer is lost, and confirmations of processes that have ended: one
 * small test for each suspect that turned out to be one. Each was red before its mend. */
class LateWritesTest {
    private val big = Timing.DEPLOYMENTS.getValue("addis at size")

    /** A service of node 0 whose tasks have lost their first machines: a job made anew would number them otherwise. */
    private fun Meeting.inSecondAttempt() =
        spec("daemon", 2).also { s ->
            assertEquals(201, f.asked(0, "POST", "/work", s.source.bytes()).first)
            allRun(listOf(s.jobId))
            for (m in tasks(s.jobId).map { it.machine }.distinct()) f.loseShard(worker(m))
            runUntil(f.lease, "they are lost") { tasks(s.jobId).isEmpty() }
            allRun(listOf(s.jobId))
        }

    /** The submission is repeated at node 0, which has its shard and is still loading it, since the state service is slow. */
    private fun Meeting.repeatWhileLoading(s: JobSpec) {
        val shard = f.live[0]!!.jobManager.ownShard()!!
        f.scope.launch { f.askNode(0, "POST", "/work", s.source.bytes()) }
        runUntil(2000, "it is being looked into") { s.jobId in shard.jobs }
        assertEquals(ShardState.LOADING, shard.state)
        f.runFor(f.lease / 2)
        f.net.slowMs.clear()
    }

    /** The live key was written without a condition: carried out late it was tied to a lease that nobody renewed any more. The
     * key went, peers took the shard, and its host went on answering from memory. */
    @Test
    fun `a live key that is written late does not end the life of its host`() =
        meeting(1, big) {
            f.crash(0)
            f.runFor(300)
            var held = 0
            f.holdWriteOf = { n, body -> if (n == 0 && "\"put\":\"c/live/" in body && held++ == 0) 8000 else null }
            f.startNode(0)
            runUntil(f.lease, "it is live and has its ledger") { holdsOf(0, 0) }
            assertTrue(held > 0)
            val until = f.now + f.lease * 3
            while (f.now < until) {
                f.step(100)
                assertEquals(0, leader(0), "at ${f.now}")
            }
        }

    /** A takeover was conditional on the shard alone: carried out late it took the shard of a host that had come back. */
    @Test
    fun `a takeover that is carried out late does not take the ledger of a host that is live again`() =
        meeting(2, big) {
            var held = 0
            f.holdWriteOf =
                { n, body ->
                    if (n != 0 && "\"put\":\"c/ledger/pitbox-0\"" in body) {
                        held++
                        7000L
                    } else {
                        null
                    }
                }
            f.stateRefuses.add("n0")
            runUntil(f.lease * 2, "a takeover is under way") { held > 0 }
            f.stateRefuses.clear()
            runUntil(5000, "its host is live again") { f.live[0]!!.membership.leaseHolds() }
            f.runFor(12_000)
            assertEquals(0, leader(0))
        }

    /** An answer that came after the shard was lost gave back its task's share once more: with the shard taken back the team
     * seemed to use less than it did, and more was placed than its limit. */
    @Test
    fun `what an attempt of a lost ledger gives back counts nowhere`() =
        meeting(3, big) {
            val jobId = submit(0, "sweep", 4, "loaners" to false, runMs = 3_600_000)
            allRun(listOf(jobId))
            for (m in tasks(jobId).map { it.machine }) f.net.heldAnswersMs[m] = 6000
            cancel(jobId, listOf(0))
            f.runFor(1000)
            val jobManager = f.live[0]!!.jobManager
            jobManager.loseShard(jobManager.shards.getValue("pitbox-0"))
            jobManager.checkShards()
            f.runFor(f.lease)
            assertEquals(0.0, jobManager.quota.used("pitbox-0", "vision").cores)
        }

    /** The answer that gave a node the fleet's key was lost: the key stayed its own, and nobody rented or returned machines. */
    @Test
    fun `whoever has the fleet's key without having heard of it keeps the fleet`() =
        meeting(4) {
            for (i in 0..2) f.crash(i)
            f.runFor(f.lease)
            var lost = 0
            f.loseAnswerOf = { _, body -> "\"put\":\"c/fleet\"" in body && lost++ < 2 }
            for (i in 0..2) f.startNode(i)
            f.runFor(f.lease)
            val jobId = submit(1, "daemon", 1)
            runUntil(f.lease * 4, "a machine is rented for it") { tasks(jobId).isNotEmpty() }
            assertTrue(lost > 0)
        }

    /** A confirmation counted though the process that gave it had ended before the tasks lay in the state service: the next
     * process of that host, cut off at once, answered the workers without having heard of the cancellation. */
    @Test
    fun `what a process confirmed its successor knows from its start`() =
        meeting(5, big) {
            val zone = zoneOf(0)
            val jobId = submit(1, "sweep", 3, "circuit" to zone, runMs = 3_600_000)
            allRun(listOf(jobId))
            val machines =
                f.rules.running
                    .map { it.machine }
                    .toSet()
            cut(CutMode.HOLD) { a, b -> a.name in machines && b.name in listOf("n1", "n2") }
            f.holdWriteOf = { _, body -> if ("c/kill/" in body && "\"put\":\"job/" !in body) 12_000 else null }
            cancel(jobId, listOf(1, 2))
            runUntil(f.lease, "it is told") { f.rules.isCancelled(jobId) }
            f.crash(0)
            f.runFor(f.lease * 9 / 20)
            f.startNode(0)
            while (f.live[0]!!.membership.leadership != LeadershipState.LEADING) f.step(1)
            f.state.down = true
            cut(CutMode.HOLD) { a, b -> a.name == "n0" && b.name.startsWith("n") }
            f.runFor(f.cancelMs * 5 / 4)
            assertTrue(tasks(jobId).isEmpty())
        }

    /** A node that had not heard that its shard was another one's went on sending starts of jobs cancelled there. */
    @Test
    fun `a leader that hears of nothing sends no start after a cancellation was told`() =
        meeting(6, big) {
            val zone = zoneOf(0)
            val first = submit(0, "daemon", 1, "circuit" to zone, "cores" to 5.0)
            allRun(listOf(first))
            val m = tasks(first).single().machine
            // Its answers come too late and it reports to nobody, so the run of the next task on it is repeated.
            f.net.heldAnswersMs[m] = f.lease
            f.net.mute.add(m)
            val jobId = submit(0, "daemon", 1, "circuit" to zone, "cores" to 1.0)
            runUntil(f.lease, "it runs there") { tasks(jobId).singleOrNull()?.machine == m }
            cut(CutMode.HOLD) { a, b -> a.name == "n0" && (b.name == "state" || b.name.startsWith("n")) }
            cut(CutMode.HOLD) { a, b -> a.name == m && b.name in listOf("n1", "n2") }
            runUntil(f.lease * 2, "another one takes the ledger") { others.any { holdsOf(it, 0) } }
            cancel(jobId, others)
            runUntil(f.lease * 2, "it is told") { f.rules.isCancelled(jobId) }
            f.runFor(f.cancelMs)
            assertEquals(0, f.rules.runsSentAfterCancel)
        }

    /** Found by the meeting of late writes (seed 3): while a repeated submission waited for the state service at another node,
     * that node took the tasks of the real owner for strays, and ended them. */
    @Test
    fun `a repeated submission that waits to be stored ends nobody's tasks`() =
        meeting(8, big) {
            val s = inSecondAttempt()
            val before = f.rules.running.toSet()
            f.holdWriteOf = { n, body -> if (n == 1 && "\"put\":\"job/${s.jobId}\"" in body) 12_000 else null }
            f.scope.launch { f.askNode(1, "POST", "/work", s.source.bytes()) }
            f.runFor(500)
            // It has orders of its own for the same machine.
            val own = submit(1, "daemon", 2)
            allRun(listOf(own))
            assertTrue(tasks(own).any { t -> before.any { it.machine == t.machine } }, "side by side")
            f.runFor(f.lease / 2)
            assertTrue(f.rules.running.containsAll(before))
        }

    /** A submission that was repeated at its restarted node before that had loaded its jobs hid the record from it: nobody owned
     * the job any more, it was neither run nor could it be cancelled. */
    @Test
    fun `a submission repeated while a ledger is loaded does not hide the job`() =
        meeting(10, big) {
            val s = spec("daemon", 2)
            assertEquals(201, f.asked(0, "POST", "/work", s.source.bytes()).first)
            allRun(listOf(s.jobId))
            f.crash(0)
            f.net.slowMs["state"] = 600
            f.startNode(0)
            while (f.live[0]!!.jobManager.ownShard() == null) f.step(1)
            repeatWhileLoading(s)
            f.runFor(f.lease / 2)
            assertEquals(
                micatally.job.JobState.OPEN,
                f.live[0]!!
                    .jobManager
                    .job(s.jobId)
                    ?.durableState,
            )
            cancel(s.jobId, listOf(0, 1, 2))
            runUntil(f.lease, "it can be cancelled") { f.rules.isCancelled(s.jobId) }
        }

    /** The same after a shard was lost and taken back by one and the same process: what it had written itself before was taken
     * for the lost answer to the repeat, and the repeat written over it: done tasks and attempts were gone, and ran twice. */
    @Test
    fun `a submission repeated while a ledger is taken back does not overwrite the job`() =
        meeting(11, big) {
            val s = inSecondAttempt()
            val before = f.rules.starts
            val first = f.live[0]!!.jobManager.ownShard()
            f.stateRefuses.add("n0")
            runUntil(f.lease * 2, "another one takes the ledger") { others.any { holdsOf(it, 0) } }
            f.stateRefuses.clear()
            f.net.slowMs["state"] = 600
            runUntil(f.lease * 2, "it is taken back") {
                f.live[0]!!
                    .jobManager
                    .ownShard()
                    .let { it != null && it !== first }
            }
            repeatWhileLoading(s)
            f.runFor(f.lease)
            assertEquals(before, f.rules.starts)
            assertEquals(
                2,
                f.live[0]!!
                    .jobManager
                    .job(s.jobId)
                    ?.attempts
                    ?.size,
            )
        }

    /** A task that went from its machine by nobody's known doing was waited for to the end of the day: reports that lack it
     * prove nothing, and the machine was not asked. */
    @Test
    fun `a machine that lacks a task is asked, and the task starts again`() =
        meeting(9, big) {
            val jobId = submit(0, "daemon", 1)
            allRun(listOf(jobId))
            val on = tasks(jobId).single()
            val w = worker(on.machine)
            for (verb in listOf("kill", "clear")) {
                f.scope.launch {
                    w.handle(
                        HttpRequest(
                            "POST",
                            "/orders",
                            "{\"baton\":${w.token},\"stint\":1,\"radio\":[{\"call\":\"$verb\",\"lap\":\"$jobId/0\",\"start\":1,\"cooldown_s\":0}]}"
                                .toByteArray(),
                        ),
                    )
                }
            }
            f.runFor(50)
            assertTrue(tasks(jobId).isEmpty())
            runUntil(f.lease, "it starts again") { tasks(jobId).isNotEmpty() }
        }

    /** A drain that was written late, after it had been called off, kept a machine without work for good. */
    @Test
    fun `a drain that nobody decided is taken off`() =
        meeting(7) {
            val jobId = submit(0, "daemon", 2)
            allRun(listOf(jobId))
            val key = Keys.DRAIN + tasks(jobId).first().machine
            f.scope.launch {
                f.state.handle(
                    HttpRequest(
                        "POST",
                        "/txn",
                        "{\"when\":[],\"then\":[{\"put\":\"$key\",\"value\":{\"by\":\"pitbox-0\"}}]}".toByteArray(),
                    ),
                )
            }
            f.runFor(500)
            assertTrue(f.state.keysUnder(Keys.DRAIN).contains(key))
            f.runFor(f.lease)
            assertFalse(f.state.keysUnder(Keys.DRAIN).contains(key))
            assertEquals(2, tasks(jobId).size)
        }
}
