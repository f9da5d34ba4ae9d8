package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.RuleViolation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What the on-call people met: late machines, jobs with a mistake, and what comes with them. */
class OperationsTest {
    private val seeds = 1..2

    private fun each(
        before: SimFleet.() -> Unit = {},
        test: Meeting.() -> Unit,
    ) {
        for (seed in seeds) meeting(seed, before = before, test = test)
    }

    private fun Meeting.excludedMachines() =
        f.live.filterNotNull().flatMap { node ->
            val time =
                node.machines.byName.values
                    .maxOfOrNull { it.heardAt } ?: 0L
            node.machines.byName.values
                .filter { !it.deleted && it.health.excludedUntil > time }
                .map { it.name }
        }

    private fun Meeting.submitBroken(
        node: Int,
        format: String,
        tasks: Int,
    ): String =
        spec(
            format,
            tasks,
            "loaners" to false,
        ).let { s ->
            f.broken.add(s.jobId)
            val (status, _) = f.asked(node, "POST", "/work", s.source.toString().encodeToByteArray())
            assertEquals(201, status)
            f.rules.answeredSubmit(s.jobId, status)
            s.jobId
        }

    /** Guard: a job that fails everywhere accuses no machine ([micatally.job.FaultJudgement]); it is tried with one task at a time, and
     * waits longer after each failure ([micatally.job.JobHealth]). Before, any machine without a success was left alone after one failure. */
    @Test
    fun `jobs with a mistake take no machine out of service and little of the fleet`() =
        each {
            val good = (0..2).map { submit(it, "daemon", 2, "loaners" to false) }
            allRun(good)
            f.runFor(f.lease * 2)
            val broken = (0..2).map { submitBroken(it, "sweep", 8) } + submitBroken(0, "daemon", 2)
            f.runFor(f.lease * 3)
            val starts = f.rules.starts
            val rented = f.cloud.count()
            f.runFor(f.lease * 6)
            assertTrue(f.rules.starts - starts <= broken.size * 12, "${f.rules.starts - starts} starts in six leases")
            assertTrue(f.rules.starts > starts, "they are still tried")
            assertTrue(f.cloud.count() <= rented, "nothing is rented for them")
            assertTrue(excludedMachines().isEmpty(), "${excludedMachines()}")
            val late = submit(1, "sweep", 2, "loaners" to false, runMs = 1000)
            runUntil(f.lease * 3, "another job is done beside them") { f.rules.completed[late]?.size == 2 }
            for ((i, jobId) in broken.withIndex()) cancel(jobId, listOf((i + 1) % 3))
            f.runFor(f.lease * 4)
            assertTrue(broken.all { f.rules.isCancelled(it) })
            afterwards(good)
        }

    /** Guard: two jobs, or one that runs elsewhere, exclude a machine ([micatally.worker.MachineHealth]), whatever broken jobs do meanwhile. */
    @Test
    fun `a faulty machine is found while jobs with a mistake run`() =
        each {
            submitBroken(0, "sweep", 4)
            val array = submit(0, "sweep", 8, "loaners" to false, runMs = 4000)
            runUntil(f.lease * 4, "some tasks are done") { (f.rules.completed[array]?.size ?: 0) >= 2 }
            val faulty =
                f.cloud.workers
                    .filter {
                        it.onMachine.isEmpty() ||
                            it.onMachine.any { t ->
                                t.jobId == array
                            }
                    }.maxBy { it.onMachine.size }
            faulty.sick = true
            val more = (1..6).map { submit(it % 3, "sweep", 6, "loaners" to false, runMs = 3000) }
            runUntil(f.lease * 6, "the faulty machine is left alone") { faulty.name in excludedMachines() }
            f.runFor(f.lease * 12)
            assertTrue(more.all { f.rules.completed[it]?.size == 6 }, "all others are done beside it")
        }

    /** Guard: late machines are waited for while all are late ([micatally.fleet.BootTimes]). Before, each was given up after four nominal
     * boots and ordered anew, so that none ever came. */
    @Test
    fun `machines that take seven times as long come up, and little more than needed is rented`() =
        each({
            cloud.bootMs =
                { (it.readyS * 7000).toLong() }
        }) {
            val jobIds = (0..2).map { submit(it, "daemon", 2, "cores" to 4.0, "loaners" to false) }
            var most = 0
            runUntil(f.lease * 12, "all replicas run") {
                most = maxOf(most, f.cloud.count())
                jobIds.all { tasks(it).size == 2 }
            }
            assertTrue(most <= NEEDED_AT_MOST * 2, "$most machines at once")
        }

    /** Guard: a provisioning request stays stored until its machines are up ([micatally.fleet.ScaleOut]). Before, a new fleet manager
     * provisioned all machines that were booting once more. */
    @Test
    fun `a new fleet manager does not provision again what its predecessor has provisioned`() =
        each({
            cloud.bootMs =
                { (it.readyS * 5000).toLong() }
        }) {
            val jobIds = (1..2).map { submit(it, "daemon", 2, "cores" to 4.0, "loaners" to false) }
            runUntil(f.lease, "machines are provisioned") { f.cloud.count() > 0 }
            f.runFor(f.lease / 10)
            val before = f.cloud.count()
            f.crash(leader()!!)
            runUntil(f.lease * 3 / 2, "another node manages the fleet") { leader() != null }
            f.runFor(f.lease / 10)
            assertEquals(before, f.cloud.count(), "at ${f.now}; stored requests ${f.state.keysUnder("c/rent/")}")
            runUntil(f.lease * 6, "all replicas run") { jobIds.all { tasks(it).size == 2 } }
        }

    /** Found in an incident: a controller that its workers could not reach still talked to the others, which sent each worker back to
     * it until its lease was over. Guard: [micatally.api.WorkerRedirects]. */
    @Test
    fun `workers that can't reach their zone's controller keep their tasks`() {
        for (mode in CutMode.entries) {
            each {
                val jobIds = (0..2).map { submit(it, "daemon", 3, "loaners" to false) }
                allRun(jobIds)
                f.runFor(f.lease)
                val starts = f.rules.starts
                val cut = cutFromWorkers(mode)
                f.runFor(f.lease * 4)
                heal(cut)
                f.runFor(f.lease * 5)
                assertEquals(starts, f.rules.starts, "$mode: nothing starts again")
                val zone = zoneOf(0)
                val there =
                    f.live[0]!!
                        .machines.byName.values
                        .filter { it.zone == zone && !it.deleted }
                val latest = there.maxOf { it.heardAt }
                assertTrue(there.any { it.heardHereAt > latest - f.lease }, "workers go back to their zone")
            }
        }
    }

    /** Guard: a controller that can talk to no worker says that it is not healthy, accepts nothing, and leaves its shard to one that
     * can ([micatally.worker.WorkerReach], [micatally.membership.Membership.shouldStepDown]). */
    @Test
    fun `the jobs of a controller that is cut from the workers go on at another one, and short cuts move nothing`() {
        for (mode in CutMode.entries) {
            each {
                val before = (0..2).map { submit(it, "daemon", 2, "loaners" to false) }
                allRun(before)
                val fencingToken =
                    f.live[1]!!
                        .membership.sharedKeys.fencingToken
                repeat(2) {
                    val short = cutFromWorkers(mode)
                    f.runFor(f.lease / 4)
                    heal(short)
                    f.runFor(f.lease / 4)
                }
                assertEquals(
                    fencingToken,
                    f.live[1]!!
                        .membership.sharedKeys.fencingToken,
                    "short cuts move nothing",
                )
                val cut = cutFromWorkers(mode)
                f.runFor(100)
                val waiting = submit(0, "sweep", 2, "loaners" to false, runMs = 1000)
                runUntil(f.lease, "it says that it is not healthy") { f.asked(0, "GET", "/healthz").first == 503 }
                assertEquals(
                    503,
                    f.asked(0, "POST", "/work", spec("sweep", 1).source.toString().encodeToByteArray()).first,
                )
                runUntil(f.lease * 2, "the job is done at another controller") { f.rules.completed[waiting]?.size == 2 }
                cancel(before[0], listOf(1, 2))
                runUntil(f.lease * 2, "its jobs can be cancelled") { f.rules.isCancelled(before[0]) }
                f.runFor(f.lease * 4)
                heal(cut)
                runUntil(f.lease * 2, "it has its ledger again") {
                    holdsOf(0, 0) &&
                        f.asked(0, "GET", "/healthz").first == 200
                }
                afterwards(before)
            }
        }
    }

    /** Guard: reads for users' questions keep to a share of a node's requests ([micatally.api.RecordReads]); else submissions and starts
     * wait behind thousands of questions about jobs that nobody submitted. */
    @Test
    fun `submissions and starts keep their time in a storm of questions`() =
        each {
            allRun((0..2).map { submit(it, "daemon", 1, "loaners" to false) })
            var refused = 0
            var answered = 0
            for (node in 0 until f.nodes) {
                repeat(STORM_QUESTIONS_PER_S * 20) { i ->
                    f.scope.launch {
                        delay(i * 1000L / STORM_QUESTIONS_PER_S)
                        when (f.askNode(node, "GET", "/work/j-9%05d".format(i), null, 2000).first) {
                            404 -> answered++
                            503 -> refused++
                            else -> throw RuleViolation(
                                "invented",
                                "a question about a job that nobody submitted got neither 404 nor 503 in time",
                            )
                        }
                    }
                }
            }
            f.runFor(3000)
            for (node in 0 until f.nodes) {
                val asked = f.now
                val jobId = submit(node, "sweep", 2, "loaners" to false, runMs = 500)
                assertTrue(f.now - asked < 1000, "accepted in ${f.now - asked} ms")
                runUntil(f.lease * 2, "its tasks are done") { f.rules.completed[jobId]?.size == 2 }
            }
            f.runFor(20_000)
            assertTrue(answered > 0 && refused > 0, "$answered answered, $refused refused")
        }

    /** Guard: counts of finished tasks are written together ([micatally.job.JobStore]), and done tasks stand in the record, so that an end of
     * the owner repeats only what was done in the last moments. */
    @Test
    fun `a huge array takes few writes, and its owner's end repeats little of it`() =
        each {
            f.cloud.bootMs = { 1000L }
            var writes = 0
            val jobId = submit(0, "sweep", HUGE, "cores" to 0.25, "loaners" to false, runMs = 1500)
            f.holdWriteOf = { _, body ->
                if (jobId in body) writes++
                null
            }
            runUntil(f.lease * 10, "a third is done") { (f.rules.completed[jobId]?.size ?: 0) > HUGE / 3 }
            val starts = f.rules.starts
            val done = f.rules.completed[jobId]!!.size
            f.crash(0)
            runUntil(f.lease * 3, "another owner goes on") { (f.rules.completed[jobId]?.size ?: 0) > HUGE / 2 }
            f.startNode(0)
            runUntil(f.lease * 20, "all is done") { f.rules.completed[jobId]?.size == HUGE }
            assertTrue(writes < HUGE / 2, "$writes writes for $HUGE tasks")
            assertTrue(
                f.rules.starts < HUGE * 11 / 10 + 500,
                "${f.rules.starts} starts, $starts of them for the first $done",
            )
        }

    private fun Meeting.cutFromWorkers(mode: CutMode) = cut(mode) { a, b -> a.name.startsWith("m-") && b.name == "n0" }

    private fun Meeting.leader() = (0 until f.nodes).firstOrNull { f.live[it]?.isFleetManager == true }

    private companion object {
        /** Machines of the simulation that take all tasks of a test. */
        const val NEEDED_AT_MOST = 3
        const val STORM_QUESTIONS_PER_S = 150
        const val HUGE = 2000
    }
}
