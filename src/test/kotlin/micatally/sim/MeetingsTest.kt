package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.membership.Keys
import micatally.wire.bytes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The operators' list of meetings, one test for each; the gap has a test class of its own. Each brings its meeting about on
 * purpose and says so if it did not; the rules are looked at after every step of [SimFleet]. The comment names the guard:
 * with that switched off the test is red. */
class MeetingsTest {
    private val seeds =
        (System.getProperty("meeting.seeds") ?: "1-2").split('-').map { it.toInt() }.let { (a, b) ->
            a..b
        }

    private fun each(
        timing: Timing = Timing.PLAIN,
        nodes: Int = timing.nodes,
        test: Meeting.() -> Unit,
    ) {
        for (s in seeds) meeting(s, timing, nodes, test = test)
    }

    private val big = Timing.DEPLOYMENTS.getValue("addis at size")

    private fun Meeting.longArray(
        node: Int,
        taskCount: Int,
        vararg more: Pair<String, Any>,
    ) = submit(node, "sweep", taskCount, *more, runMs = 3_600_000)

    /** Guard: the final state of a job is not told from memory while its write is under way ([micatally.job.Job.endUnderWay]). */
    @Test
    fun `users ask at all nodes right after a job was accepted, ended or cancelled, and some cancel at once`() =
        each {
            f.lostAnswers = 0.2
            repeat(24) { i ->
                val s = spec("sweep", 1 + i % 3)
                f.runs[s.jobId] = 400L + f.random.nextLong(3000)
                f.scope.launch {
                    delay(f.random.nextLong(20_000))
                    f.user(
                        s,
                        if (i % 2 ==
                            0
                        ) {
                            f.random.nextLong(3000)
                        } else {
                            null
                        },
                        nosy = true,
                    )
                }
            }
            f.runFor(60_000)
            f.lostAnswers = 0.0
            f.runFor(30_000)
            assertTrue(
                f.rules.specs.keys
                    .count { f.rules.isDone(it) } >= 6 &&
                    f.rules.specs.keys
                        .count { f.rules.isCancelled(it) } >= 4,
                "jobs were done and cancelled",
            )
        }

    /** Guard: [micatally.job.Job.endUnderWay] again, here with the one answer lost that tells the owner of the end. */
    @Test
    fun `a transaction is carried out and its answer lost while other nodes read what it wrote`() =
        each {
            val done = submit(0, "sweep", 2, runMs = 4000)
            val gone = longArray(0, 1)
            val ends = ArrayList<String>()
            f.loseAnswerOf =
                { n, body ->
                    n == 0 &&
                        (done in body && "\"e\":\"d\"" in body || gone in body && "\"e\":\"w\"" in body).also {
                            if (it) {
                                ends
                                    .add(
                                        body,
                                    )
                            }
                        }
                }
            allRun(listOf(gone))
            runUntil(60_000, "the end of $done is written and its answer lost") { ends.isNotEmpty() }
            repeat(40) {
                f.lookClosely(f.rules.specs.getValue(done))
                f.runFor(100)
            }
            cancel(gone, listOf(0))
            runUntil(20_000, "the end of $gone is written and its answer lost") { ends.any { gone in it } }
            repeat(40) {
                f.lookClosely(f.rules.specs.getValue(gone))
                f.runFor(100)
            }
            assertTrue(f.rules.isDone(done))
            f.loseAnswerOf = { _, _ -> false }
            afterwards(listOf(done, gone))
            assertTrue(f.rules.isCancelled(gone))
        }

    /** Guard: attempts that are not proven gone count ([micatally.quota.Quota]), also under the shard's next holder, and what an
     * attempt of a lost shard gives back counts nowhere. */
    @Test
    fun `every team is at its limit while jobs are cancelled whose machines hang or are cut off, and the leader changes`() =
        each(big) {
            val old =
                (0..2).flatMap { n ->
                    listOf(
                        longArray(n, 20, "loaners" to false),
                        longArray(
                            n,
                            8,
                            "crew" to "text",
                            "loaners" to false,
                        ),
                    )
                }
            runUntil(f.lease * 8, "the teams are at their limits") { f.rules.running.size == 60 + 24 }
            val more =
                (0..2).flatMap { n ->
                    listOf(
                        longArray(n, 20, "loaners" to false),
                        longArray(
                            n,
                            8,
                            "crew" to "text",
                            "loaners" to false,
                        ),
                    )
                }
            f.runFor(2000)
            val ends = old.filter { r -> tasks(r).isNotEmpty() }
            val machines =
                f.rules.running
                    .mapTo(HashSet()) { it.machine }
                    .toList()
                    .sorted()
            for (m in machines.filterIndexed { i, _ -> i % 2 == 0 }) worker(m).hung = true
            val c = cut(CutMode.HOLD) { a, b -> machines.indexOf(a.name) % 4 == 1 && b.name.startsWith("n") }
            for (r in ends) cancel(r, listOf(0, 1, 2))
            f.runFor(300)
            f.crash(0)
            runUntil(f.lease * 2, "another node takes the ledger") { others.any { holdsOf(it, 0) } }
            f.runFor(f.lease / 2)
            f.startNode(0)
            f.runFor(f.lease / 2)
            heal(c)
            for (m in machines) {
                f.cloud.workers
                    .firstOrNull { it.name == m }
                    ?.hung = false
            }
            f.runFor(f.lease * 6)
            afterwards(old)
            assertEquals(84, more.sumOf { tasks(it).size }, "what was cancelled makes room for the rest")
        }

    /** Guard: every write is conditional on the mark of the shard's acquisition; a cancelled job's tasks are written with its record. */
    @Test
    fun `jobs are cancelled in the seconds in which one controller's work changes hands`() =
        each(big) {
            val jobIds = (1..8).map { longArray(0, 2) } + (1..4).map { submit(0, "daemon", 1) }
            allRun(jobIds)
            f.crash(0)
            for ((i, r) in jobIds.withIndex()) {
                f.scope.launch {
                    delay(f.lease * 6 / 10 + i * f.lease / 20)
                    cancel(r, listOf(1, 2))
                }
            }
            runUntil(f.lease * 2, "the ledger changes hands") { others.any { holdsOf(it, 0) } }
            f.runFor(f.lease / 5)
            f.startNode(0)
            runUntil(f.lease * 2, "and back") { holdsOf(0, 0) }
            f.runFor(f.lease * 2)
            assertTrue(jobIds.all { f.rules.isCancelled(it) })
            afterwards(jobIds)
        }

    /** Guard: an intent is durable before its run leaves, on the condition of the shard; the successor asks the machine with
     * its own token first ([micatally.worker.CommandDispatcher]). */
    @Test
    fun `new machines get work at once while writes lag, and the leader ends`() =
        each(big) {
            f.cloud.bootMs = { f.random.nextLong(200, 2000) }
            f.lateWrites = 0.3
            val jobIds = ArrayList<String>()
            repeat(6) {
                f.scope.launch {
                    f.user(
                        spec("sweep", 4).also { s ->
                            f.runs[s.jobId] = 30_000
                            jobIds.add(s.jobId)
                        },
                        null,
                    )
                }
                f.runFor(1500)
            }
            runUntil(f.lease * 2, "tasks run on new machines") { f.rules.running.isNotEmpty() }
            val before = f.writesWithoutAnswer
            f.crash(0)
            f.runFor(200)
            f.startNode(0)
            f.runFor(2500)
            f.crash(1)
            f.runFor(f.lease)
            f.startNode(1)
            f.runFor(f.lease)
            assertTrue(f.writesWithoutAnswer > before, "writes lagged")
            f.lateWrites = 0.0
            f.runFor(f.lease * 6)
            for (r in jobIds) assertTrue(f.rules.isAccepted(r) && f.rules.isDone(r), "$r is done")
        }

    /** Guard: reports that lack a task prove nothing ([micatally.job.JobManager.gone]), and only a newer (session, tick) counts. */
    @Test
    fun `an old report reaches every controller just as a new leader begins`() =
        each(big) {
            f.net.keepReports = true
            f.runFor(f.lease / 2)
            val jobIds = (0..2).map { submit(it, "daemon", 2) } + (0..2).map { longArray(it, 3) }
            runUntil(f.lease * 3, "the first tasks run") { f.rules.running.size >= 4 }
            f.net.keepReports = false
            allRun(jobIds)
            assertTrue(f.net.keptCount > 0, "reports from before the tasks are kept")
            val starts = f.rules.starts
            f.crash(0)
            runUntil(f.lease * 2, "a new leader begins") { others.any { leader(0) == it } }
            f.net.deliverKept(listOf("n1", "n2"))
            f.startNode(0)
            f.runFor(f.lease * 3)
            assertEquals(starts, f.rules.starts, "nothing starts a second time")
            afterwards(jobIds)
        }

    /** Guard: submissions beyond a second's writes are refused at once; a cancellation and its tasks are one transaction. */
    @Test
    fun `one-task jobs come four a second, a quarter of them cancelled`() =
        each {
            val all =
                (1..240).map { i ->
                    spec(
                        "sweep",
                        1,
                        "crew" to
                            if (i % 2 ==
                                0
                            ) {
                                "vision"
                            } else {
                                "text"
                            },
                    ).also { f.runs[it.jobId] = 1000 + f.random.nextLong(4000) }
                }
            for ((i, s) in all.withIndex()) {
                f.scope.launch {
                    delay(i * 250L)
                    f.user(
                        s,
                        if (i % 4 ==
                            0
                        ) {
                            f.random.nextLong(2500)
                        } else {
                            null
                        },
                        nosy = i % 8 == 0,
                    )
                }
            }
            f.runFor(60_000 + 60_000)
            assertTrue(all.all { f.rules.isAccepted(it.jobId) })
            assertTrue(
                all.all { f.rules.isFinal(it.jobId) },
                "all ended: ${all.filter { !f.rules.isFinal(it.jobId) }.map { it.jobId }}",
            )
            assertTrue(all.count { f.rules.isCancelled(it.jobId) } > 20)
        }

    /** Guard: [micatally.settings.Settings.leadershipMs] against the cancellation, and [micatally.settings.Settings.cancellationDelayMs] for the tasks. */
    @Test
    fun `a zone with workers and a controller is cut off for longer than a lease`() =
        each(big) {
            val zone = zoneOf(0)
            val doomed = listOf(longArray(1, 3, "circuit" to zone), submit(1, "daemon", 2, "circuit" to zone))
            val kept = submit(2, "daemon", 2, "circuit" to zone)
            allRun(doomed + kept)
            val c = cut(CutMode.HOLD) { a, b -> a.zone == zone && b.zone != zone }
            for (r in doomed) cancel(r, listOf(1, 2))
            runUntil(f.lease * 2, "the cancellations are told") { doomed.all { f.rules.isCancelled(it) } }
            f.runFor(f.lease / 5)
            assertEquals(2, tasks(kept).size)
            assertTrue(doomed.any { tasks(it).isNotEmpty() }, "the zone has not heard of them")
            f.runFor(f.cancelMs * 5 / 4)
            heal(c)
            f.runFor(f.lease * 2)
            afterwards(doomed + kept)
        }

    /** Guard: only a proof ends an attempt ([micatally.job.JobManager.gone]): a machine that can't be asked keeps its tasks. */
    @Test
    fun `a leader ends while machines with long tasks can't be reached or don't hear the new leader`() =
        each(big) {
            val jobIds = (1..3).map { longArray(0, 3) }
            allRun(jobIds)
            val machines =
                f.rules.running
                    .mapTo(HashSet()) { it.machine }
                    .sorted()
            for ((i, m) in machines.withIndex()) if (i % 2 == 0) f.net.deaf.add(m)
            val c = cut(CutMode.HOLD) { a, b -> machines.indexOf(a.name) % 2 == 1 && b.name.startsWith("n") }
            f.crash(0)
            runUntil(f.lease * 2, "a new leader begins") { others.any { holdsOf(it, 0) } }
            f.runFor(f.lease / 4)
            f.startNode(0)
            f.runFor(f.lease * 3 / 4)
            f.net.deaf.clear()
            heal(c)
            f.runFor(f.lease * 5)
            for (r in jobIds) assertEquals(3, tasks(r).size, "$r runs on or again")
        }

    /** Guard: zones and rules of placement hold for each start, whatever was lost before ([micatally.scheduling.Placement]). */
    @Test
    fun `jobs bound to one zone lose machines`() =
        each {
            val jobIds =
                f.settings[0].zones.flatMapIndexed { i, z ->
                    listOf(
                        longArray(i, 4, "circuit" to z),
                        submit(
                            i,
                            "daemon",
                            2,
                            "circuit" to z,
                            "scatter" to false,
                        ),
                    )
                } +
                    longArray(0, 4, "together" to true)
            allRun(jobIds)
            val lost =
                f.rules.running
                    .map { it.machine }
                    .distinct()
                    .shuffled(f.random)
                    .take(4)
            for (m in lost) f.loseShard(worker(m))
            f.runFor(2000)
            assertTrue(
                jobIds.any {
                    tasks(it).size <
                        f.rules.specs
                            .getValue(it)
                            .taskCount
                },
                "tasks were lost",
            )
            f.runFor(60_000)
            for (r in jobIds) {
                assertEquals(
                    f.rules.specs
                        .getValue(r)
                        .taskCount,
                    tasks(r).size,
                    "$r runs again",
                )
            }
        }

    /** Guard: each transaction is conditional on what it changes, the live key included ([micatally.membership.Membership]). */
    @Test
    fun `transactions without an answer are carried out late, after newer ones of the same controller`() =
        each(big) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 1), longArray(it, 2)) }
            allRun(jobIds)
            f.lateWrites = 0.4
            val more = ArrayList<String>()
            repeat(10) { i ->
                val s =
                    spec("sweep", 2).also {
                        f.runs[it.jobId] = 5000
                        more.add(it.jobId)
                    }
                f.user(
                    s,
                    if (i % 3 ==
                        0
                    ) {
                        4000L
                    } else {
                        null
                    },
                    nosy = true,
                )
                f.runFor(1500)
            }
            for (n in 0..2) {
                f.crash(n)
                f.runFor(400)
                f.startNode(n)
                f.runFor(f.lease / 2)
            }
            cancel(jobIds[1], listOf(0, 1, 2))
            f.runFor(f.lease)
            f.lateWrites = 0.0
            assertTrue(f.writesWithoutAnswer > 10)
            f.runFor(15_000)
            afterwards(jobIds)
            for (r in more) assertTrue(f.rules.isFinal(r), "$r has ended")
        }

    /** Guard: the state DONE is final and `withdraw` leaves it; what is told waits for the store ([micatally.api.UserApi]). */
    @Test
    fun `a cancellation, a question or a repeat meets the end of a job's last task`() =
        each {
            val jobIds = (1..12).map { submit(it % 3, "sweep", 1 + it % 2, runMs = 4000L) }
            var met = 0
            val waiting = jobIds.toMutableSet()
            val until = f.now + 90_000
            while (waiting.isNotEmpty() && f.now < until) {
                f.step(10)
                for (r in waiting.toList()) {
                    if (f.rules.completed[r]?.size ==
                        f.rules.specs
                            .getValue(r)
                            .taskCount
                    ) {
                        waiting.remove(r)
                        met++
                        when (met % 3) {
                            0 -> cancel(r, listOf(0, 1, 2))
                            1 -> {
                                cancel(r, listOf(met % 2))
                                f.lookClosely(f.rules.specs.getValue(r))
                            }
                            else -> f.lookClosely(f.rules.specs.getValue(r))
                        }
                    }
                }
            }
            assertEquals(12, met, "the last task of each ended")
            f.runFor(20_000)
            afterwards(jobIds)
            for (r in jobIds) assertTrue(f.rules.isFinal(r))
        }

    /** Guard: the token and the session that each command carries, and runs without an answer are remembered
     * ([micatally.worker.Machine.unansweredRuns]). */
    @Test
    fun `a command or its answer is held up for seconds, and the machine then goes on`() =
        each(big) {
            val warm = submit(0, "daemon", 1)
            allRun(listOf(warm))
            for (w in f.cloud.workers) {
                f.net.heldCommandsMs[w.name] = 4000
                f.net.heldAnswersMs[w.name] =
                    if (w.name.hashCode() % 2 == 0) 9000 else 0
            }
            val jobIds = (0..2).map { longArray(it, 3, "loaners" to false) } + submit(1, "daemon", 2)
            f.runFor(3000)
            cancel(jobIds[0], listOf(1, 2, 0))
            for (w in f.cloud.workers) w.hung = true
            f.runFor(6000)
            for (w in f.cloud.workers) w.hung = false
            f.crash(1)
            f.runFor(500)
            f.startNode(1)
            f.runFor(f.lease)
            f.net.heldCommandsMs.clear()
            f.net.heldAnswersMs.clear()
            f.runFor(f.lease * 4)
            assertTrue(f.rules.isCancelled(jobIds[0]) && tasks(jobIds[0]).isEmpty())
            for (r in jobIds.drop(1)) {
                assertEquals(
                    f.rules.specs
                        .getValue(r)
                        .taskCount,
                    tasks(r).size,
                    r,
                )
            }
            assertEquals(0, f.rules.runsSentAfterCancel)
        }

    /** Guard: a report is as old as its (session, tick); what a new leader has done since is not undone by it. */
    @Test
    fun `a report is held back until a new leader has acted, and then arrives there`() =
        each(big) {
            val jobIds = (1..3).map { longArray(0, 2) }
            allRun(jobIds)
            f.net.keepReports = true
            f.runFor(f.lease / 2)
            f.net.keepReports = false
            val machines =
                f.rules.running
                    .map { it.machine }
                    .distinct()
            f.crash(0)
            runUntil(f.lease * 2, "a new leader begins") { others.any { holdsOf(it, 0) } }
            for (r in jobIds.take(2)) cancel(r, others)
            runUntil(
                f.lease * 2,
                "it has acted",
            ) { jobIds.take(2).all { tasks(it).isEmpty() && f.rules.isCancelled(it) } }
            f.loseShard(worker(machines.last()))
            f.runFor(f.lease / 2)
            f.net.deliverKept(listOf("n1", "n2"))
            f.startNode(0)
            f.runFor(f.lease * 5)
            assertEquals(2, tasks(jobIds[2]).size)
            assertEquals(0, f.rules.startsAfterCancel)
            afterwards(jobIds)
        }

    /** Guard: a newer session is a proof, the end of a lease alone is not; the successor asks before it places. */
    @Test
    fun `all controllers are away for longer than a lease`() =
        each(big) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 2), longArray(it, 3)) }
            allRun(jobIds)
            cancel(jobIds[1], listOf(0, 1, 2))
            f.runFor(30)
            for (i in 0..2) f.crash(i)
            f.runFor(f.lease * 5 / 4)
            assertTrue(f.rules.running.isEmpty(), "the workers' leases ended")
            for (i in 0..2) {
                f.startNode(i)
                f.runFor(300)
            }
            f.runFor(f.lease * 5)
            for (r in jobIds.drop(2)) {
                assertEquals(
                    f.rules.specs
                        .getValue(r)
                        .taskCount,
                    tasks(r).size,
                    r,
                )
            }
            afterwards(jobIds)
        }

    /** Guard: which tasks are done is written with the record, and the last one only then makes the job done. */
    @Test
    fun `jobs of two or three tasks end far apart across a change of leader`() =
        each(big) {
            val jobIds = (1..4).map { submit(0, "sweep", 2 + it % 2) }
            for (r in jobIds) f.runs[r] = f.lease / 4
            runUntil(f.lease * 3, "first tasks end") { jobIds.all { f.rules.completed.containsKey(it) } }
            f.crash(0)
            f.runFor(f.lease / 5)
            f.startNode(0)
            f.runFor(f.lease / 2)
            f.crash(0)
            runUntil(f.lease * 2, "a new leader begins") { others.any { holdsOf(it, 0) } }
            f.startNode(0)
            f.runFor(f.lease * 4)
            afterwards(jobIds)
            for (r in jobIds) assertTrue(f.rules.isDone(r), "$r is done")
        }

    /** Guard: [micatally.settings.Settings.leadershipMs], [micatally.membership.Membership.mayStart] and the lease at the state service
     * ([micatally.membership.Membership.leaseHolds]) bind a leader that hears of nothing. */
    @Test
    fun `a leader is cut from the state service and the other controllers, and jobs are cancelled through the new one`() =
        each(big) {
            val zone = zoneOf(0)
            val jobIds = (1..3).map { longArray(0, 2, "circuit" to zone) } + submit(0, "daemon", 1, "circuit" to zone)
            allRun(jobIds)
            val machines =
                f.rules.running
                    .map { it.machine }
                    .toSet()
            val c =
                cut(if (f.random.nextBoolean()) CutMode.HOLD else CutMode.RESET) { a, b ->
                    a.name == "n0" &&
                        (b.name == "state" || b.name.startsWith("n"))
                }
            // Its machines can't be reached by the others.
            val d = cut(CutMode.HOLD) { a, b -> a.name in machines && b.name in listOf("n1", "n2") }
            runUntil(f.lease * 2, "a new leader begins") { others.any { holdsOf(it, 0) } }
            for (r in jobIds.take(3)) cancel(r, others)
            runUntil(f.lease * 3, "they are told") { jobIds.take(3).all { f.rules.isCancelled(it) } }
            assertTrue(jobIds.take(3).any { tasks(it).isNotEmpty() }, "the old leader keeps them up")
            for (r in jobIds) {
                f.lookClosely(f.rules.specs.getValue(r))
            }
            f.runFor(f.cancelMs * 5 / 4)
            heal(c)
            heal(d)
            f.runFor(f.lease * 3)
            assertEquals(0, f.rules.runsSentAfterCancel)
            afterwards(jobIds)
        }

    /** Guard: as for every team's limit; a cancellation frees room only with a proof. */
    @Test
    fun `a team is at its limit when the leader changes, some machines can't be asked, and a cancellation falls into that`() =
        each(big) {
            val old = (0..2).map { longArray(it, 20) }
            runUntil(f.lease * 8, "the team is at its limit") { f.rules.running.size == 60 }
            val next = (0..2).map { longArray(it, 20) }
            val machines =
                f.rules.running
                    .map { it.machine }
                    .distinct()
                    .sorted()
            for (m in machines.filterIndexed { i, _ -> i % 2 == 0 }) {
                f.net.deaf.add(m)
            }
            f.crash(0)
            cancel(old[0], others)
            cancel(old[1], others)
            runUntil(f.lease * 2, "the leader changes") { others.any { holdsOf(it, 0) } }
            f.runFor(f.lease / 3)
            f.net.deaf.clear()
            f.startNode(0)
            f.runFor(f.lease * 6)
            assertTrue(f.rules.isCancelled(old[0]) && f.rules.isCancelled(old[1]))
            assertEquals(60, (old + next).sumOf { tasks(it).size }, "the rest gets the room")
            afterwards(old)
        }

    /** Guard: placement from the top queue down, by priority; requests that wait too long are refused with `Retry-After`. */
    @Test
    fun `there is more work than room, urgent and not, over slow links`() =
        each {
            for (i in 0..2) f.net.slowMs["n$i"] = 80
            f.net.slowMs["state"] = 60
            val low = (0..2).map { longArray(it, 30, "grid" to "low", "crew" to "text") }
            f.runFor(30_000)
            assertEquals(24, f.rules.running.size, "no room is left to the team")
            val urgent = (0..2).map { submit(it, "daemon", 2, "grid" to "production", "crew" to "vision") }
            allRun(urgent)
            cancel(low[0], listOf(0, 1, 2))
            f.runFor(30_000)
            f.net.slowMs.clear()
            f.runFor(20_000)
            assertEquals(24, low.sumOf { tasks(it).size })
            afterwards(urgent)
        }

    /** Guard: direct orders reach what reports don't; the end of a lease is not a proof by itself. */
    @Test
    fun `workers can't open connections to any controller while direct commands reach them`() =
        each(big) {
            val jobIds = (0..2).flatMap { listOf(longArray(it, 2), submit(it, "daemon", 1)) }
            allRun(jobIds)
            val machines =
                f.rules.running
                    .map { it.machine }
                    .distinct()
            f.net.mute.addAll(machines)
            f.runFor(f.lease / 2)
            cancel(jobIds[0], listOf(0, 1, 2))
            runUntil(
                f.lease / 2,
                "a direct command ends it",
            ) { tasks(jobIds[0]).isEmpty() && f.rules.isCancelled(jobIds[0]) }
            f.crash(0)
            f.runFor(500)
            f.startNode(0)
            f.runFor(f.lease)
            f.net.mute.clear()
            f.runFor(f.lease * 5)
            for (r in jobIds.drop(1)) {
                assertEquals(
                    f.rules.specs
                        .getValue(r)
                        .taskCount,
                    tasks(r).size,
                    r,
                )
            }
            afterwards(jobIds)
        }

    /** Guard: a holder is a process, not a host: what a host had taken over before it ended is taken over in its turn
     * (`isOrphan` of `micatally.membership.ShardAcquisition`). */
    @Test
    fun `controllers hand over and back, all end, and one returns within a second`() =
        each(big) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 2), longArray(it, 2)) }
            allRun(jobIds)
            f.crash(0)
            runUntil(f.lease * 2, "it is handed over") { others.any { holdsOf(it, 0) } }
            val taker = others.first { holdsOf(it, 0) }
            f.crash(taker)
            f.runFor(400)
            f.startNode(taker)
            runUntil(f.lease * 3, "what it had taken over has a holder again while its host is away") {
                others.any { holdsOf(it, 0) }
            }
            cancel(jobIds[0], others)
            runUntil(f.lease * 2, "a job of it is cancelled") { f.rules.isCancelled(jobIds[0]) }
            f.startNode(0)
            runUntil(f.lease * 2, "and handed back") { holdsOf(0, 0) }
            for (i in 0..2) f.crash(i)
            f.runFor(600)
            f.startNode(1)
            runUntil(f.lease * 3, "the one that returned holds all") { (0..2).all { holdsOf(1, it) } }
            f.runFor(f.lease / 2)
            f.startNode(0)
            f.startNode(2)
            f.runFor(f.lease * 4)
            for (r in jobIds.drop(1)) {
                assertEquals(
                    f.rules.specs
                        .getValue(r)
                        .taskCount,
                    tasks(r).size,
                    r,
                )
            }
            afterwards(jobIds)
        }

    /** Guard: the fencing token in each acquisition, and as token in each command. */
    @Test
    fun `leaders change ten times in two minutes, also inside an outage`() =
        each(big) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 2), longArray(it, 2)) }
            allRun(jobIds)
            val epochs = HashSet<Long>()
            repeat(10) { i ->
                val n = i % 3
                f.crash(n)
                f.runFor(f.random.nextLong(100, 8000))
                if (i == 4) f.state.down = true
                if (i == 6) f.state.down = false
                f.startNode(n)
                if (i == 3 || i == 7) cancel(jobIds[i - 2], listOf(0, 1, 2))
                f.runFor(f.random.nextLong(1000, 7000))
                epochs.add(
                    f.live[n]!!
                        .membership.sharedKeys.fencingToken,
                )
            }
            assertTrue(epochs.size >= 6, "$epochs")
            f.runFor(f.lease * 4)
            afterwards(jobIds)
            assertTrue(f.rules.isCancelled(jobIds[1]) && f.rules.isCancelled(jobIds[5]))
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
            f.stateRefuses.add("n0")
            for (r in jobIds.filterIndexed { i, _ -> i % 2 == 1 }) cancel(r, listOf(0, 1, 2))
            runUntil(f.lease, "one is confirmed") { jobIds.any { f.rules.isCancelled(it) } }
            f.state.down = true
            f.runFor(f.cancelMs * 6 / 5)
            f.state.down = false
            f.stateRefuses.clear()
            f.net.slowMs.clear()
            f.runFor(f.lease * 2)
            afterwards(jobIds)
        }

    /** Guard: (session, tick) orders reports; tasks are named by job, number and attempt. */
    @Test
    fun `old reports arrive after newer ones, also from an earlier session or attempt`() =
        each(big) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 2), longArray(it, 2)) }
            allRun(jobIds)
            f.net.keepReports = true
            f.runFor(f.lease / 3)
            f.net.keepReports = false
            // The next sessions: all leases end.
            val before = f.cloud.workers.associate { it.name to it.incarnation }
            val machines =
                f.cloud.workers
                    .map { it.name }
                    .toSet()
            f.net.mute.addAll(machines)
            f.runFor(f.lease * 5 / 4)
            f.net.mute.clear()
            assertTrue(f.cloud.workers.any { it.incarnation > (before[it.name] ?: Long.MAX_VALUE) }, "sessions ended")
            f.runFor(f.lease)
            f.net.deliverKept(listOf("n0", "n1", "n2"))
            cancel(jobIds[1], listOf(0, 1, 2))
            f.runFor(f.lease * 4)
            for (r in jobIds.drop(2)) {
                assertEquals(
                    f.rules.specs
                        .getValue(r)
                        .taskCount,
                    tasks(r).size,
                    r,
                )
            }
            afterwards(jobIds)
        }
}
