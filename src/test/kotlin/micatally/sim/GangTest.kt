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

/** Gangs against workers that play them by the page. The rules are looked at after each step of [SimFleet]. */
class GangTest {
    /** On machines of their own, so that one of them can be lost. */
    private val alone = arrayOf<Pair<String, Any>>("cores" to 5.0, "loaners" to false, "chassis" to "small")

    private fun Scenario.gang(
        node: Int,
        tasks: Int,
        vararg more: Pair<String, Any>,
        runMs: Long = 8000,
    ): String {
        val all = alone.filter { (name, _) -> name != "chassis" && more.none { it.first == name } }.toTypedArray()
        return submit(node, "gang", tasks, *all, "together" to true, *more, runMs = runMs)
    }

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

    private fun Scenario.untilRunning(jobId: String) =
        runUntil(fleet.lease * 6, "$jobId runs") {
            statuses(jobId).let {
                it.size ==
                    fleet.rules.specs
                        .getValue(jobId)
                        .taskCount && it.all { status -> status == "running" }
            }
        }

    private fun Scenario.untilSeenRunning(jobId: String) {
        untilRunning(jobId)
        runUntil(fleet.lease, "its owner knows") { phase(jobId) == GangPhase.RUNNING }
    }

    private fun Scenario.untilWaiting(jobId: String) =
        runUntil(fleet.lease * 6, "some task of $jobId waits and some do not") {
            statuses(jobId).let {
                "waiting" in it && it.size <
                    fleet.rules.specs
                        .getValue(jobId)
                        .taskCount
            }
        }

    private fun Scenario.untilDone(jobId: String) {
        runUntil(fleet.lease * 12, "$jobId is done") { done(jobId) }
        runUntil(5000, "users hear of it") { fleet.asked(0, "GET", "/work/$jobId").second == "done" }
        assertEquals(emptyList<OnMachine>(), tasks(jobId))
    }

    /** Guard: one number for all tasks of a run ([micatally.gang.Gang.beginRun]); with a number each they wait in vain. */
    @Test
    fun `all tasks start together under one number and are done together`() =
        scenario(1) {
            val jobId = gang(0, 4)
            untilRunning(jobId)
            assertEquals(1, attempts(jobId).size)
            assertEquals(1, tasks(jobId).map { it.zone }.distinct().size)
            untilDone(jobId)
            assertEquals(0, fleet.workers.gangs.endedAlone)
        }

    @Test
    fun `more than the team's limit is refused with 422, a known gang is answered 200`() =
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

    /** Guard: [micatally.gang.GangPolicy.endsRun]; if every loss ends the run, the number is another one. */
    @Test
    fun `a task that is lost while the gang waits is replaced under the same number`() =
        scenario(3) {
            val jobId = gang(0, 3, "size_gb" to 6.0)
            untilWaiting(jobId)
            val number = attempts(jobId).single()
            val lost = tasks(jobId).first().machine
            fleet.workers.loseMachine(worker(lost))
            untilRunning(jobId)
            assertEquals(setOf(number), attempts(jobId))
            untilDone(jobId)
        }

    /** Guard: the machines of a run ([micatally.gang.Gang.wasTried]). */
    @Test
    fun `a replacement goes to no machine that was sent the same task and number`() =
        scenario(4) {
            val jobId = gang(0, 3, "size_gb" to 6.0)
            untilWaiting(jobId)
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
            untilDone(jobId)
        }

    /** Guards: [micatally.gang.GangPolicy.endsRun] and [micatally.gang.GangPolicy.hasLostTask] end the run (red with both off), and the next one waits until all are gone. */
    @Test
    fun `a running gang that loses a machine ends, and starts again from its checkpoint`() =
        scenario(5) {
            val jobId = gang(0, 3, "sector_s" to 2.0, "pit_stop_s" to 1.0, runMs = 12_000)
            untilSeenRunning(jobId)
            val number = attempts(jobId).single()
            fleet.runFor(5000)
            fleet.workers.loseMachine(worker(tasks(jobId).first().machine))
            val lostAt = fleet.now
            runUntil(fleet.lease * 5, "the next run is there") {
                attempts(jobId).let {
                    it.isNotEmpty() &&
                        it.all { attempt -> attempt > number }
                }
            }
            untilDone(jobId)
            assertTrue(fleet.workers.gangs.safeProgressMs(jobId) >= 4000)
            assertTrue(fleet.now - lostAt < 60_000)
        }

    /** Guard: an attempt ends by a proof only; the zone binds until each task of the old run is gone. */
    @Test
    fun `a hung machine's task is not started elsewhere before its end is proven`() =
        scenario(6) {
            val jobId = gang(0, 3)
            untilSeenRunning(jobId)
            val hung = worker(tasks(jobId).first().machine)
            hung.hung = true
            fleet.runFor(fleet.lease / 2)
            assertTrue(phase(jobId) == GangPhase.ENDING, "${phase(jobId)}")
            assertEquals(0, tasks(jobId).count { it.machine != hung.name })
            fleet.runFor(fleet.lease)
            hung.hung = false
            untilDone(jobId)
        }

    /** Guard: [micatally.gang.GangSupervisor.stopGracefully]; if only the task on the machine is stopped, nothing is saved. */
    @Test
    fun `a notice stops all tasks in time, and what they did is saved`() =
        scenario(7) {
            val jobId = gang(0, 3, "sector_s" to 60.0, "pit_stop_s" to 1.0, "loaners" to true, runMs = 15_000)
            untilSeenRunning(jobId)
            fleet.runFor(4000)
            worker(tasks(jobId).first().machine).spotNoticeS = 8.0
            runUntil(fleet.lease, "it is saved") { fleet.workers.gangs.savedStops == 1 }
            assertEquals(0, fleet.workers.gangs.lateKills)
            assertTrue(fleet.workers.gangs.safeProgressMs(jobId) >= 3000)
            untilDone(jobId)
        }

    /** Guard: [micatally.gang.GangPolicy.mayStopGracefully] looks at all machines. */
    @Test
    fun `no orderly stop begins while a machine of the gang can't be reached`() =
        scenario(8) {
            val jobId = gang(0, 3, "sector_s" to 1.0, "pit_stop_s" to 1.0, "loaners" to true, runMs = 30_000)
            untilSeenRunning(jobId)
            val (first, second) = tasks(jobId).map { it.machine }
            fleet.net.deaf.add(second)
            fleet.live[0]!!.machines.of(second)!!.let {
                it.channel.needsStatus = true
                fleet.live[0]!!.jobManager.requestSync(it)
            }
            runUntil(fleet.lease, "it is known to be out of reach") {
                fleet.live[0]!!
                    .machines
                    .of(second)!!
                    .channel.failuresInRow > 0
            }
            worker(first).spotNoticeS = 8.0
            fleet.runFor(3000)
            assertEquals(setOf("running"), statuses(jobId).toSet())
            fleet.net.deaf.remove(second)
            untilDone(jobId)
        }

    /** A gang of node 0 in this phase; hung machines go on only when the test says so. */
    private fun Scenario.gangIn(phase: GangPhase): String {
        // Nothing is as large as what it asks for while it is being placed.
        val size = if (phase == GangPhase.WAITING) 8.0 else 1.0
        val jobId =
            gang(0, 3, "size_gb" to size, "sector_s" to 60.0, "pit_stop_s" to 3.0, "loaners" to true, runMs = 20_000)
        when (phase) {
            GangPhase.PLACING -> {}
            GangPhase.WAITING -> untilWaiting(jobId)
            else -> untilSeenRunning(jobId)
        }
        if (phase != GangPhase.PLACING) fleet.runFor(500)
        if (phase == GangPhase.STOPPING) worker(tasks(jobId).first().machine).spotNoticeS = 8.0
        if (phase == GangPhase.ENDING) worker(tasks(jobId).first().machine).hung = true
        runUntil(fleet.lease, "it is $phase") { phase(jobId) == phase }
        return jobId
    }

    /** Guard: the same cancellation as for every job ([micatally.job.Cancellations.mayConfirm]). */
    @Test
    fun `a gang is cancelled in each of its phases`() {
        for ((seed, phase) in GangPhase.entries.withIndex()) {
            scenario(30 + seed) {
                val jobId = gangIn(phase)
                cancel(jobId, listOf(0, 1, 2))
                runUntil(fleet.lease * 3, "it is cancelled") { fleet.rules.isCancelled(jobId) }
                for (worker in fleet.cloud.workers) worker.hung = false
                fleet.runFor(fleet.cancelMs)
                assertEquals(emptyList<OnMachine>(), tasks(jobId), "$phase")
                checkRecovery(listOf(jobId))
            }
        }
    }

    /** Guard: the phase is derived anew from the record and reports ([micatally.gang.GangSupervisor.restore]). */
    @Test
    fun `the leader changes in each phase of a gang`() {
        for ((seed, phase) in GangPhase.entries.withIndex()) {
            scenario(20 + seed) {
                val jobId = gangIn(phase)
                val number = gangOf(jobId).gang!!.runNumber
                fleet.crash(0)
                runUntil(fleet.lease * 3, "another node takes the shard and knows the run") {
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
                untilDone(jobId)
            }
        }
    }

    /** A task of a gang that can't be reached keeps its place; the others end by themselves, which is no fault of theirs. */
    @Test
    fun `a gang that waits in vain ends, is no fault of its machines, and runs in the end`() =
        scenario(10) {
            val jobId = gang(0, 3, "size_gb" to 8.0)
            untilWaiting(jobId)
            val pulling =
                fleet.cloud.workers.first { worker ->
                    worker.tasks.any { it.jobId == jobId && it.status == "pulling" }
                }
            pulling.hung = true
            fleet.scope.launch {
                delay(fleet.lease * 4)
                pulling.hung = false
            }
            untilDone(jobId)
            assertTrue(gangOfOrNull(jobId)?.health?.machines?.isEmpty() != false)
        }

    private fun Scenario.gangOfOrNull(jobId: String) = fleet.live.firstNotNullOfOrNull { it?.jobManager?.job(jobId) }

    /** Guard: the allotment is asked for the whole gang ([micatally.quota.Quota.allows]). */
    @Test
    fun `two gangs of two owners that each need most of a team's limit run one after the other`() =
        scenario(11) {
            val first = gang(0, 4, "crew" to "text", "cores" to 5.0, "together" to false)
            val second = gang(1, 4, "crew" to "text", "cores" to 5.0, "together" to false)
            runUntil(fleet.lease * 12, "both are done") { done(first) && done(second) }
            assertEquals(0, fleet.workers.gangs.endedAlone)
        }

    /** Guard: [micatally.scheduling.ClusterView.requestsBefore]; without it single tasks fill each room again. */
    @Test
    fun `room that a gang waits for is not filled again by an array`() =
        scenario(14) {
            val place =
                arrayOf<Pair<String, Any>>(
                    "circuit" to "a",
                    "loaners" to false,
                    "cores" to 5.0,
                    "ram_gb" to 20.0,
                )
            fleet.cloud.exhaustCapacity("g8")
            val array = submit(0, "sweep", 150, *place, "grid" to "low")
            runUntil(fleet.lease * 8, "the zone is full") { tasks(array).size == 8 }
            fleet.runFor(fleet.lease)
            val jobId = submit(0, "gang", 4, *place, "grid" to "high", "together" to true, runMs = 8000)
            val left =
                fleet.rules.specs
                    .getValue(array)
                    .taskCount -
                    fleet.rules.completed
                        .getValue(array)
                        .size
            runUntil(fleet.lease * 3, "the gang runs") { statuses(jobId).count { it == "running" } == 4 }
            assertTrue(left > 40 && !done(array), "there was more of the array: $left")
        }

    /** Guard: [micatally.job.JobManager.terminate] marks all tasks of a gang; with one marked the gang runs anew. */
    @Test
    fun `a gang is done with the first task that is heard to be done, though the other machines are lost`() =
        scenario(15) {
            val jobId = gang(0, 3, runMs = 5000)
            untilSeenRunning(jobId)
            val others = tasks(jobId).map { it.machine }.drop(1)
            fleet.net.mute.addAll(others)
            fleet.net.deaf.addAll(others)
            runUntil(fleet.lease * 2, "it is done") { done(jobId) }
            val starts = fleet.rules.starts
            for (machine in others) fleet.workers.loseMachine(worker(machine))
            runUntil(5000, "users hear of it") { fleet.asked(0, "GET", "/work/$jobId").second == "done" }
            fleet.runFor(fleet.lease * 3)
            assertEquals(starts, fleet.rules.starts)
        }

    /** Found on rereading: a task of an array that was done under a former attempt stopped all its others, as in a gang. */
    @Test
    fun `a task of an array that is done under a former attempt stops no other task`() =
        scenario(16) {
            val jobId = submit(0, "sweep", 12, "crew" to "text", "cores" to 5.0, runMs = 3_600_000)
            runUntil(fleet.lease * 6, "the team is at its limit") { tasks(jobId).size == 4 }
            runUntil(fleet.lease, "its owner knows") {
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

    /** Guard: a finished task lifts to the longest path, not to the sum ([micatally.job.JobManager.terminate]). */
    @Test
    fun `a run lifts the number of its job once`() =
        scenario(12) {
            val jobId = gang(0, 4, runMs = 20_000)
            untilSeenRunning(jobId)
            fleet.runFor(5000)
            val job = gangOf(jobId)
            fleet.workers.loseMachine(worker(tasks(jobId).first().machine))
            runUntil(
                fleet.lease * 3,
                "the run has ended",
            ) { job.attempts.isEmpty() || phase(jobId) == GangPhase.WAITING }
            assertTrue(job.service in 3.0..20.0, "${job.service}")
            assertFalse(job.service > 20.0)
        }

    /** Guard: a result counts whichever attempt it was ([micatally.job.JobManager.listed]). */
    @Test
    fun `a gang whose end was not heard is done when its tasks are asked`() =
        scenario(13) {
            val jobId = gang(0, 3, runMs = 4000)
            untilSeenRunning(jobId)
            for (machine in tasks(jobId).map { it.machine }) {
                fleet.net.mute.add(machine)
                fleet.net.deaf.add(machine)
            }
            fleet.runFor(5000)
            assertTrue(done(jobId))
            fleet.net.mute.clear()
            fleet.net.deaf.clear()
            untilDone(jobId)
        }
}
