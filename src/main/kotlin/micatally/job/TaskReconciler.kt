package micatally.job

import micatally.gang.GangSupervisor
import micatally.wire.ExitReason
import micatally.wire.ListedTask
import micatally.worker.AttemptId
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import micatally.worker.StatusSource
import org.slf4j.LoggerFactory

/** Reconciles the attempts of this controller's jobs with the task lists that their machines report. */
class TaskReconciler(
    private val shards: ShardDirectory,
    private val attempts: AttemptLifecycle,
    private val gangs: GangSupervisor,
    private val store: JobStore,
    private val machines: MachineRegistry,
    private val collaborators: JobCollaborators,
    private val fencingToken: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.job")
    private val valueLog = UnknownValueLog(log)

    /** Ends the attempts of earlier incarnations of the machine: they ended when the machine's worker was restarted. */
    fun newIncarnation(machine: Machine) {
        for (attempt in machine.attempts.toList()) {
            if (attempt.incarnation >= machine.incarnation) continue
            attempts.terminate(
                attempt,
                AttemptTermination(TerminationEvidence.NEWER_INCARNATION, "incarnation ${machine.incarnation}"),
            )
        }
    }

    /** Marks the machine as deleted, and ends all attempts on it. */
    fun machineDeleted(machine: Machine) {
        machine.deleted = true
        machine.channel.forgetRuns()
        for (attempt in machine.attempts.toList()) {
            attempts.terminate(attempt, AttemptTermination(TerminationEvidence.MACHINE_DELETED, "machine gone"))
        }
    }

    /**
     * Applies a newer task list of the machine. A list that is not from a [StatusSource.COMMAND_RESPONSE] does not
     * prove that an attempt has ended, unless its task has completed, because that never changes.
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
        // A task that is missing in the list is no proof that it has ended: it is not known who removed it. So the
        // machine is asked by a command request.
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

    /** Whether the machine has listed the attempt before and does not list it now. */
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

    /**
     * Marks a task as done that has completed under an attempt which is not the current one of the task. The result
     * counts although that attempt was given up. It does not count if the task of an array or a service has been
     * started again.
     */
    private fun formerAttemptCompleted(
        job: Job,
        taskIndex: Int,
    ) {
        if (job.state != JobState.OPEN) return
        val isRestarted = taskIndex in job.attempts
        if (isRestarted && job.gang == null || !attempts.markDone(job, taskIndex)) return
        // The gang is done, so its next run is stopped. The other tasks of an array go on.
        if (job.gang != null) gangs.stopAll(job, StopReason.GANG_ENDED)
        if (job.state == JobState.DONE) store.requestWrite(job) else store.requestWriteLater(job)
    }

    /**
     * Applies what a task list says about the attempt.
     *
     * @return whether the machine needs a sync
     */
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
            // A task in an unknown state counts neither as ended nor as running.
            else -> valueLog.warn("task $attempt is in an unknown state: ${task.status}")
        }
        return false
    }

    /**
     * Handles an attempt that is listed as ended. A completion ends the attempt here. Any other end counts only in the
     * response to a command request, and ends the attempt where that response is handled. After a heartbeat the machine
     * is asked for one.
     *
     * @return whether the machine needs a sync
     */
    private fun taskEnded(
        attempt: Attempt,
        task: ListedTask,
        source: StatusSource,
    ): Boolean {
        if (task.exitReason == null) valueLog.warn("task $attempt ended for an unknown reason: ${task.exitReasonText}")
        val isUnconfirmed = source != StatusSource.COMMAND_RESPONSE
        if (task.isDone) {
            attempts.terminate(attempt, AttemptTermination(TerminationEvidence.COMPLETED, "done", ExitReason.DONE))
        } else if (isUnconfirmed) {
            attempt.machine.channel.needsStatus = true
        }
        return task.isDone || isUnconfirmed
    }

    /** Notes that the machine has the task's image now. */
    private fun taskStarted(attempt: Attempt) {
        val machine = attempt.machine
        attempt.job.spec?.let {
            machine.sawOwnImage(it.image, it.imageGb, machines.machineTypes[machine.type]?.cacheGb ?: 0.0)
        }
        log.info("task {} runs", attempt)
    }

    /**
     * Applies what is known of the machines to all attempts. Called when a shard was loaded, whose attempts are new
     * here.
     */
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

    /**
     * Requests a sync of each machine that is not known to match its attempts. Called several times in each heartbeat
     * interval.
     *
     * Of the machines where only entries of ended tasks can be cleared, a small part is synced at a time: with a higher
     * fencing token the entries of most machines can be cleared at once.
     */
    fun syncUnsettledMachines() {
        var clearsLeft = machines.byName.size / CLEAR_ROUNDS + 1
        for (machine in machines.byName.values) {
            if (machine.deleted || machine.channel.isSyncing) continue
            if (isUnsettled(machine)) {
                collaborators.requestSync(machine)
            } else if (clearsLeft > 0 && hasEntryToClear(machine)) {
                clearsLeft--
                collaborators.requestSync(machine)
            }
        }
    }

    private fun isUnsettled(machine: Machine): Boolean {
        if (machine.attempts.isEmpty()) return false
        return machine.channel.needsStatus || machine.attempts.any { isUnsettled(it) }
    }

    /** Whether the machine lists an ended task of a job led here whose entry may be cleared now. */
    private fun hasEntryToClear(machine: Machine): Boolean {
        if (machine.endedTaskCount == 0) return false
        val token = fencingToken()
        return machine.tasks.any {
            it.isEnded && shards.isLedHere(it.jobId) && !machine.channel.mayRunArriveAfter(AttemptId.of(it), token)
        }
    }

    private fun isUnsettled(attempt: Attempt): Boolean {
        val awaitsRun = attempt.state == AttemptState.RECORDED || attempt.state == AttemptState.DISPATCHED
        val awaitsConfirmation = attempt.machine.channel.confirmedToken < attempt.job.shard.leader.fencingToken
        return attempt.stop != null || awaitsRun || awaitsConfirmation
    }

    private companion object {
        /** In how many calls the machines are synced that only have entries to clear: about four heartbeat intervals. */
        const val CLEAR_ROUNDS = 16
    }
}
