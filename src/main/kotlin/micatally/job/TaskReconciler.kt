package micatally.job

import micatally.gang.GangSupervisor
import micatally.wire.ExitReason
import micatally.wire.ListedTask
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import micatally.worker.StatusSource
import org.slf4j.LoggerFactory

/** Reconciles the attempts of this controller's jobs with what their machines report. */
class TaskReconciler(
    private val shards: ShardDirectory,
    private val attempts: AttemptLifecycle,
    private val gangs: GangSupervisor,
    private val store: JobStore,
    private val machines: MachineRegistry,
    private val collaborators: JobCollaborators,
) {
    private val log = LoggerFactory.getLogger("micatally.job")
    private val unknownValueLog = UnknownValueLog(log)

    /** The machine has restarted its worker: what an earlier incarnation ran is gone. */
    fun newIncarnation(machine: Machine) {
        for (attempt in machine.attempts.toList()) {
            if (attempt.incarnation >= machine.incarnation) continue
            attempts.terminate(
                attempt,
                AttemptTermination(TerminationEvidence.NEWER_INCARNATION, "incarnation ${machine.incarnation}"),
            )
        }
    }

    /** The machine is known to be deleted, and all its tasks with it. */
    fun machineDeleted(machine: Machine) {
        machine.deleted = true
        machine.channel.forgetUnansweredRuns()
        for (attempt in machine.attempts.toList()) {
            attempts.terminate(attempt, AttemptTermination(TerminationEvidence.MACHINE_DELETED, "machine gone"))
        }
    }

    /**
     * Applies a newer task list of the machine. One that is not a [StatusSource.COMMAND_RESPONSE] proves only what can't
     * change any more: that a task has completed.
     */
    fun tasksReported(
        machine: Machine,
        source: StatusSource,
    ) {
        var needsSync = false
        for (task in machine.tasks) {
            val job = shards.job(task.jobId) ?: continue
            val attempt = job.attempts[task.taskIndex]
            if (attempt != null && attempt.isListedAs(task, machine)) {
                needsSync = applyReport(attempt, task, source) || needsSync
            } else {
                needsSync = true
                if (task.isDone) formerAttemptCompleted(job, task.taskIndex)
            }
        }
        // That a task is missing proves nothing, since it is not known who removed it; but the machine is asked.
        if (source != StatusSource.COMMAND_RESPONSE && machine.attempts.any { isMissing(it, machine) }) {
            machine.channel.needsStatus = true
            needsSync = true
        }
        if (needsSync) collaborators.requestSync(machine)
    }

    private fun Attempt.isListedAs(
        task: ListedTask,
        reporter: Machine,
    ): Boolean {
        val isSameMachine = machine === reporter && incarnation == reporter.incarnation
        return number == task.attempt && isSameMachine
    }

    private fun isMissing(
        attempt: Attempt,
        machine: Machine,
    ): Boolean {
        val wasListed = attempt.state >= AttemptState.PULLING && attempt.incarnation == machine.incarnation
        return wasListed &&
            machine.tasks.none {
                it.jobId == attempt.job.jobId && it.taskIndex == attempt.taskIndex && it.attempt == attempt.number
            }
    }

    /** A task completed under an attempt that had been given up for good reasons: the result counts all the same. */
    private fun formerAttemptCompleted(
        job: Job,
        taskIndex: Int,
    ) {
        if (job.state != JobState.OPEN) return
        val isRestarted = taskIndex in job.attempts
        if (isRestarted && job.gang == null || !attempts.markDone(job, taskIndex)) return
        // The next run of a gang has nothing left to do; the other tasks of an array go on.
        if (job.gang != null) gangs.stopAll(job, StopReason.GANG_ENDED)
        if (job.state == JobState.DONE) store.requestWrite(job) else store.requestWriteLater(job)
    }

    /** @return whether a command has to follow */
    private fun applyReport(
        attempt: Attempt,
        task: ListedTask,
        source: StatusSource,
    ): Boolean {
        when (task.status) {
            ListedTask.PULLING -> attempts.advance(attempt, AttemptState.PULLING)
            ListedTask.WAITING -> attempts.advance(attempt, AttemptState.WAITING)
            ListedTask.RUNNING -> if (attempts.advance(attempt, AttemptState.RUNNING)) taskStarted(attempt)
            ListedTask.SAVING -> attempts.advance(attempt, AttemptState.SAVING)
            ListedTask.ENDED -> return taskEnded(attempt, task, source)
            // It counts neither as ended nor as running.
            else -> unknownValueLog.warn("task $attempt is in an unknown state: ${task.status}")
        }
        return false
    }

    /** An end other than completion counts only from a command response; after a heartbeat the machine is asked for one. */
    private fun taskEnded(
        attempt: Attempt,
        task: ListedTask,
        source: StatusSource,
    ): Boolean {
        if (task.exitReason ==
            null
        ) {
            unknownValueLog.warn("task $attempt ended for an unknown reason: ${task.exitReasonText}")
        }
        val isUnconfirmed = source != StatusSource.COMMAND_RESPONSE
        if (task.isDone) {
            attempts.terminate(attempt, AttemptTermination(TerminationEvidence.COMPLETED, "done", ExitReason.DONE))
        } else if (isUnconfirmed) {
            attempt.machine.channel.needsStatus = true
        }
        return task.isDone || isUnconfirmed
    }

    private fun taskStarted(attempt: Attempt) {
        val machine = attempt.machine
        attempt.job.spec?.let {
            machine.sawOwnImage(it.image, it.imageGb, machines.machineTypes[machine.type]?.cacheGb ?: 0.0)
        }
        log.info("task {} runs", attempt)
    }

    /** Applies what is known of the machines already to the attempts of a shard that has just been loaded. */
    fun reconcileAll() {
        for (machine in machines.byName.values.toList()) {
            if (machine.incarnation > 0) newIncarnation(machine)
            if (machine.deleted) machineDeleted(machine)
            if (machine.attempts.isNotEmpty()) {
                tasksReported(machine, StatusSource.HEARTBEAT)
                collaborators.requestSync(machine)
            }
        }
    }

    /** Requests a sync of each machine that is not known to be as its attempts want it. Called regularly. */
    fun syncUnsettledMachines() {
        for (machine in machines.byName.values) if (isUnsettled(machine)) collaborators.requestSync(machine)
    }

    private fun isUnsettled(machine: Machine): Boolean {
        if (machine.deleted || machine.channel.isSyncing) return false
        if (machine.tasks.any { it.isEnded && shards.isLedHere(it.jobId) }) return true
        if (machine.attempts.isEmpty()) return false
        return machine.channel.needsStatus || machine.attempts.any { isUnsettled(it) }
    }

    private fun isUnsettled(attempt: Attempt): Boolean {
        val awaitsRun = attempt.state == AttemptState.RECORDED || attempt.state == AttemptState.DISPATCHED
        val awaitsConfirmation = attempt.machine.channel.confirmedToken < attempt.job.shard.leader.fencingToken
        return attempt.stop != null || awaitsRun || awaitsConfirmation
    }
}
