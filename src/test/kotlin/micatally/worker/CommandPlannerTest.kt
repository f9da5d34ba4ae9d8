package micatally.worker

import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.AttemptTermination
import micatally.job.Job
import micatally.job.JobShard
import micatally.job.JobState
import micatally.job.ShardState
import micatally.job.StopReason
import micatally.job.TerminationEvidence
import micatally.membership.ShardLeader
import micatally.wire.CancelledTask
import micatally.wire.Heartbeat
import micatally.wire.ListedTask
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CommandPlannerTest {
    private var nowMs = 100_000L
    private var mayStart = true
    private var fencingToken = FENCING_TOKEN
    private val tokenDemand = FencingTokenDemand()
    private val evidence = ArrayList<TerminationEvidence>()

    private val shard =
        JobShard("own", ShardLeader("own", "p", FENCING_TOKEN, 1)).also { it.transitionTo(ShardState.ACTIVE) }
    private val job = Job(JOB, null, shard, taskCount = 300, 0, JobState.OPEN)
    private val cancelledTasks = CancelledTasks(keepMs = 60_000) { nowMs }

    private val directory =
        object : AttemptDirectory {
            override fun isLedHere(jobId: String) = jobId == JOB

            override fun attempt(
                jobId: String,
                taskIndex: Int,
            ) = job.attempts[taskIndex].takeIf { jobId == JOB }

            override fun isSuspended(jobId: String) = false

            override fun terminate(
                attempt: Attempt,
                termination: AttemptTermination,
            ) {
                evidence.add(termination.proof)
            }
        }

    private val planner =
        CommandPlanner(
            killIntervalMs = 1000,
            fencingToken = { fencingToken },
            mayStart = { mayStart },
            attemptDirectory = directory,
            cancelledTasks = cancelledTasks,
            tokenDemand = tokenDemand,
            nowMs = { nowMs },
        )

    private val registry = MachineRegistry(NoMachineListener) { nowMs }
    private val machine = registry.findOrAdd("m-1", "10.0.0.1:9", "g8", "a", false).also { reportTasks(it) }

    /** Applies a heartbeat of the machine with this task list. */
    private fun reportTasks(
        machine: Machine,
        vararg tasks: ListedTask,
    ) {
        val next = machine.sequence + 1
        registry.apply(
            Heartbeat(machine.name, machine.addr, machine.type, "a", false, 1, next, 0, null, tasks.toList()),
            StatusSource.HEARTBEAT,
        )
    }

    private fun listed(
        status: String,
        task: Int = 0,
        attempt: Long = 1,
    ) = ListedTask(JOB, task, attempt, status, null, false)

    private fun attempt(
        state: AttemptState,
        task: Int = 0,
        sentAt: Long? = null,
    ): Attempt {
        val attempt = Attempt(job, task, 1, machine, machine.incarnation, 0.0, state)
        attempt.sentAt = sentAt
        job.attempts[task] = attempt
        machine.attach(attempt)
        return attempt
    }

    private fun commands() = planner.plan(machine)?.commands?.map { "${it.type} ${it.taskIndex}#${it.attempt}" }

    @Test
    fun `without commands a request is planned only if the task list is needed`() {
        assertNull(planner.plan(machine))
        machine.channel.needsStatus = true
        assertEquals(emptyList<String>(), commands())
    }

    /** Guards `mayStart` in `planStart`. An intended attempt is not in the state store yet, so it must not be sent. */
    @Test
    fun `only a recorded attempt is started, and only while starts are allowed`() {
        attempt(AttemptState.INTENDED, task = 0)
        val recorded = attempt(AttemptState.RECORDED, task = 1)
        mayStart = false
        assertNull(commands())
        mayStart = true
        val batch = planner.plan(machine)
        assertEquals(listOf("RUN 1#1"), commands())
        assertEquals(listOf(recorded), batch?.coveredAttempts)
        assertEquals(FENCING_TOKEN, batch?.fencingToken)
    }

    /**
     * Guards `planRepeatedStart`: a former leader may have sent the run command, and the task may have ended and
     * been cleared already. A second run command would start it again.
     */
    @Test
    fun `the task list is requested for an attempt of a former leader, an attempt sent here is sent again`() {
        val takenOver = attempt(AttemptState.DISPATCHED)
        assertEquals(emptyList<String>(), commands())
        assertEquals(listOf(takenOver), planner.plan(machine)?.coveredAttempts)
        takenOver.sentAt = nowMs
        assertEquals(listOf("RUN 0#1"), commands())
    }

    @Test
    fun `an attempt that was never sent terminates at once when it is to be stopped`() {
        attempt(AttemptState.RECORDED).stop(StopReason.CANCELLED, nowMs)
        assertNull(commands())
        assertEquals(listOf(TerminationEvidence.NEVER_SENT), evidence)
    }

    @Test
    fun `a kill is repeated after its interval until the attempt is listed as ended`() {
        val attempt = attempt(AttemptState.RUNNING, sentAt = nowMs)
        reportTasks(machine, listed(ListedTask.RUNNING))
        attempt.stop(StopReason.DRAIN, nowMs)
        assertEquals(listOf("KILL 0#1"), commands())
        planner.recordKill(attempt, nowMs)
        nowMs += 999
        assertNull(commands())
        nowMs += 1
        assertEquals(listOf("KILL 0#1"), commands())
        reportTasks(machine, listed(ListedTask.ENDED))
        assertEquals(emptyList<String>(), commands())
    }

    /** Guards `isCancelledElsewhere`: this controller has confirmed the cancellation, so it must act on it. */
    @Test
    fun `a cancellation that another controller has reported stops the attempt`() {
        val attempt = attempt(AttemptState.RUNNING, sentAt = nowMs)
        cancelledTasks.add(listOf(CancelledTask("m-1", JOB, 0, 1)))
        assertEquals(listOf("KILL 0#1"), commands())
        assertEquals(StopReason.CANCELLED, attempt.stop)
    }

    @Test
    fun `a former attempt is killed, and cleared once the machine has accepted a request`() {
        reportTasks(machine, listed(ListedTask.RUNNING))
        assertEquals(listOf("KILL 0#1"), commands())
        reportTasks(machine, listed(ListedTask.ENDED))
        assertEquals(emptyList<String>(), commands())
        machine.channel.confirmToken(FENCING_TOKEN)
        assertEquals(listOf("CLEAR 0#1"), commands())
    }

    /**
     * Guards the order of the cases in `planFormerAttempt`: a run command that arrives after the clear restarts the
     * task.
     */
    @Test
    fun `a former attempt is not cleared while a run command for it may arrive late`() {
        reportTasks(machine, listed(ListedTask.ENDED))
        machine.channel.confirmToken(FENCING_TOKEN)
        machine.channel.recordRun(AttemptId(JOB, 0, 1), FENCING_TOKEN)
        assertNull(commands())
        assertEquals(RaiseReason.ENTRIES, tokenDemand.reasonToRaise(FENCING_TOKEN))
        fencingToken++
        assertEquals(listOf("CLEAR 0#1"), commands())
        assertNull(tokenDemand.reasonToRaise(fencingToken))
    }

    @Test
    fun `a machine with a full list of entries that wait asks for a higher token sooner`() {
        machine.channel.confirmToken(FENCING_TOKEN)
        reportTasks(machine, *Array(Machine.MAX_ENDED_TASKS) { listed(ListedTask.ENDED, task = it) })
        for (task in 0 until Machine.MAX_ENDED_TASKS) {
            machine.channel.recordRun(AttemptId(JOB, task, 1), FENCING_TOKEN)
        }
        assertNull(commands())
        assertEquals(RaiseReason.FULL_LIST, tokenDemand.reasonToRaise(FENCING_TOKEN))
    }

    /** Guards the filter in `firstPart`: the response would terminate attempts whose run command has not been sent. */
    @Test
    fun `a request has a limited number of commands and covers no attempt whose first run command is not in it`() {
        for (task in 0 until 250) attempt(AttemptState.RECORDED, task)
        machine.channel.isSyncRequested = false
        val batch = planner.plan(machine)
        assertEquals(200, batch?.commands?.size)
        assertEquals(batch?.commands?.map { it.taskIndex }, batch?.coveredAttempts?.map { it.taskIndex })
        assertTrue(machine.channel.isSyncRequested)
    }

    @Test
    fun `no commands are planned for attempts of a former incarnation or of a lost shard`() {
        attempt(AttemptState.RUNNING, sentAt = nowMs).stop(StopReason.DRAIN, nowMs)
        val later = machine.sequence + 1
        registry.apply(
            Heartbeat("m-1", "10.0.0.1:9", "g8", "a", false, 2, later, 0, null, emptyList()),
            StatusSource.HEARTBEAT,
        )
        assertNull(commands())
        shard.transitionTo(ShardState.LOST)
        attempt(AttemptState.RECORDED, task = 1)
        assertNull(commands())
        assertNull(tokenDemand.reasonToRaise(FENCING_TOKEN))
    }

    private companion object {
        const val JOB = "j-1"
        const val FENCING_TOKEN = 5L
    }
}
