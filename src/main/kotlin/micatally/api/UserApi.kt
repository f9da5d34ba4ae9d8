package micatally.api

import com.google.common.cache.CacheBuilder
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonObject
import micatally.archive.RecordLookup
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.errorResponse
import micatally.job.Job
import micatally.job.JobManager
import micatally.job.JobRecord
import micatally.job.JobState
import micatally.job.JobStore
import micatally.job.UnreadableRecord
import micatally.job.readable
import micatally.membership.LeadershipState
import micatally.membership.Membership
import micatally.peer.PeerPaths
import micatally.peer.Peers
import micatally.scheduling.Placement
import micatally.scheduling.Scheduler
import micatally.settings.Settings
import micatally.settings.TeamDirectory
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import micatally.state.Urgency
import micatally.upgrade.Upgrade
import micatally.wire.Format
import micatally.wire.JobAnswer
import micatally.wire.JobSpec
import micatally.wire.MalformedMessage
import micatally.wire.PeerJobResponse
import micatally.wire.bytes
import micatally.wire.parseObject
import micatally.wire.textOrNull
import micatally.worker.MachineRegistry
import micatally.worker.WorkerReach

/** What users ask. Nothing is held back: what can't be decided now is answered 503 with the time to come back. */
class UserApi(
    private val settings: Settings,
    private val teams: TeamDirectory,
    private val state: StateStoreClient,
    private val membership: Membership,
    private val jobManager: JobManager,
    private val store: JobStore,
    private val machines: MachineRegistry,
    private val peers: Peers,
    private val scheduler: Scheduler,
    private val upgrade: Upgrade,
    private val lookup: RecordLookup,
    private val reads: RecordReads,
    private val reach: WorkerReach,
    private val nowMs: () -> Long,
) {
    /** Which shard a job belongs to never changes. */
    private val shardOf = CacheBuilder.newBuilder().maximumSize(20_000).build<String, String>()

    /** Users wait five seconds for a submission or a cancellation, and what can't be done is answered before that. */
    private val durableMs = minOf(settings.leaseMs * 3 / 10, 4000L)

    /** Users wait two seconds for a poll, and after a peer's silence there is the state service to be asked. */
    private val askMs = minOf(settings.leaseMs / 20, 1000L)

    private fun later(why: String) = errorResponse(503, why, 1)

    private fun ok(a: JobAnswer) = HttpResponse(200, a.json().bytes())

    fun health(): HttpResponse =
        when {
            membership.checkLeadership() != LeadershipState.LEADING || jobManager.own() == null ||
                machines.machineTypes.isEmpty() ->
                later("starting")
            jobManager.own()?.let { jobManager.isLoadOverdue(it) } == true -> later("the ledger can't be loaded")
            // Others can take what this node has to turn away. In an outage for all every node stays: polls are still answered.
            !stateReachable && (peers.contacts.hasStateStoreContact() || !peers.contacts.isAnyPeerHeard()) ->
                later(
                    "no contact with the state service",
                )
            reach.isCutOff && peers.contacts.hasStateStoreContact() -> later("no contact with the workers")
            else -> HttpResponse(200, "{}".encodeToByteArray())
        }

    private val stateReachable get() = membership.viewAgeMs < settings.leaseMs * 3 / 10

    suspend fun submit(request: HttpRequest): HttpResponse {
        val o =
            try {
                parseObject(request.body)
            } catch (e: MalformedMessage) {
                return errorResponse(400, e.message ?: "")
            }
        val jobId =
            try {
                o.textOrNull("ref")
            } catch (e: MalformedMessage) {
                null
            }
        if (jobId == null || !JobSpec.isValidId(jobId)) return errorResponse(400, "ref must look like j-000412")
        local(jobId)?.let { return ok(it) }
        // From here on a repeat of an accepted job must not be judged by what it says now.
        val spec =
            try {
                JobSpec.parse(o)
            } catch (e: MalformedMessage) {
                return knownOr(jobId) {
                    errorResponse(
                        400,
                        e.message ?: "",
                    )
                }
            }
        if (machines.machineTypes.isEmpty()) return knownOr(jobId) { later("the machine types are not known yet") }
        if (impossible(spec) != null) {
            // Never on an old view: the team may have come, or its limit been raised, just now.
            if (!teams.refresh()) return knownOr(jobId) { later("the teams can't be looked up now") }
            impossible(spec)?.let { why -> return knownOr(jobId) { errorResponse(422, why) } }
        }
        // The previous version would run a gang's tasks as if they were independent.
        if (spec.isGang &&
            !upgrade.isUniform
        ) {
            return knownOr(jobId) { later("gangs are served once all controllers are upgraded") }
        }
        val shard = jobManager.own()
        if (shard == null || !stateReachable ||
            !membership.leaseHolds()
        ) {
            return later("no contact with the state service")
        }
        if (jobManager.isLoadOverdue(shard)) return knownOr(jobId) { later("the ledger can't be loaded") }
        if (reach.isCutOff && jobManager.job(jobId) == null) {
            return knownOr(jobId) { later("no contact with the workers") }
        }
        if (state.waitingWrites > settings.stateWriteRps) return later("too many submissions at once")
        jobManager.job(jobId)?.let {
            // Of a shard that it has taken over this node can't tell whether it is still its own.
            return if (it.shard === shard) waitFor(it, 200) else knownOr(jobId) { later("not stored yet") }
        }
        val job = jobManager.create(spec, shard)
        scheduler.placeJob(job, nowMs())
        store.touch(job, true)
        return waitFor(job, 201)
    }

    private suspend fun waitFor(
        job: Job,
        status: Int,
    ): HttpResponse {
        val durable = withTimeoutOrNull(durableMs) { store.durable(job) } ?: return later("not stored yet")
        if (!durable) return knownOr(job.jobId) { later("not stored") }
        if (!jobManager.cancellations.mayConfirm(job)) return later("a cancellation is under way")
        // Its end may have come and be on its way since.
        if (job.endUnderWay || !membership.leaseHolds()) return knownOr(job.jobId) { later("not stored yet") }
        return if (status == 201 &&
            job.durableState == JobState.OPEN
        ) {
            HttpResponse(201, JobAnswer(job.jobId, JobAnswer.PENDING, 0, 0).brief().bytes())
        } else {
            ok(job.answer())
        }
    }

    /** 422 exactly where the protocol says so. */
    private fun impossible(spec: JobSpec): String? {
        val team = teams.team(spec.team) ?: return "unknown team ${spec.team}"
        if (!Placement.possible(spec, machines.machineTypes.values)) return "a task fits no allowed machine type"
        val n = if (spec.format == Format.ARRAY) 1 else spec.taskCount
        if (team.coresMax > 0 && spec.resources.cores * n > team.coresMax + 1e-6 ||
            team.gpusMax > 0 && spec.resources.gpus * n > team.gpusMax + 1e-6
        ) {
            return "the job needs more than the limit of team ${spec.team}"
        }
        if (spec.isGang &&
            !Placement.fitsZones(spec, settings.zones.size)
        ) {
            return "the gang's tasks may not all be in the allowed zones at once"
        }
        return null
    }

    private suspend fun knownOr(
        jobId: String,
        otherwise: () -> HttpResponse,
    ): HttpResponse =
        when (val r = look(jobId)) {
            is Look.Known -> ok(r.answer)
            Look.Missing -> otherwise()
            Look.Unclear -> later("the job can't be looked up now")
        }

    suspend fun query(jobId: String): HttpResponse {
        if (!JobSpec.isValidId(jobId)) return errorResponse(404, "no such job")
        local(jobId)?.let { return ok(it) }
        return when (val r = look(jobId) { reads.read(jobId) }) {
            is Look.Known -> ok(r.answer)
            Look.Missing -> errorResponse(404, "no such job")
            Look.Unclear -> later("the job can't be looked up now")
        }
    }

    /** What this node may say from memory: final states, which never change, and its own jobs while nobody else can
     * have taken their shard. */
    private fun local(jobId: String): JobAnswer? {
        jobManager.final(jobId)?.let { return it }
        val job = jobManager.job(jobId) ?: return null
        if (job.durableState == JobState.NEW || job.endUnderWay || !membership.leaseHolds()) return null
        // This node's lease keeps others from its own shard only: a shard that it took over goes back to its host the
        // moment that host starts again, so of its jobs only the state service can tell.
        if (job.shard.name != settings.host || !jobManager.cancellations.mayConfirm(job)) return null
        return job.answer()
    }

    private sealed interface Look {
        class Known(
            val answer: JobAnswer,
        ) : Look

        data object Missing : Look

        data object Unclear : Look
    }

    private suspend fun look(
        jobId: String,
        read: suspend () -> ReadResult = {
            lookup.read(jobId, Urgency.ACCEPTANCE)
        },
    ): Look {
        val cached = shardOf.getIfPresent(jobId)
        if (cached != null) askHolder(cached, PeerPaths.QUERY_JOB, jobId)?.let { return Look.Known(it) }
        if (!stateReachable) return Look.Unclear
        return when (val found = read()) {
            is ReadResult.Unavailable -> Look.Unclear
            is ReadResult.Missing -> Look.Missing
            is ReadResult.Found ->
                try {
                    readable(jobId) { judge(jobId, found.item.value) }
                } catch (e: UnreadableRecord) {
                    Look.Unclear
                }
        }
    }

    private fun judge(
        jobId: String,
        record: JsonObject,
    ): Look {
        shardOf.put(jobId, JobRecord.shardOf(record))
        // Cancelled, but not all controllers know of it yet: only its owner can tell when they do.
        if (!JobRecord.isCancellationConfirmable(record)) return Look.Unclear
        return Look.Known(fromRecord(jobId, record))
    }

    private fun fromRecord(
        jobId: String,
        o: JsonObject,
    ): JobAnswer {
        val tasks = JobRecord.attemptCount(o)
        val status =
            when (JobRecord.state(o)) {
                JobState.DONE -> JobAnswer.DONE
                JobState.CANCELLED -> JobAnswer.CANCELLED
                else -> if (tasks > 0) JobAnswer.RUNNING else JobAnswer.PENDING
            }
        return JobAnswer(
            jobId,
            status,
            JobRecord.doneCount(o),
            if (status ==
                JobAnswer.RUNNING
            ) {
                tasks
            } else {
                0
            },
        ).also { jobManager.rememberFinal(it) }
    }

    private suspend fun askHolder(
        shard: String,
        what: String,
        jobId: String,
    ): JobAnswer? {
        val host = membership.sharedKeys.leader(shard)?.host ?: return null
        if (host == settings.host || !membership.sharedKeys.isLive(host) ||
            !peers.contacts.isReachable(host)
        ) {
            return null
        }
        val a = peers.jobClient.request(host, what, jobId, askMs) ?: return null
        return JobAnswer(jobId, a.status, a.doneCount, a.runningCount).also { jobManager.rememberFinal(it) }
    }

    suspend fun cancel(jobId: String): HttpResponse {
        if (!JobSpec.isValidId(jobId)) return errorResponse(404, "no such job")
        jobManager.final(jobId)?.let { return brief(it) }
        withdrawHere(jobId)?.let { return brief(it) }
        if (jobManager.job(jobId) != null) return later("the cancellation is not known everywhere yet")
        val cached = shardOf.getIfPresent(jobId)
        if (cached == null) {
            when (val r = look(jobId)) {
                Look.Missing -> return errorResponse(404, "no such job")
                Look.Unclear -> return later("the job can't be looked up now")
                is Look.Known ->
                    if (r.answer.status == JobAnswer.DONE ||
                        r.answer.status == JobAnswer.CANCELLED
                    ) {
                        return brief(r.answer)
                    }
            }
        }
        val shard = shardOf.getIfPresent(jobId) ?: return later("the job's owner is not known")
        withdrawHere(jobId)?.let { return brief(it) }
        return askHolder(shard, PeerPaths.CANCEL_JOB, jobId)?.let { brief(it) }
            ?: later("the job's owner can't be reached")
    }

    private fun brief(a: JobAnswer) = HttpResponse(200, a.brief().bytes())

    /** Withdraws a job of this node's; null if it isn't, or if the state service has not taken it in time. */
    private suspend fun withdrawHere(jobId: String): JobAnswer? {
        val job = jobManager.job(jobId) ?: return null
        if (!membership.leaseHolds() && !stateReachable) return null
        jobManager.cancel(job)
        val ok = withTimeoutOrNull(durableMs) { store.durable(job) } ?: false
        if (!ok || job.durableState != JobState.CANCELLED && job.durableState != JobState.DONE) return null
        if (!jobManager.cancellations.mayConfirm(job)) {
            peers.cancellations.broadcastCancellation(job)
            if (!jobManager.cancellations.mayConfirm(job)) return null
        }
        return job.answer()
    }

    // The same for other controllers

    fun peerQuery(jobId: String): PeerJobResponse =
        local(jobId)?.let { PeerJobResponse(true, it.status, it.doneCount, it.runningCount) } ?: PeerJobResponse()

    suspend fun peerCancel(jobId: String): PeerJobResponse =
        (jobManager.final(jobId) ?: withdrawHere(jobId))?.let {
            PeerJobResponse(true, it.status, it.doneCount, it.runningCount)
        }
            ?: PeerJobResponse()
}
