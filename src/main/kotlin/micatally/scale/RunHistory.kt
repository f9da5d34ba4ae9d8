package micatally.scale

import micatally.emulator.FleetTasks
import micatally.emulator.OnMachine
import micatally.emulator.RuleChecker
import micatally.emulator.RuleViolation
import micatally.emulator.WorkerEmulator
import micatally.settings.Team
import micatally.wire.JobSpec

/**
 * A broken rule and the events of the job that broke it.
 *
 * @property jobId null if the violation is not found at an event of a single job
 * @property history the recorded events of the job, oldest first
 */
class ViolationReport(
    val violation: RuleViolation,
    val jobId: String?,
    val history: List<String>,
)

/**
 * Records what happens to the jobs of a run: the answers that users get, and the starts and ends of tasks on machines.
 * Checks each event against the rules of [RuleChecker] as it happens. Thread-safe.
 *
 * @param teamInForce returns the team with the highest limit that may be in use now, see
 * [ConfigurationLoad.teamInForce]
 * @param cancelMs time in ms within which the tasks of a cancelled job have to be gone
 * @param nowMs a monotonic clock in milliseconds
 */
class RunHistory(
    planned: List<PlannedJob>,
    teamInForce: (String) -> Team?,
    cancelMs: Long,
    private val latencies: Latencies,
    private val nowMs: () -> Long,
) : FleetTasks {
    private class JobHistory(
        val planned: PlannedJob,
    ) {
        var submittedAtMs = 0L
        var isSubmitted = false
        var lastCompletedAtMs: Long? = null
        val startedTasks = HashSet<Int>()
        val completedTasks = HashSet<Int>()
        val events = ArrayList<String>()
    }

    private val rules = RuleChecker(teamInForce, cancelMs)
    private val jobs = planned.associate { it.spec.jobId to JobHistory(it) }
    private val beganAtMs = nowMs()
    private val recovery = RecoveryTimer(nowMs)

    /** The first broken rule; null if none is broken. Later ones are not kept. */
    @Volatile
    var violation: ViolationReport? = null
        private set

    val starts @Synchronized get() = rules.starts

    /** Number of tasks that left a machine before they had completed, without a cancellation of their job. */
    @get:Synchronized
    var tasksInterrupted = 0
        private set

    val recoveryFigures @Synchronized get() = recovery.figures

    /** Called before the processes of all controllers start again after all were down; starts the recovery timer. */
    @Synchronized
    fun controllersRestarting() = recovery.begin()

    val tasksRunning @Synchronized get() = rules.running.size
    val acceptedCount @Synchronized get() = rules.acceptedJobs.size

    /** Accepted jobs that are neither done nor cancelled. */
    val openJobs @Synchronized get() = rules.acceptedJobs.filter { !rules.isFinal(it) }

    private fun addEvent(
        jobId: String,
        event: String,
    ) {
        jobs[jobId]?.events?.add("${nowMs() - beganAtMs} ms $event")
    }

    /** Runs [check] and keeps the rule violation that it throws, if it is the first one. */
    private fun runCheck(
        jobId: String?,
        check: () -> Unit,
    ) {
        try {
            check()
        } catch (e: RuleViolation) {
            if (violation == null) violation = ViolationReport(e, jobId, jobs[jobId]?.events?.toList() ?: emptyList())
        }
    }

    // Events on the side of users. Each answer has an HTTP status and the job status of its body, null if there is
    // none.

    /** Called before a user submits a job. */
    @Synchronized
    fun submitted(spec: JobSpec) {
        val job = jobs.getValue(spec.jobId)
        if (!job.isSubmitted) {
            job.isSubmitted = true
            job.submittedAtMs = nowMs()
        }
        rules.submitted(spec)
    }

    @Synchronized
    fun submissionAnswered(
        jobId: String,
        status: Int,
        jobStatus: String?,
        sentAtMs: Long,
    ) {
        addEvent(jobId, "submission answered $status $jobStatus")
        if (status == ACCEPTED) recovery.submissionAccepted()
        runCheck(jobId) { rules.answeredSubmit(jobId, status, jobStatus, nowMs(), sentAtMs) }
    }

    @Synchronized
    fun pollAnswered(
        jobId: String,
        status: Int,
        jobStatus: String?,
        sentAtMs: Long,
    ) {
        if (status != 200 || jobStatus != "running") addEvent(jobId, "poll answered $status $jobStatus")
        runCheck(jobId) { rules.answeredPoll(jobId, status, jobStatus, nowMs(), sentAtMs) }
    }

    @Synchronized
    fun cancellationRequested(jobId: String) {
        addEvent(jobId, "asks to cancel")
        rules.asksToCancel(jobId)
    }

    @Synchronized
    fun cancellationAnswered(
        jobId: String,
        status: Int,
        jobStatus: String?,
        sentAtMs: Long,
    ) {
        addEvent(jobId, "cancellation answered $status $jobStatus")
        if (status == 200) runCheck(jobId) { rules.told(jobId, jobStatus, nowMs(), sentAtMs) }
    }

    @Synchronized
    fun isFinal(jobId: String) = rules.isFinal(jobId)

    /** Returns when the last task of the job completed; null while some tasks have not. */
    @Synchronized
    fun completedAtMs(jobId: String): Long? = jobs.getValue(jobId).lastCompletedAtMs

    /**
     * Checks that the tasks of cancelled jobs are gone in time. Called regularly, since no event shows that a task is
     * still running.
     */
    @Synchronized
    fun checkCancelledTasks() = runCheck(null) { rules.check(nowMs()) }

    /** Records a violation of the rule `not_ended` if an accepted job has not ended. Called at the end of a run. */
    @Synchronized
    fun checkAllEnded() {
        val jobId = openJobs.firstOrNull() ?: return
        runCheck(
            jobId,
        ) { throw RuleViolation("not_ended", "${openJobs.size} accepted jobs have not ended, $jobId first") }
    }

    // Events on machines

    @Synchronized
    override fun spec(jobId: String): JobSpec? = jobs[jobId]?.takeIf { it.isSubmitted }?.planned?.spec

    override fun runMs(
        jobId: String,
        taskIndex: Int,
    ): Long? = jobs[jobId]?.planned?.runMs(taskIndex)

    @Synchronized
    override fun started(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
    ) {
        val job = jobs.getValue(jobId)
        addEvent(jobId, "task $taskIndex starts on ${machine.name}")
        recovery.taskStarted()
        // Only the first start of a task counts: a replica that moves or is restarted after a loss is not measured
        // again.
        if (job.startedTasks.add(taskIndex)) {
            val kind = if (job.planned.isUrgent) LatencyKind.URGENT_START else LatencyKind.START
            latencies.record(kind, nowMs() - job.submittedAtMs)
        }
        runCheck(jobId) { rules.started(onMachine(machine, jobId, taskIndex), nowMs()) }
    }

    @Synchronized
    override fun left(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
        done: Boolean,
    ) {
        addEvent(jobId, "task $taskIndex leaves ${machine.name}" + if (done) ", completed" else "")
        rules.left(onMachine(machine, jobId, taskIndex), done)
        if (!done && !rules.isAskedToCancel(jobId)) tasksInterrupted++
        val job = jobs.getValue(jobId)
        if (done && job.completedTasks.add(taskIndex) && job.completedTasks.size == job.planned.spec.taskCount) {
            job.lastCompletedAtMs = nowMs()
        }
    }

    private fun onMachine(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
    ) = OnMachine(jobId, taskIndex, machine.name, machine.type, machine.zone, machine.isSpot)

    private companion object {
        const val ACCEPTED = 201
    }
}
