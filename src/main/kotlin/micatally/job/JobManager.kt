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
import micatally.quota.Quota
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.state.Urgency
import micatally.wire.ExitReason
import micatally.wire.JobAnswer
import micatally.wire.JobSpec
import micatally.wire.ListedTask
import micatally.wire.ResourceRequest
import micatally.worker.AttemptDirectory
import micatally.worker.CommandDispatcher
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
    private val nowMs: () -> Long,
    private val wallMs: () -> Long,
) : AttemptDirectory,
    GangTaskControl {
    private val log = LoggerFactory.getLogger("micatally.job")
    private val loader = ShardLoader(settings, ShardRecords(state), machines, store, this, nowMs)
    val shards = HashMap<String, JobShard>()
    lateinit var dispatcher: CommandDispatcher
    lateinit var quota: Quota
    var requestCycle: () -> Unit = {}
    val faults = FaultJudgement(settings, machines)

    val gangs =
        GangSupervisor(this, GangTiming(settings.gangWaitMs, settings.gangPeerMs, settings.heartbeatIntervalMs), nowMs)

    override fun requestSync(machine: Machine) = dispatcher.requestSync(machine)

    /** Final answers, which never change. */
    private val finals = CacheBuilder.newBuilder().maximumSize(FINALS).build<String, JobAnswer>()

    fun final(jobId: String): JobAnswer? = finals.getIfPresent(jobId)

    fun rememberFinal(a: JobAnswer) {
        if (a.status == JobAnswer.DONE ||
            a.status == JobAnswer.CANCELLED
        ) {
            finals.put(a.jobId, a)
        }
    }

    fun own(): JobShard? = shards[settings.host]?.takeIf { it.mine }

    fun job(jobId: String): Job? {
        var unstored: Job? = null
        for (l in shards.values) {
            if (l.mine) {
                l.jobs[jobId]?.let {
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
            }.flatMap { l -> l.jobs.values.filter { it.wantsTasks } }

    /** A job that is not stored yet may turn out to be another owner's, whose tasks are then no strays: it was submitted there
     * before, and repeated here. */
    override fun isLedHere(jobId: String) =
        shards.values.any { l ->
            l.state == ShardState.ACTIVE &&
                l.jobs[jobId]?.let { it.durableState != JobState.NEW } == true
        }

    override fun attempt(
        jobId: String,
        taskIndex: Int,
    ) = job(jobId)?.attempts?.get(taskIndex)

    /** Whether all jobs of this node's shards are known here. */
    val settled get() = own() != null && shards.values.all { it.state == ShardState.ACTIVE }

    /** Jobs that were cancelled, until their tasks are gone. */
    val cancellations = Cancellations(scope, settings, membership.sharedKeys, store, nowMs)

    // shards

    fun acquired(
        name: String,
        leader: ShardLeader,
    ) {
        shards[name]?.let { if (it.mine) loseShard(it) }
        val l = JobShard(name, leader, nowMs())
        shards[name] = l
        scope.launch { loader.load(l) }
    }

    /** The shared keys have changed: drop what is another node's now. */
    fun checkShards() {
        for (l in shards.values.toList()) {
            if (!l.mine) continue
            val h = membership.sharedKeys.leader(l.name)
            if (h == null || h.modRevision != l.leader.modRevision) loseShard(l)
        }
        for (name in membership.sharedKeys.shards()) {
            val h = membership.sharedKeys.leader(name) ?: continue
            if (h.host == settings.host && h.process == membership.process &&
                shards[name]?.mine != true
            ) {
                acquired(name, h)
            }
        }
    }

    fun loseShard(l: JobShard) {
        if (!l.mine) return
        log.info("shard {} lost with {} jobs", l.name, l.jobs.size)
        l.transitionTo(ShardState.LOST)
        for (j in l.jobs.values) {
            for (a in j.attempts.values) {
                a.machine.detach(a, nowMs())
                // Its new owner has yet to load it; to all that see this node's summary the room would look free meanwhile.
                j.spec?.let { a.machine.reserve(j.jobId, a.taskIndex, it.resources, nowMs() + settings.handOverMs) }
            }
            store.drop(j)
        }
        l.jobs.clear()
        shards.remove(l.name, l)
        quota.forget(l.name)
    }

    /** Whether the shard's jobs should be known by now and are not: a new job of it might never be started. */
    fun isLoadOverdue(l: JobShard) = loader.isOverdue(l)

    /** An attempt counts from now on: on its machine, and against the limit of its team. */
    internal fun attach(a: Attempt) {
        a.machine.attach(a)
        quota.take(a.job)
    }

    // Attempts

    /** Numbers are the job's, each used once for a task; the members of a gang, which find each other by it, share one. */
    fun place(
        job: Job,
        taskIndex: Int,
        m: Machine,
        number: Long = job.nextAttempt++,
    ): Attempt {
        val a = Attempt(job, taskIndex, number, m, m.incarnation, job.service, AttemptState.INTENDED)
        job.gang?.tried(taskIndex, m.name)
        job.attempts[taskIndex] = a
        attach(a)
        log.info("task {}/{} attempt {} intended for {}", job.jobId, taskIndex, a.number, m.name)
        return a
    }

    fun durable(
        job: Job,
        written: List<Attempt>,
    ) {
        val touched = LinkedHashSet<Machine>()
        for (a in written) {
            if (a.live && a.state == AttemptState.INTENDED) {
                a.transitionTo(AttemptState.RECORDED, nowMs())
                touched.add(a.machine)
            }
        }
        for (m in touched) dispatcher.requestSync(m)
        if (job.durableState == JobState.DONE || job.durableState == JobState.CANCELLED) {
            if (cancellations.mayConfirm(job)) rememberFinal(job.answer())
            if (job.attempts.isEmpty() && job.durableVersion == job.version) {
                // Kept in memory for a while so that its ended entries are still cleared from the machines.
                val l = job.shard
                scope.launch {
                    delay(settings.leaseMs * 2)
                    if (job.attempts.isEmpty()) l.jobs.remove(job.jobId, job)
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
        for (a in all) terminate(a, AttemptTermination(TerminationEvidence.NEVER_SENT, "no room in the job's record"))
        job.attemptLimit = job.attempts.size
    }

    override fun isSuspended(jobId: String): Boolean {
        val team = job(jobId)?.spec?.team ?: return false
        return quota.isSuspended(team)
    }

    /** Ends what has been decided and not sent, of teams that may not start anything any more since their limit or they
     * themselves are gone. What was sent counts as started. */
    fun endUnsent(isAffected: (team: String) -> Boolean) {
        for (job in openJobs()) {
            val team = job.spec?.team ?: continue
            val unsent = job.attempts.values.filter { it.state <= AttemptState.RECORDED }
            if (unsent.isEmpty() || !isAffected(team) || !quota.isSuspended(team)) continue
            for (attempt in unsent) {
                terminate(attempt, AttemptTermination(TerminationEvidence.NEVER_SENT, "the limit of $team was lowered"))
            }
        }
    }

    /** The one place where an attempt ends. A task may start elsewhere only after it. */
    override fun terminate(
        attempt: Attempt,
        end: AttemptTermination,
    ) {
        if (!attempt.live) return
        val job = attempt.job
        val now = nowMs()
        val ranMs = attempt.runningSince?.let { now - it } ?: 0L
        attempt.transitionTo(AttemptState.TERMINATED, now)
        attempt.machine.detach(attempt, now)
        job.attempts.remove(attempt.taskIndex, attempt)
        // What a shard used is forgotten with it; its next holder has counted anew.
        if (job.shard.mine) quota.release(job)
        log.info("task {} terminated: {}", attempt, end)
        if (job.state == JobState.DROPPED) return
        if (end.proof == TerminationEvidence.COMPLETED) {
            finished(attempt, ranMs)
        } else if (ranMs > 0 && job.spec?.isService == false) {
            // Stopped or lost: its run time counts as service that the job has had.
            lift(job, attempt.inherited + ranMs / 1000.0)
        }
        learn(attempt, end, ranMs, now)
        gangs.taskTerminated(attempt, end)
        // The end of a job that is done is known already: that its last attempts are gone may wait a little.
        val isUrgent =
            job.state == JobState.CANCELLED || job.state == JobState.OPEN && attempt.stop != null || job.endUnderWay
        store.touch(job, isUrgent)
        requestCycle()
    }

    /** What an exit tells of the machine and of when to try again. */
    private fun learn(
        attempt: Attempt,
        end: AttemptTermination,
        ranMs: Long,
        now: Long,
    ) {
        val job = attempt.job
        when (end.reason) {
            ExitReason.ERROR -> faults.taskFailed(attempt, ranMs, now)
            ExitReason.FULL -> attempt.machine.fullUntil = now + settings.heartbeatIntervalMs
            ExitReason.UNKNOWN, ExitReason.IN_USE -> job.retryAt = now + settings.heartbeatIntervalMs
            else -> {}
        }
    }

    private fun finished(
        a: Attempt,
        ranMs: Long,
    ) {
        val job = a.job
        if (!markDone(job, a.taskIndex)) return
        faults.taskCompleted(a, nowMs())
        lift(job, a.inherited + ranMs / 1000.0)
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

    private fun lift(
        job: Job,
        to: Double,
    ) {
        if (to > job.service) job.service = to
    }

    fun newIncarnation(m: Machine) {
        for (a in m.attempts.toList()) {
            if (a.incarnation <
                m.incarnation
            ) {
                terminate(a, AttemptTermination(TerminationEvidence.NEWER_INCARNATION, "incarnation ${m.incarnation}"))
            }
        }
    }

    fun deleted(m: Machine) {
        m.deleted = true
        m.channel.forgetUnansweredRuns()
        for (a in m.attempts.toList()) {
            terminate(a, AttemptTermination(TerminationEvidence.MACHINE_DELETED, "machine gone"))
        }
    }

    /** A newer task list of a machine. Without an answer to our own request it proves only what can't change any more. */
    fun tasksReported(
        m: Machine,
        own: Boolean,
    ) {
        var requestSync = false
        for (t in m.tasks) {
            val job = job(t.jobId) ?: continue
            val a = job.attempts[t.taskIndex]
            if (a != null && a.number == t.attempt && a.machine === m && a.incarnation == m.incarnation) {
                requestSync = listedAttempt(a, t, own) || requestSync
            } else {
                requestSync = true
                if (t.done) doneUnderFormerAttempt(job, t.taskIndex)
            }
        }
        // What was there and is missing proves nothing, since nobody knows who took it away; but the machine is asked.
        if (!own &&
            m.attempts.any {
                it.state >= AttemptState.PULLING && it.incarnation == m.incarnation &&
                    m.tasks.none { t ->
                        t.jobId == it.job.jobId && t.taskIndex == it.taskIndex && t.attempt == it.number
                    }
            }
        ) {
            m.channel.needsStatus = true
            requestSync = true
        }
        if (requestSync) dispatcher.requestSync(m)
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
    private fun listedAttempt(
        a: Attempt,
        t: ListedTask,
        own: Boolean,
    ): Boolean {
        when (t.status) {
            ListedTask.PULLING -> reached(a, AttemptState.PULLING)
            ListedTask.WAITING -> reached(a, AttemptState.WAITING)
            ListedTask.RUNNING -> if (reached(a, AttemptState.RUNNING)) started(a)
            ListedTask.SAVING -> reached(a, AttemptState.SAVING)
            ListedTask.ENDED -> {
                if (t.reason == null) logOnce("task $a ended for an unknown reason: ${t.why}")
                if (t.done) {
                    terminate(a, AttemptTermination(TerminationEvidence.COMPLETED, "done", ExitReason.DONE))
                } else if (!own) {
                    a.machine.channel.needsStatus = true
                }
                return t.done || !own
            }
            // Neither gone nor running.
            else -> logOnce("task $a is in an unknown state: ${t.status}")
        }
        return false
    }

    /** What is listed takes an attempt forward only. */
    private fun reached(
        a: Attempt,
        state: AttemptState,
    ): Boolean {
        if (a.state < AttemptState.DISPATCHED || a.state >= state) return false
        a.transitionTo(state, nowMs())
        gangs.taskSeen(a)
        return true
    }

    private fun started(a: Attempt) {
        val m = a.machine
        a.job.spec?.let {
            m.sawOwnImage(it.image, it.imageGb, machines.machineTypes[m.type]?.cacheGb ?: 0.0)
        }
        log.info("task {} runs", a)
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
        val job = Job(spec.jobId, spec, shard, spec.taskCount, wallMs(), JobState.NEW)
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
        for (a in job.attempts.values.toList()) {
            terminate(a, AttemptTermination(TerminationEvidence.NEVER_SENT, "job not accepted"))
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
        for (a in job.attempts.values.toList()) {
            if (a.state == AttemptState.INTENDED) {
                terminate(a, AttemptTermination(TerminationEvidence.NEVER_SENT, "cancelled"))
                continue
            }
            a.stop(StopReason.CANCELLED, now)
            touched.add(a.machine)
        }
        store.touch(job, true)
        for (m in touched) dispatcher.requestSync(m)
    }

    /** Adopted after a takeover: a cancelled job's tasks must still go. */
    fun sweep() {
        val now = nowMs()
        for (j in cancellations.unfinished) {
            if (j.shard.state ==
                ShardState.ACTIVE
            ) {
                for (a in j.attempts.values) a.stop(StopReason.CANCELLED, now)
            }
        }
        for (m in machines.byName.values) {
            if (m.deleted || m.attempts.isEmpty() && m.tasks.none { it.ended && isLedHere(it.jobId) }) continue
            if (m.channel.isSyncing) continue
            if (m.attempts.any {
                    it.stop != null || it.state == AttemptState.RECORDED ||
                        it.state == AttemptState.DISPATCHED ||
                        m.channel.confirmedToken < it.job.shard.leader.fencingToken
                } ||
                m.channel.needsStatus ||
                m.tasks.any { it.ended && isLedHere(it.jobId) }
            ) {
                dispatcher.requestSync(m)
            }
        }
    }

    private companion object {
        const val FINALS = 20_000L
        const val MOST_LOGGED_ONCE = 100
    }
}
