package micatally.scale

import micatally.emulator.FleetTasks
import micatally.emulator.OnMachine
import micatally.emulator.RuleChecker
import micatally.emulator.RuleViolation
import micatally.emulator.WorkerEmulator
import micatally.settings.Team
import micatally.wire.JobSpec

/** A broken rule together with all that is known of the job that broke it. */
class ViolationReport(
    val violation: RuleViolation,
    val jobId: String?,
    val history: List<String>,
)

/**
 * Everything that happens to jobs in a run: what users are told and what machines do, checked against the rules as it
 * happens. Safe on all loops at once.
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
    private val beganMs = nowMs()
    private val recovery = RecoveryTimer(nowMs)

    /** The first broken rule. */
    @Volatile
    var violation: ViolationReport? = null
        private set

    val starts @Synchronized get() = rules.starts

    /** Tasks that left a machine before they had completed, though nobody had cancelled their job. */
    @get:Synchronized
    var tasksInterrupted = 0
        private set

    val recoveryFigures @Synchronized get() = recovery.figures

    /** All controllers were down, and their processes start again. */
    @Synchronized
    fun controllersReturn() = recovery.begin()

    val tasksRunning @Synchronized get() = rules.running.size
    val acceptedCount @Synchronized get() = rules.acceptedJobs.size

    /** Accepted jobs that are neither done nor cancelled. */
    val openJobs @Synchronized get() = rules.acceptedJobs.filter { !rules.isFinal(it) }

    private fun note(
        jobId: String,
        event: String,
    ) {
        jobs[jobId]?.events?.add("${nowMs() - beganMs} ms $event")
    }

    private fun checked(
        jobId: String?,
        check: () -> Unit,
    ) {
        try {
            check()
        } catch (e: RuleViolation) {
            if (violation == null) violation = ViolationReport(e, jobId, jobs[jobId]?.events?.toList() ?: emptyList())
        }
    }

    // What users do and hear

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
    fun answeredSubmission(
        jobId: String,
        status: Int,
        word: String?,
        sentAtMs: Long,
    ) {
        note(jobId, "submission answered $status $word")
        if (status == ACCEPTED) recovery.accepted()
        checked(jobId) { rules.answeredSubmit(jobId, status, word, nowMs(), sentAtMs) }
    }

    @Synchronized
    fun answeredPoll(
        jobId: String,
        status: Int,
        word: String?,
        sentAtMs: Long,
    ) {
        if (status != 200 || word != "running") note(jobId, "poll answered $status $word")
        checked(jobId) { rules.answeredPoll(jobId, status, word, nowMs(), sentAtMs) }
    }

    @Synchronized
    fun asksToCancel(jobId: String) {
        note(jobId, "asks to cancel")
        rules.asksToCancel(jobId)
    }

    @Synchronized
    fun answeredCancel(
        jobId: String,
        status: Int,
        word: String?,
        sentAtMs: Long,
    ) {
        note(jobId, "cancellation answered $status $word")
        if (status == 200) checked(jobId) { rules.told(jobId, word, nowMs(), sentAtMs) }
    }

    @Synchronized
    fun isFinal(jobId: String) = rules.isFinal(jobId)

    /** When the last task of the job completed; null while some have not. */
    @Synchronized
    fun completedAtMs(jobId: String): Long? = jobs.getValue(jobId).lastCompletedAtMs

    /** What can only be seen by looking: tasks that stay after a cancellation. */
    @Synchronized
    fun check() = checked(null) { rules.check(nowMs()) }

    /** Breaks the rule that every accepted job ends, for the first one that has not. */
    @Synchronized
    fun checkAllEnded() {
        val jobId = openJobs.firstOrNull() ?: return
        checked(
            jobId,
        ) { throw RuleViolation("not_ended", "${openJobs.size} accepted jobs have not ended, $jobId first") }
    }

    // What machines do

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
        note(jobId, "task $taskIndex starts on ${machine.name}")
        recovery.started()
        // A replica that moves, or is lost and started again, has been waited for only once.
        if (job.startedTasks.add(taskIndex)) {
            val kind = if (job.planned.isUrgent) LatencyKind.URGENT_START else LatencyKind.START
            latencies.record(kind, nowMs() - job.submittedAtMs)
        }
        checked(jobId) { rules.started(onMachine(machine, jobId, taskIndex), nowMs()) }
    }

    @Synchronized
    override fun left(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
        done: Boolean,
    ) {
        note(jobId, "task $taskIndex leaves ${machine.name}" + if (done) ", completed" else "")
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
