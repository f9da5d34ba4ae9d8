package micatally.job

import kotlinx.coroutines.CoroutineScope
import micatally.gang.GangSupervisor
import micatally.gang.GangTaskControl
import micatally.gang.GangTiming
import micatally.membership.Membership
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.wire.JobAnswer
import micatally.wire.JobSpec
import micatally.wire.ResourceRequest
import micatally.worker.AttemptDirectory
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import micatally.worker.StatusSource

/**
 * Manages the jobs of the shards that this controller leads, and the attempts to run their tasks. Connects the classes
 * of this package, and is the interface through which the rest of the controller uses them. Used from the controller's
 * event loop only.
 */
class JobManager(
    scope: CoroutineScope,
    settings: Settings,
    state: StateStoreClient,
    membership: Membership,
    machines: MachineRegistry,
    store: JobStore,
    clock: Clock,
    private val collaborators: JobCollaborators,
) : AttemptDirectory,
    GangTaskControl {
    private val nowMs = clock.nowMs
    private val directory = ShardDirectory(settings.host)
    private val finalAnswers = FinalAnswers()

    /** Decides whether jobs or machines are at fault when tasks fail. */
    val faults = FaultAttribution(settings, machines)

    /** Starts and ends the runs of gangs. */
    val gangs =
        GangSupervisor(this, GangTiming(settings.gangWaitMs, settings.gangPeerMs, settings.heartbeatIntervalMs), nowMs)

    /** The cancelled jobs whose tasks have not all ended yet. */
    val cancellations =
        Cancellations(scope, settings, membership.sharedKeys, store, collaborators::requestConfirmations, nowMs)

    private val attempts = AttemptLifecycle(settings, store, gangs, faults, collaborators, nowMs)
    private val reconciler =
        TaskReconciler(directory, attempts, gangs, store, machines, collaborators) {
            membership.sharedKeys.fencingToken
        }
    private val endedJobs = EndedJobs(machines, settings.leaseMs * LEASES_KEPT)
    private val adoption = JobAdoption(machines, store, attempts, gangs, cancellations, finalAnswers)
    private val loader = ShardLoader(settings, ShardRecords(state), adoption, reconciler, collaborators, nowMs)
    private val leadership =
        ShardLeadership(scope, settings, membership, directory, loader, store, collaborators, nowMs)
    private val cancellation = JobCancellation(cancellations, attempts, store, collaborators, nowMs)
    private val suspension = TeamSuspension(directory, attempts, collaborators)
    private val submissions = JobSubmissions(machines, clock)

    /** Handles the outcomes of the writes of [JobStore]. */
    val storeOutcomes: JobStoreListener =
        JobStoreOutcomes(leadership, attempts, cancellations, finalAnswers) { endedJobs.add(it, nowMs()) }

    /** Counts what the attempts of this controller's shards use of their teams' quotas. */
    val quota get() = collaborators.quota

    /** The shards that this controller leads, by name; a read-only view. */
    val shards: Map<String, JobShard> get() = directory.byName

    /** @see ShardDirectory.areAllLoaded */
    val areShardsLoaded get() = directory.areAllLoaded

    /** @see FinalAnswers.get */
    fun final(jobId: String): JobAnswer? = finalAnswers.get(jobId)

    /** @see FinalAnswers.remember */
    fun rememberFinal(answer: JobAnswer) = finalAnswers.remember(answer)

    /** @see ShardDirectory.ownShard */
    fun ownShard(): JobShard? = directory.ownShard()

    /** @see ShardDirectory.job */
    fun job(jobId: String): Job? = directory.job(jobId)

    /** @see ShardDirectory.openJobs */
    fun openJobs(): List<Job> = directory.openJobs()

    override fun isLedHere(jobId: String) = directory.isLedHere(jobId)

    override fun attempt(
        jobId: String,
        taskIndex: Int,
    ) = job(jobId)?.attempts?.get(taskIndex)

    /** @see ShardLeadership.reconcile */
    fun checkShards() = leadership.reconcile()

    /** @see ShardLeadership.lose */
    fun loseShard(shard: JobShard) = leadership.lose(shard)

    /** @see ShardLoader.isOverdue */
    fun isLoadOverdue(shard: JobShard) = loader.isOverdue(shard)

    /** @see AttemptLifecycle.place */
    fun place(
        job: Job,
        taskIndex: Int,
        machine: Machine,
        number: Long = job.nextAttempt++,
    ): Attempt = attempts.place(job, taskIndex, machine, number)

    /** @see AttemptLifecycle.terminate */
    override fun terminate(
        attempt: Attempt,
        termination: AttemptTermination,
    ) = attempts.terminate(attempt, termination)

    override fun requestSync(machine: Machine) = collaborators.requestSync(machine)

    override fun isSuspended(jobId: String): Boolean = suspension.isSuspended(jobId)

    /** @see TeamSuspension.endUnsent */
    fun endUnsent(isAffected: (team: String) -> Boolean) = suspension.endUnsent(isAffected)

    /** @see TaskReconciler.newIncarnation */
    fun newIncarnation(machine: Machine) = reconciler.newIncarnation(machine)

    /** @see TaskReconciler.machineDeleted */
    fun deleted(machine: Machine) = reconciler.machineDeleted(machine)

    /** @see TaskReconciler.tasksReported */
    fun tasksReported(
        machine: Machine,
        source: StatusSource,
    ) = reconciler.tasksReported(machine, source)

    /** @see JobSubmissions.create */
    fun create(
        spec: JobSpec,
        shard: JobShard,
    ): Job = submissions.create(spec, shard)

    /** @see JobSubmissions.recentServices */
    fun recentServices(): List<ResourceRequest> = submissions.recentServices()

    /** @see JobCancellation.cancel */
    fun cancel(job: Job) = cancellation.cancel(job)

    /** Removes jobs from memory that are over and that no machine lists any more. Called regularly. */
    fun forgetEndedJobs(nowMs: Long) = endedJobs.forget(nowMs)

    /**
     * Marks the tasks of cancelled jobs to be stopped, and requests a sync of each machine that does not match its
     * attempts yet. Called regularly.
     */
    fun sweep() {
        cancellation.stopUnfinished()
        reconciler.syncUnsettledMachines()
    }

    private companion object {
        /** Jobs that are over are kept in memory for this many leases of the workers at least. */
        const val LEASES_KEPT = 2
    }
}
