package micatally.job

import com.google.common.cache.CacheBuilder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.gang.GangSupervisor
import micatally.gang.GangTaskControl
import micatally.gang.GangTiming
import micatally.membership.Keys
import micatally.membership.Membership
import micatally.membership.ShardLeader
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.state.Urgency
import micatally.wire.ExitReason
import micatally.wire.JobAnswer
import micatally.wire.JobSpec
import micatally.wire.ListedTask
import micatally.wire.ResourceRequest
import micatally.worker.AttemptDirectory
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** The jobs of the shards that this node holds, and all that happens to their tasks. */
class JobManager(
    private val scope: CoroutineScope,
    private val settings: Settings,
    state: StateStoreClient,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val store: JobStore,
    private val clock: Clock,
    private val collaborators: JobCollaborators,
) : AttemptDirectory,
    GangTaskControl {
    private val log = LoggerFactory.getLogger("micatally.job")
    private val nowMs = clock.nowMs
    private val loader = ShardLoader(settings, ShardRecords(state), machines, store, this, collaborators, nowMs)

    /** What the attempts of this controller's shards use of the limits of their teams. */
    val quota get() = collaborators.quota

    val shards = HashMap<String, JobShard>()
    val faults = FaultJudgement(settings, machines)

    val gangs =
        GangSupervisor(this, GangTiming(settings.gangWaitMs, settings.gangPeerMs, settings.heartbeatIntervalMs), nowMs)

    override fun requestSync(machine: Machine) = collaborators.requestSync(machine)

    /** Final answers, which never change. */
    private val finals = CacheBuilder.newBuilder().maximumSize(FINALS).build<String, JobAnswer>()

    fun final(jobId: String): JobAnswer? = finals.getIfPresent(jobId)

    fun rememberFinal(answer: JobAnswer) {
        if (answer.status == JobAnswer.DONE || answer.status == JobAnswer.CANCELLED) {
            finals.put(answer.jobId, answer)
        }
    }

    fun ownShard(): JobShard? = shards[settings.host]?.takeIf { it.isLedHere }

    fun job(jobId: String): Job? {
        var unstored: Job? = null
        for (shard in shards.values) {
            if (shard.isLedHere) {
                shard.jobs[jobId]?.let {
                    if (it.durableState !=
                        JobState.NEW
                    ) {
                        return it
                    } else {
                        unstored = it
                    }
                }
            }
        }
        return unstored
    }

    fun openJobs(): List<Job> =
        shards.values
            .filter {
                it.state == ShardState.ACTIVE
            }.flatMap { shard -> shard.jobs.values.filter { it.wantsTasks } }

    /** A job that is not stored yet may turn out to be another owner's, whose tasks are then no strays: it was submitted there
     * before, and repeated here. */
    override fun isLedHere(jobId: String) =
        shards.values.any { shard ->
            shard.state == ShardState.ACTIVE &&
                shard.jobs[jobId]?.let { it.durableState != JobState.NEW } == true
        }

    override fun attempt(
        jobId: String,
        taskIndex: Int,
    ) = job(jobId)?.attempts?.get(taskIndex)

    /** Whether all jobs of this node's shards are known here. */
    val settled get() = ownShard() != null && shards.values.all { it.state == ShardState.ACTIVE }

    /** Jobs that were cancelled, until their tasks are gone. */
    val cancellations =
        Cancellations(scope, settings, membership.sharedKeys, store, collaborators::requestConfirmations, nowMs)

    // shards

    fun acquired(
        name: String,
        leader: ShardLeader,
    ) {
        shards[name]?.let { if (it.isLedHere) loseShard(it) }
        val shard = JobShard(name, leader, nowMs())
        shards[name] = shard
        scope.launch { loader.load(shard) }
    }

    /** The shared keys have changed: drop what is another node's now. */
    fun checkShards() {
        for (shard in shards.values.toList()) {
            if (!shard.isLedHere) continue
            val leader = membership.sharedKeys.leader(shard.name)
            if (leader == null || leader.modRevision != shard.leader.modRevision) loseShard(shard)
        }
        for (name in membership.sharedKeys.shards()) {
            val leader = membership.sharedKeys.leader(name) ?: continue
            if (leader.host == settings.host && leader.process == membership.process &&
                shards[name]?.isLedHere != true
            ) {
                acquired(name, leader)
            }
        }
    }

    fun loseShard(shard: JobShard) {
        if (!shard.isLedHere) return
        log.info("shard {} lost with {} jobs", shard.name, shard.jobs.size)
        shard.transitionTo(ShardState.LOST)
        for (job in shard.jobs.values) {
            for (attempt in job.attempts.values) {
                attempt.machine.detach(attempt, nowMs())
                // Its new owner has yet to load it; to all that see this node's summary the room would look free meanwhile.
                job.spec?.let {
                    attempt.machine.promise(
                        job.jobId,
                        attempt.taskIndex,
                        it.resources,
                        nowMs() + settings.handOverMs,
                    )
                }
            }
            store.drop(job)
        }
        shard.jobs.clear()
        shards.remove(shard.name, shard)
        collaborators.quota.forget(shard.name)
    }

    /** Whether the shard's jobs should be known by now and are not: a new job of it might never be started. */
    fun isLoadOverdue(shard: JobShard) = loader.isOverdue(shard)

    /** An attempt counts from now on: on its machine, and against the limit of its team. */
    internal fun attach(attempt: Attempt) {
        attempt.machine.attach(attempt)
        collaborators.quota.take(attempt.job)
    }

    // Attempts

    /** Numbers are the job's, each used once for a task; the members of a gang, which find each other by it, share one. */
    fun place(
        job: Job,
        taskIndex: Int,
        machine: Machine,
        number: Long = job.nextAttempt++,
    ): Attempt {
        val attempt = Attempt(job, taskIndex, number, machine, machine.incarnation, job.service, AttemptState.INTENDED)
        job.gang?.tried(taskIndex, machine.name)
        job.attempts[taskIndex] = attempt
        attach(attempt)
        log.info("task {}/{} attempt {} intended for {}", job.jobId, taskIndex, attempt.number, machine.name)
        return attempt
    }

    fun durable(
        job: Job,
        written: List<Attempt>,
    ) {
        val touched = LinkedHashSet<Machine>()
        for (attempt in written) {
            if (attempt.live && attempt.state == AttemptState.INTENDED) {
                attempt.transitionTo(AttemptState.RECORDED, nowMs())
                touched.add(attempt.machine)
            }
        }
        for (machine in touched) collaborators.requestSync(machine)
        if (job.durableState == JobState.DONE || job.durableState == JobState.CANCELLED) {
            if (cancellations.mayConfirm(job)) rememberFinal(job.answer())
            if (job.attempts.isEmpty() && job.durableVersion == job.version) {
                // Kept in memory for a while so that its ended entries are still cleared from the machines.
                val shard = job.shard
                scope.launch {
                    delay(settings.leaseMs * 2)
                    if (job.attempts.isEmpty()) shard.jobs.remove(job.jobId, job)
                }
            }
        }
    }

    /** Attempts that are not stored yet and for which their job's record has no room. */
    fun giveUp(
        job: Job,
        attempts: List<Attempt>,
    ) {
        val all = if (job.gang == null) attempts else job.attempts.values.filter { it.state == AttemptState.INTENDED }
        for (attempt in all) {
            terminate(
                attempt,
                AttemptTermination(TerminationEvidence.NEVER_SENT, "no room in the job's record"),
            )
        }
        job.attemptLimit = job.attempts.size
    }

    override fun isSuspended(jobId: String): Boolean {
        val team = job(jobId)?.spec?.team ?: return false
        return collaborators.quota.isSuspended(team)
    }

    /** Ends what has been decided and not sent, of teams that may not start anything any more since their limit or they
     * themselves are gone. What was sent counts as started. */
    fun endUnsent(isAffected: (team: String) -> Boolean) {
        for (job in openJobs()) {
            val team = job.spec?.team ?: continue
            val unsent = job.attempts.values.filter { it.state <= AttemptState.RECORDED }
            if (unsent.isEmpty() || !isAffected(team) || !collaborators.quota.isSuspended(team)) continue
            for (attempt in unsent) {
                terminate(attempt, AttemptTermination(TerminationEvidence.NEVER_SENT, "the limit of $team was lowered"))
            }
        }
    }

    /** The one place where an attempt ends. A task may start elsewhere only after it. */
    override fun terminate(
        attempt: Attempt,
        termination: AttemptTermination,
    ) {
        if (!attempt.live) return
        val job = attempt.job
        val now = nowMs()
        val ranMs = attempt.runningSince?.let { now - it } ?: 0L
        attempt.transitionTo(AttemptState.TERMINATED, now)
        attempt.machine.detach(attempt, now)
        job.attempts.remove(attempt.taskIndex, attempt)
        // What a shard used is forgotten with it; its next holder has counted anew.
        if (job.shard.isLedHere) collaborators.quota.release(job)
        log.info("task {} terminated: {}", attempt, termination)
        if (job.state == JobState.DROPPED) return
        if (termination.proof == TerminationEvidence.COMPLETED) {
            taskCompleted(attempt, ranMs)
        } else if (ranMs > 0 && job.spec?.isService == false) {
            // Stopped or lost: its run time counts as service that the job has had.
            raiseService(job, attempt.inherited + ranMs / 1000.0)
        }
        noteExit(attempt, termination, ranMs, now)
        gangs.taskTerminated(attempt, termination)
        // The end of a job that is done is known already: that its last attempts are gone may wait a little.
        val isUrgent =
            job.state == JobState.CANCELLED || job.state == JobState.OPEN && attempt.stop != null || job.endUnderWay
        store.touch(job, isUrgent)
        collaborators.requestCycle()
    }

    /** What an exit tells of the machine and of when to try again. */
    private fun noteExit(
        attempt: Attempt,
        termination: AttemptTermination,
        ranMs: Long,
        now: Long,
    ) {
        val job = attempt.job
        when (termination.reason) {
            ExitReason.ERROR -> faults.taskFailed(attempt, ranMs, now)
            ExitReason.FULL -> attempt.machine.fullUntil = now + settings.heartbeatIntervalMs
            ExitReason.UNKNOWN, ExitReason.IN_USE -> job.retryAt = now + settings.heartbeatIntervalMs
            else -> {}
        }
    }

    private fun taskCompleted(
        attempt: Attempt,
        ranMs: Long,
    ) {
        val job = attempt.job
        if (!markDone(job, attempt.taskIndex)) return
        faults.taskCompleted(attempt, nowMs())
        raiseService(job, attempt.inherited + ranMs / 1000.0)
        if (job.state == JobState.DONE) store.touch(job, true)
    }

    /** False if that was known. The tasks of a gang complete together: if one is done, all are. */
    private fun markDone(
        job: Job,
        task: Int,
    ): Boolean {
        if (!job.markDone(task)) return false
        if (job.gang != null) for (other in 0 until job.taskCount) job.markDone(other)
        if (job.doneCount == job.taskCount && job.state == JobState.OPEN) {
            job.transitionTo(JobState.DONE)
            log.info("job {} done", job.jobId)
        }
        return true
    }

    private fun raiseService(
        job: Job,
        to: Double,
    ) {
        if (to > job.service) job.service = to
    }

    fun newIncarnation(machine: Machine) {
        for (attempt in machine.attempts.toList()) {
            if (attempt.incarnation <
                machine.incarnation
            ) {
                terminate(
                    attempt,
                    AttemptTermination(TerminationEvidence.NEWER_INCARNATION, "incarnation ${machine.incarnation}"),
                )
            }
        }
    }

    fun deleted(machine: Machine) {
        machine.deleted = true
        machine.unansweredRuns.clear()
        for (attempt in machine.attempts.toList()) {
            terminate(attempt, AttemptTermination(TerminationEvidence.MACHINE_DELETED, "machine gone"))
        }
    }

    /** A newer task list of a machine. Without an answer to our own request it proves only what can't change any more. */
    fun tasksReported(
        machine: Machine,
        source: TaskListSource,
    ) {
        var requestSync = false
        for (task in machine.tasks) {
            val job = job(task.jobId) ?: continue
            val attempt = job.attempts[task.taskIndex]
            if (attempt != null && attempt.number == task.attempt && attempt.machine === machine &&
                attempt.incarnation == machine.incarnation
            ) {
                requestSync = attemptReported(attempt, task, source) || requestSync
            } else {
                requestSync = true
                if (task.done) doneUnderFormerAttempt(job, task.taskIndex)
            }
        }
        // What was there and is missing proves nothing, since nobody knows who took it away; but the machine is asked.
        if (source == TaskListSource.HEARTBEAT &&
            machine.attempts.any {
                it.state >= AttemptState.PULLING && it.incarnation == machine.incarnation &&
                    machine.tasks.none { task ->
                        task.jobId == it.job.jobId && task.taskIndex == it.taskIndex && task.attempt == it.number
                    }
            }
        ) {
            machine.needsStatus = true
            requestSync = true
        }
        if (requestSync) collaborators.requestSync(machine)
    }

    /** Completed under an attempt that was given up for good reasons: the result counts all the same. */
    private fun doneUnderFormerAttempt(
        job: Job,
        task: Int,
    ) {
        if (job.state != JobState.OPEN) return
        val isRestarted = task in job.attempts
        if (isRestarted && job.gang == null || !markDone(job, task)) return
        // The next run of a gang has nothing left to do; the other tasks of an array go on.
        if (job.gang != null) gangs.stopAll(job, StopReason.GANG_ENDED)
        store.touch(job, job.state == JobState.DONE)
    }

    /** True if the machine has to hear of something. */
    private fun attemptReported(
        attempt: Attempt,
        task: ListedTask,
        source: TaskListSource,
    ): Boolean {
        when (task.status) {
            ListedTask.PULLING -> advance(attempt, AttemptState.PULLING)
            ListedTask.WAITING -> advance(attempt, AttemptState.WAITING)
            ListedTask.RUNNING -> if (advance(attempt, AttemptState.RUNNING)) taskStarted(attempt)
            ListedTask.SAVING -> advance(attempt, AttemptState.SAVING)
            ListedTask.ENDED -> {
                if (task.reason == null) logOnce("task $attempt ended for an unknown reason: ${task.why}")
                if (task.done) {
                    terminate(attempt, AttemptTermination(TerminationEvidence.COMPLETED, "done", ExitReason.DONE))
                } else if (source == TaskListSource.HEARTBEAT) {
                    attempt.machine.needsStatus = true
                }
                return task.done || source == TaskListSource.HEARTBEAT
            }
            // Neither gone nor running.
            else -> logOnce("task $attempt is in an unknown state: ${task.status}")
        }
        return false
    }

    /** What is listed takes an attempt forward only. */
    private fun advance(
        attempt: Attempt,
        state: AttemptState,
    ): Boolean {
        if (attempt.state < AttemptState.DISPATCHED || attempt.state >= state) return false
        attempt.transitionTo(state, nowMs())
        gangs.taskSeen(attempt)
        return true
    }

    private fun taskStarted(attempt: Attempt) {
        val machine = attempt.machine
        attempt.job.spec?.let {
            machine.sawImage(it.image, it.imageGb, machines.machineTypes[machine.type]?.cacheGb ?: 0.0)
            machine.ownImages.add(it.image)
        }
        log.info("task {} runs", attempt)
    }

    private val loggedOnce = HashSet<String>()

    private fun logOnce(message: String) {
        if (loggedOnce.size < MOST_LOGGED_ONCE && loggedOnce.add(message.substringAfterLast(' '))) log.warn(message)
    }

    private val arrivals = ServiceArrivals(nowMs) { machines.bootMs(null) }

    /** The services submitted here while a machine boots, by shape. */
    fun recentServices(): List<ResourceRequest> = arrivals.recent()

    // What users ask for

    /** Creates a job of this node's own shard; the caller waits for the store. */
    fun create(
        spec: JobSpec,
        shard: JobShard,
    ): Job {
        val job = Job(spec.jobId, spec, shard, spec.taskCount, clock.wallMs(), JobState.NEW)
        shard.jobs[spec.jobId] = job
        if (spec.isService) arrivals.add(spec)
        log.info(
            "job {} of {} class {}: {} tasks of {} cores {} GPUs",
            spec.jobId,
            spec.team,
            spec.jobClass,
            spec.taskCount,
            spec.resources.cores,
            spec.resources.gpus,
        )
        return job
    }

    /** The job is not this node's after all. None of its tasks was ever sent: that takes a record that is durable. */
    fun forget(job: Job) {
        for (attempt in job.attempts.values.toList()) {
            terminate(attempt, AttemptTermination(TerminationEvidence.NEVER_SENT, "job not accepted"))
        }
        job.shard.jobs.remove(job.jobId, job)
    }

    fun cancel(job: Job) {
        if (job.state != JobState.OPEN && job.state != JobState.NEW) return
        job.transitionTo(JobState.CANCELLED)
        log.info("job {} cancelled with {} tasks", job.jobId, job.attempts.size)
        cancellations.begin(job)
        val now = nowMs()
        val touched = LinkedHashSet<Machine>()
        for (attempt in job.attempts.values.toList()) {
            if (attempt.state == AttemptState.INTENDED) {
                terminate(attempt, AttemptTermination(TerminationEvidence.NEVER_SENT, "cancelled"))
                continue
            }
            attempt.stop(StopReason.CANCELLED, now)
            touched.add(attempt.machine)
        }
        store.touch(job, true)
        for (machine in touched) collaborators.requestSync(machine)
    }

    /** Adopted after a takeover: a cancelled job's tasks must still go. */
    fun sweep() {
        val now = nowMs()
        for (job in cancellations.unfinished) {
            if (job.shard.state ==
                ShardState.ACTIVE
            ) {
                for (attempt in job.attempts.values) attempt.stop(StopReason.CANCELLED, now)
            }
        }
        for (machine in machines.byName.values) {
            if (machine.deleted ||
                machine.attempts.isEmpty() && machine.tasks.none { it.ended && isLedHere(it.jobId) }
            ) {
                continue
            }
            if (machine.isSyncing) continue
            if (machine.attempts.any {
                    it.stop != null || it.state == AttemptState.RECORDED ||
                        it.state == AttemptState.DISPATCHED ||
                        machine.confirmedToken < it.job.shard.leader.fencingToken
                } ||
                machine.needsStatus ||
                machine.tasks.any { it.ended && isLedHere(it.jobId) }
            ) {
                collaborators.requestSync(machine)
            }
        }
    }

    private companion object {
        const val FINALS = 20_000L
        const val MOST_LOGGED_ONCE = 100
    }
}
