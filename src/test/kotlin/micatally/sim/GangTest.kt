package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.OnMachine
import micatally.gang.GangPhase
import micatally.job.AttemptState
import micatally.job.AttemptTermination
import micatally.job.TerminationEvidence
import micatally.wire.ExitReason
import micatally.wire.Heartbeat
import micatally.wire.ListedTask
import micatally.wire.bytes
import micatally.worker.StatusSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Gang jobs on emulated workers. [SimFleet] checks the rules after each step. */
class GangTest {
    /** Fields of a job whose tasks each get a machine of their own, so that a test can lose a single task. */
    private val fieldsForOwnMachine =
        arrayOf<Pair<String, Any>>(
            "cores" to 5.0,
            "loaners" to false,
            "chassis" to "small",
        )

    private fun Scenario.gang(
        node: Int,
        tasks: Int,
        vararg more: Pair<String, Any>,
        runMs: Long = 8000,
    ): String {
        val all =
            fieldsForOwnMachine
                .filter { (name, _) ->
                    name != "chassis" && more.none { it.first == name }
                }.toTypedArray()
        return submit(node, "gang", tasks, *all, "together" to true, *more, runMs = runMs)
    }

    /** The job at the node that leads its shard. */
    private fun Scenario.gangOf(jobId: String) =
        fleet.live
            .mapNotNull {
                it?.jobManager?.job(jobId)
            }.first { it.shard.isLedHere }

    private fun Scenario.phase(jobId: String) = gangOf(jobId).gang!!.phase

    private fun Scenario.done(jobId: String) =
        fleet.rules.completed[jobId]?.size ==
            fleet.rules.specs
                .getValue(jobId)
                .taskCount

    private fun Scenario.statuses(jobId: String) =
        fleet.cloud.workers.flatMap { worker ->
            worker.tasks
                .filter {
                    it.jobId == jobId &&
                        it.isOnMachine
                }.map { it.status }
        }

    private fun Scenario.attempts(jobId: String) =
        fleet.cloud.workers
            .flatMap { worker ->
                worker.tasks
                    .filter {
                        it.jobId == jobId &&
                            it.isOnMachine
                    }.map { it.attempt }
            }.toSet()

    private fun Scenario.runUntilRunning(jobId: String) =
        runUntil(fleet.lease * 6, "all tasks of $jobId run") {
            statuses(jobId).let {
                it.size ==
                    fleet.rules.specs
                        .getValue(jobId)
                        .taskCount && it.all { status -> status == "running" }
            }
        }

    private fun Scenario.runUntilKnownRunning(jobId: String) {
        runUntilRunning(jobId)
        runUntil(fleet.lease, "its leader knows that it runs") { phase(jobId) == GangPhase.RUNNING }
    }

    private fun Scenario.runUntilWaiting(jobId: String) =
        runUntil(fleet.lease * 6, "a task of $jobId waits for others that have not started") {
            statuses(jobId).let {
                "waiting" in it && it.size <
                    fleet.rules.specs
                        .getValue(jobId)
                        .taskCount
            }
        }

    private fun Scenario.runUntilDone(jobId: String) {
        runUntil(fleet.lease * 12, "$jobId is done") { done(jobId) }
        runUntil(5000, "users are told that it is done") { fleet.asked(0, "GET", "/work/$jobId").second == "done" }
        assertEquals(emptyList<OnMachine>(), tasks(jobId))
    }

    /**
     * Guards [micatally.gang.Gang.beginRun]: all tasks of a run get the same attempt number. With different numbers
     * they would wait for each other in vain.
     */
    @Test
    fun `all tasks start together with one attempt number and complete together`() =
        scenario(1) {
            val jobId = gang(0, 4)
            runUntilRunning(jobId)
            assertEquals(1, attempts(jobId).size)
            assertEquals(1, tasks(jobId).map { it.zone }.distinct().size)
            runUntilDone(jobId)
            assertEquals(0, fleet.workers.gangs.endedAlone)
        }

    @Test
    fun `a gang above its team's limit gets 422, a repeated submission of a known gang gets 200`() =
        scenario(2) {
            val jobId = gang(0, 3)
            assertEquals(
                200,
                fleet
                    .asked(
                        1,
                        "POST",
                        "/work",
                        fleet.rules.specs
                            .getValue(jobId)
                            .source
                            .bytes(),
                    ).first,
            )
            val large = spec("gang", 13, "cores" to 5.0)
            assertEquals(422, fleet.asked(0, "POST", "/work", large.source.bytes()).first)
            val apart = spec("gang", 2, "together" to true, "scatter" to true)
            assertEquals(422, fleet.asked(0, "POST", "/work", apart.source.bytes()).first)
        }

    /** Guards [micatally.gang.GangPolicy.endsRun]: if every loss ended the run, the attempt number would change. */
    @Test
    fun `a task that is lost while the gang waits is replaced under the same attempt number`() =
        scenario(3) {
            val jobId = gang(0, 3, "size_gb" to 6.0)
            runUntilWaiting(jobId)
            val number = attempts(jobId).single()
            val lost = tasks(jobId).first().machine
            fleet.workers.loseMachine(worker(lost))
            runUntilRunning(jobId)
            assertEquals(setOf(number), attempts(jobId))
            runUntilDone(jobId)
        }

    /** Guards [micatally.gang.Gang.wasTried], the record of the machines to which the tasks of a run were assigned. */
    @Test
    fun `a replacement goes to no machine that got the same task with the same attempt number`() =
        scenario(4) {
            val jobId = gang(0, 3, "size_gb" to 6.0)
            runUntilWaiting(jobId)
            val job = gangOf(jobId)
            val attempt = job.attempts.values.first()
            val machine = attempt.machine
            fleet.live[0]!!.jobManager.terminate(
                attempt,
                AttemptTermination(
                    TerminationEvidence.NEVER_SENT,
                    "as if refused",
                    ExitReason.IN_USE,
                ),
            )
            fleet.runFor(fleet.lease / 2)
            assertTrue(job.attempts[attempt.taskIndex]?.machine !== machine)
            runUntilDone(jobId)
        }

    /**
     * Guards [micatally.gang.GangPolicy.endsRun] and [micatally.gang.GangPolicy.hasLostTask], each of which ends a run
     * that has lost a task; the test fails only without both. The next run waits until all tasks of the former one are
     * gone.
     */
    @Test
    fun `a running gang that loses a machine is stopped and starts again from its checkpoint`() =
        scenario(5) {
            val jobId = gang(0, 3, "sector_s" to 2.0, "pit_stop_s" to 1.0, runMs = 12_000)
            runUntilKnownRunning(jobId)
            val number = attempts(jobId).single()
            fleet.runFor(5000)
            fleet.workers.loseMachine(worker(tasks(jobId).first().machine))
            val lostAt = fleet.now
            runUntil(fleet.lease * 5, "the tasks of the next run are on machines") {
                attempts(jobId).let {
                    it.isNotEmpty() &&
                        it.all { attempt -> attempt > number }
                }
            }
            runUntilDone(jobId)
            assertTrue(fleet.workers.gangs.safeProgressMs(jobId) >= 4000)
            assertTrue(fleet.now - lostAt < 60_000)
        }

    /**
     * Guards two rules: only termination evidence ends an attempt, and a gang keeps its zone until its old run is gone.
     */
    @Test
    fun `a task on a hung machine is not started elsewhere without termination evidence`() =
        scenario(6) {
            val jobId = gang(0, 3)
            runUntilKnownRunning(jobId)
            val hung = worker(tasks(jobId).first().machine)
            hung.hung = true
            fleet.runFor(fleet.lease / 2)
            assertTrue(phase(jobId) == GangPhase.ENDING, "${phase(jobId)}")
            assertEquals(0, tasks(jobId).count { it.machine != hung.name })
            fleet.runFor(fleet.lease)
            hung.hung = false
            runUntilDone(jobId)
        }

    /**
     * Guards [micatally.gang.GangSupervisor.stopGracefully]: if only one task of a gang were stopped, nothing would be
     * saved.
     */
    @Test
    fun `a spot notice stops all tasks in time, and their progress is saved`() =
        scenario(7) {
            val jobId = gang(0, 3, "sector_s" to 60.0, "pit_stop_s" to 1.0, "loaners" to true, runMs = 15_000)
            runUntilKnownRunning(jobId)
            fleet.runFor(4000)
            worker(tasks(jobId).first().machine).spotNoticeS = 8.0
            runUntil(fleet.lease, "the progress is saved") { fleet.workers.gangs.savedStops == 1 }
            assertEquals(0, fleet.workers.gangs.lateKills)
            assertTrue(fleet.workers.gangs.safeProgressMs(jobId) >= 3000)
            runUntilDone(jobId)
        }

    /**
     * Guards [micatally.gang.GangPolicy.mayStopGracefully], which requires that all machines of the gang are reachable.
     */
    @Test
    fun `no graceful stop begins while a machine of the gang is unreachable`() =
        scenario(8) {
            val jobId = gang(0, 3, "sector_s" to 1.0, "pit_stop_s" to 1.0, "loaners" to true, runMs = 30_000)
            runUntilKnownRunning(jobId)
            val (first, second) = tasks(jobId).map { it.machine }
            fleet.net.inboundBlocked.add(second)
            fleet.live[0]!!.machines.of(second)!!.let {
                it.channel.needsStatus = true
                fleet.live[0]!!.jobManager.requestSync(it)
            }
            runUntil(fleet.lease, "the leader knows that the machine is unreachable") {
                fleet.live[0]!!
                    .machines
                    .of(second)!!
                    .channel.failuresInRow > 0
            }
            worker(first).spotNoticeS = 8.0
            fleet.runFor(3000)
            assertEquals(setOf("running"), statuses(jobId).toSet())
            fleet.net.inboundBlocked.remove(second)
            runUntilDone(jobId)
        }

    /** Submits a gang at node 0 and brings it into this phase. A machine that is hung for that stays hung. */
    private fun Scenario.gangIn(phase: GangPhase): String {
        // A large image keeps some tasks pulling, and so the gang waiting, for longer.
        val size = if (phase == GangPhase.WAITING) 8.0 else 1.0
        val jobId =
            gang(0, 3, "size_gb" to size, "sector_s" to 60.0, "pit_stop_s" to 3.0, "loaners" to true, runMs = 20_000)
        when (phase) {
            GangPhase.PLACING -> {}
            GangPhase.WAITING -> runUntilWaiting(jobId)
            else -> runUntilKnownRunning(jobId)
        }
        if (phase != GangPhase.PLACING) fleet.runFor(500)
        if (phase == GangPhase.STOPPING) worker(tasks(jobId).first().machine).spotNoticeS = 8.0
        if (phase == GangPhase.ENDING) worker(tasks(jobId).first().machine).hung = true
        runUntil(fleet.lease, "the gang is $phase") { phase(jobId) == phase }
        return jobId
    }

    /** Guards [micatally.job.Cancellations.mayConfirm], which holds for gangs as for all jobs. */
    @Test
    fun `a gang is cancelled in each of its phases`() {
        for ((seed, phase) in GangPhase.entries.withIndex()) {
            scenario(30 + seed) {
                val jobId = gangIn(phase)
                cancel(jobId, listOf(0, 1, 2))
                runUntil(fleet.lease * 3, "the cancellation is confirmed") { fleet.rules.isCancelled(jobId) }
                for (worker in fleet.cloud.workers) worker.hung = false
                fleet.runFor(fleet.cancelMs)
                assertEquals(emptyList<OnMachine>(), tasks(jobId), "$phase")
                checkRecovery(listOf(jobId))
            }
        }
    }

    /**
     * Guards [micatally.gang.GangSupervisor.restore]: a new leader derives the phase from the job's record and
     * heartbeats.
     */
    @Test
    fun `a gang completes after a change of leader in each of its phases`() {
        for ((seed, phase) in GangPhase.entries.withIndex()) {
            scenario(20 + seed) {
                val jobId = gangIn(phase)
                val number = gangOf(jobId).gang!!.runNumber
                fleet.crash(0)
                runUntil(fleet.lease * 3, "another node takes over the shard and knows the run") {
                    fleet.live.any {
                        it
                            ?.jobManager
                            ?.job(jobId)
                            ?.gang
                            ?.runNumber
                            ?.let { attempt -> attempt >= number } == true
                    }
                }
                for (worker in fleet.cloud.workers) worker.hung = false
                fleet.startNode(0)
                runUntilDone(jobId)
            }
        }
    }

    /**
     * The task on the hung machine is not replaced without termination evidence. The others wait in vain and exit,
     * which must not count as a failure of their machines.
     */
    @Test
    fun `a gang whose tasks wait in vain excludes no machine, and is done in the end`() =
        scenario(10) {
            val jobId = gang(0, 3, "size_gb" to 8.0)
            runUntilWaiting(jobId)
            val pulling =
                fleet.cloud.workers.first { worker ->
                    worker.tasks.any { it.jobId == jobId && it.status == "pulling" }
                }
            pulling.hung = true
            fleet.scope.launch {
                delay(fleet.lease * 4)
                pulling.hung = false
            }
            runUntilDone(jobId)
            assertTrue(gangOfOrNull(jobId)?.health?.machines?.isEmpty() != false)
        }

    private fun Scenario.gangOfOrNull(jobId: String) = fleet.live.firstNotNullOfOrNull { it?.jobManager?.job(jobId) }

    /** Guards [micatally.quota.Quota.allows]: the allotment is requested for all tasks of a gang at once. */
    @Test
    fun `two gangs of different leaders that each need most of a team's limit run one after the other`() =
        scenario(11) {
            val first = gang(0, 4, "crew" to "text", "cores" to 5.0, "together" to false)
            val second = gang(1, 4, "crew" to "text", "cores" to 5.0, "together" to false)
            runUntil(fleet.lease * 12, "both gangs are done") { done(first) && done(second) }
            assertEquals(0, fleet.workers.gangs.endedAlone)
        }

    /**
     * Guards [micatally.scheduling.ClusterView.reservingRequests]: without it, single tasks take each piece of freed
     * capacity before there is enough for the gang.
     */
    @Test
    fun `capacity that a gang waits for is not taken by a job array of lower priority`() =
        scenario(14) {
            val zoneAndSize =
                arrayOf<Pair<String, Any>>(
                    "circuit" to "a",
                    "loaners" to false,
                    "cores" to 5.0,
                    "ram_gb" to 20.0,
                )
            fleet.cloud.limitCapacity(0) { it.type == "g8" }
            val array = submit(0, "sweep", 150, *zoneAndSize, "grid" to "low")
            runUntil(fleet.lease * 8, "the zone is full") { tasks(array).size == 8 }
            fleet.runFor(fleet.lease)
            val jobId = submit(0, "gang", 4, *zoneAndSize, "grid" to "high", "together" to true, runMs = 8000)
            val remainingTasks =
                fleet.rules.specs
                    .getValue(array)
                    .taskCount -
                    fleet.rules.completed
                        .getValue(array)
                        .size
            runUntil(fleet.lease * 3, "all tasks of the gang run") { statuses(jobId).count { it == "running" } == 4 }
            assertTrue(remainingTasks > 40 && !done(array), "the array still had tasks to run: $remainingTasks")
        }

    /**
     * Guards [micatally.job.JobManager.terminate], which marks all tasks of a gang as done when one is. If only one
     * were marked, the gang would run again.
     */
    @Test
    fun `a gang is done once one task is reported done, even if the other machines are lost`() =
        scenario(15) {
            val jobId = gang(0, 3, runMs = 5000)
            runUntilKnownRunning(jobId)
            val otherMachines = tasks(jobId).map { it.machine }.drop(1)
            fleet.net.outboundBlocked.addAll(otherMachines)
            fleet.net.inboundBlocked.addAll(otherMachines)
            runUntil(fleet.lease * 2, "all tasks have completed") { done(jobId) }
            val starts = fleet.rules.starts
            for (machine in otherMachines) fleet.workers.loseMachine(worker(machine))
            runUntil(5000, "users are told that it is done") { fleet.asked(0, "GET", "/work/$jobId").second == "done" }
            fleet.runFor(fleet.lease * 3)
            assertEquals(starts, fleet.rules.starts)
        }

    /**
     * Guards against a rule of gangs being applied to job arrays: a task that had completed under a former attempt used
     * to stop all other tasks of its array.
     */
    @Test
    fun `an array task that completed under a former attempt stops no other task`() =
        scenario(16) {
            val jobId = submit(0, "sweep", 12, "crew" to "text", "cores" to 5.0, runMs = 3_600_000)
            runUntil(fleet.lease * 6, "the team uses its whole quota") { tasks(jobId).size == 4 }
            runUntil(fleet.lease, "its leader knows that they run") {
                gangOf(jobId).attempts.values.count { it.state == AttemptState.RUNNING } == 4
            }
            val job = gangOf(jobId)
            val pending = (0 until 12).last { it !in job.attempts }
            val machines = fleet.live[0]!!.machines
            val machine =
                job.attempts.values
                    .first()
                    .machine
            val listed = machine.tasks + ListedTask(jobId, pending, 500, ListedTask.ENDED, ExitReason.DONE.word, false)
            machines.apply(
                Heartbeat(
                    machine.name,
                    machine.addr,
                    machine.type,
                    machine.zone,
                    machine.isSpot,
                    machine.incarnation,
                    machine.sequence + 1,
                    0,
                    null,
                    listed,
                ),
                StatusSource.HEARTBEAT,
            )
            assertTrue(job.done[pending])
            assertTrue(job.attempts.values.all { it.stop == null }, "${job.attempts.values.map { it.stop }}")
        }

    /**
     * Guards [micatally.job.JobManager.terminate]: the service of a job is the run time of its longest chain of
     * attempts, not the sum over its tasks.
     */
    @Test
    fun `a run of a gang counts once towards the service of its job`() =
        scenario(12) {
            val jobId = gang(0, 4, runMs = 20_000)
            runUntilKnownRunning(jobId)
            fleet.runFor(5000)
            val job = gangOf(jobId)
            fleet.workers.loseMachine(worker(tasks(jobId).first().machine))
            runUntil(
                fleet.lease * 3,
                "the run has ended",
            ) { job.attempts.isEmpty() || phase(jobId) == GangPhase.WAITING }
            assertTrue(job.attainedServiceS in 3.0..20.0, "${job.attainedServiceS}")
            assertFalse(job.attainedServiceS > 20.0)
        }

    /** Guards [micatally.job.TaskReconciler]: the result of a completed task counts, whichever attempt it was. */
    @Test
    fun `a gang that completed while its machines were unreachable is done once they are asked`() =
        scenario(13) {
            val jobId = gang(0, 3, runMs = 4000)
            runUntilKnownRunning(jobId)
            for (machine in tasks(jobId).map { it.machine }) {
                fleet.net.outboundBlocked.add(machine)
                fleet.net.inboundBlocked.add(machine)
            }
            fleet.runFor(5000)
            assertTrue(done(jobId))
            fleet.net.outboundBlocked.clear()
            fleet.net.inboundBlocked.clear()
            runUntilDone(jobId)
        }
}
