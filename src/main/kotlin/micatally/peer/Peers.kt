@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package micatally.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.job.Job
import micatally.job.JobManager
import micatally.membership.Keys
import micatally.membership.Membership
import micatally.scheduling.Scheduler
import micatally.settings.Peer
import micatally.settings.Settings
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.Urgency
import micatally.wire.CancelledTaskList
import micatally.wire.CapacitySummary
import micatally.wire.HeartbeatAcknowledgements
import micatally.wire.HeldCapacity
import micatally.wire.MachineStatus
import micatally.wire.PeerDelta
import micatally.wire.PeerDeltaResponse
import micatally.wire.PeerJobRequest
import micatally.wire.PeerJobResponse
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.wire.textOrNull
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import java.util.Base64

/** What controllers tell each other: reports handed on to the owners of their tasks, free-room summaries, questions
 * about jobs. Summaries also go through the state service, for nodes that can't hear each other. */
class Peers(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val jobManager: JobManager,
    private val scheduler: Scheduler,
    private val nowMs: () -> Long,
) {
    private class Line(
        val peer: Peer,
    ) {
        val untold = LinkedHashSet<String>()

        /** The summary that the peer is known to have; 0: none. */
        var toldSummary = 0L
        var toldHeardAt = 0L
        var talking = false
        var failures = 0
        var nextAt = 0L
        var contactAt = Long.MIN_VALUE / 2
        var heardAt = Long.MIN_VALUE / 2

        /** When the question left whose answer told all that the peer has cancelled, and the fencing token of that answer. */
        var peersConfirmedAt = Long.MIN_VALUE / 2
        var confirmedFencingToken = 0L
    }

    private val lines = settings.peers.map { Line(it) }
    private val own = OwnSummary(settings, membership, machines, jobManager, scheduler)
    private val summaries = PeerSummaries(settings, membership, machines, nowMs)
    private val tellMs = settings.heartbeatIntervalMs / TELLS_A_REPORT

    /** Every machine may have something new in each report interval, and all of it has to get through in that time. */
    private val notesAtOnce get() = maxOf(LEAST_NOTES, machines.byName.size / TELLS_A_REPORT)
    private val heardEveryMs = maxOf(settings.heartbeatIntervalMs / 2, settings.leaseMs / 10)
    var onRetire: (List<String>) -> Unit = {}
    var onNews: () -> Unit = {}
    private var pendingRetire = LinkedHashSet<String>()

    /** A peer has said at this time or later that it reaches the state service. */
    fun somePeerHasStateSince(sinceMs: Long): Boolean = lines.any { it.contactAt >= sinceMs }

    /** A peer has said just now that it reaches the state service. */
    fun somePeerHasState(): Boolean = lines.any { nowMs() - it.contactAt < settings.leaseMs / 5 }

    /** Whether any peer has been heard lately, whatever it reaches. */
    fun anyHeard(): Boolean = lines.isEmpty() || lines.any { nowMs() - it.heardAt < settings.leaseMs * 3 / 10 }

    /** The controller to which a zone's workers report best, among those of the zone that are in contact; null if there
     * is none. A worker whose controller ends tries the next ones in turn, and in a cut each of another zone costs it
     * half its lease, so that one is best from which the next of the same zone is the fewest steps away. */
    fun bestFor(zone: String): String? {
        val there =
            lines
                .filter {
                    it.peer.zone == zone && it.failures == 0 && nowMs() - it.contactAt < settings.leaseMs / 5
                }.map { it.peer.host } +
                listOfNotNull(settings.host.takeIf { settings.zone == zone })
        return there.minWithOrNull(compareBy({ steps[it] ?: 0 }, { it }))
    }

    private val steps: Map<String, Int> = stepsToNextOfZone()

    private fun stepsToNextOfZone(): Map<String, Int> {
        val hosts = (settings.peers.map { it.host to it.zone } + (settings.host to settings.zone)).sortedBy { it.first }
        return hosts.withIndex().associate { (i, h) ->
            h.first to (1..hosts.size).first { hosts[(i + it) % hosts.size].second == h.second }
        }
    }

    /** False when the last words to a peer got no answer. */
    fun reaches(host: String) = lines.any { it.peer.host == host && it.failures == 0 }

    /** Where peers are that can't be heard: what they hear may not be known here. */
    fun silentZones(): Set<String> =
        lines
            .filter {
                nowMs() - it.contactAt >= settings.leaseMs * 3 / 10
            }.mapTo(HashSet()) { it.peer.zone }

    fun leadingPeer(): String? =
        lines
            .filter {
                nowMs() - it.contactAt < settings.leaseMs / 5
            }.minByOrNull { it.peer.host }
            ?.peer
            ?.host

    /** The time up to which this node has heard of every cancellation from the other controllers themselves: each has
     * listed its cancelled tasks in an answer. Equal fencing tokens show that no shard has changed hands between the answers.
     * While the state service is out for all, this keeps the workers' leases alive as long as the controllers hear each other. */
    fun peersConfirmedAt(): Long {
        val fencingToken = membership.sharedKeys.fencingToken
        if (lines.isEmpty() || !jobManager.settled ||
            lines.any { it.confirmedFencingToken != fencingToken }
        ) {
            return Long.MIN_VALUE / 2
        }
        return lines.minOf { it.peersConfirmedAt }
    }

    /** Services that came to any controller lately. */
    fun recentServices(): List<ResourceRequest> = own.recent + summaries.recentServices

    fun demandOfPeers(): List<ResourceRequest> = summaries.demand

    /** The shared keys have changed. */
    fun sharedChanged() = summaries.sharedChanged()

    /** A report here showed something new: the owners of its tasks are to hear of it. */
    fun tell(m: Machine) {
        for (l in lines) l.untold.add(m.name)
    }

    fun retire(name: String) {
        pendingRetire.add(name)
    }

    fun start() {
        machines.onNew = { summaries.machineFound(it) }
        scope.launch {
            while (true) {
                delay(tellMs)
                summaries.forgetOrphans()
                // Before its shards are loaded a node does not know what it holds, and an empty summary reads as free room.
                if (jobManager.settled) own.refresh()
                for (l in lines) {
                    if (!l.talking && nowMs() >= l.nextAt && hasNewsFor(l)) {
                        l.talking = true
                        scope.launch {
                            try {
                                talk(l)
                            } finally {
                                l.talking = false
                            }
                        }
                    }
                }
            }
        }
        scope.launch { publishLoop() }
    }

    private fun hasNewsFor(l: Line): Boolean {
        val isHeardListDue = nowMs() - l.toldHeardAt > heardEveryMs
        return l.untold.isNotEmpty() || l.toldSummary != own.number || isHeardListDue || pendingRetire.isNotEmpty()
    }

    private fun heardHere(): List<MachineStatus> =
        machines.byName.values
            .filter {
                !it.deleted &&
                    nowMs() - it.heardHereAt < settings.leaseMs / 2
            }.map { machines.note(it, false) }

    private suspend fun talk(l: Line) {
        // Taken out before the message leaves: what changes while it is under way has to be told again.
        val told = l.untold.toList().take(notesAtOnce)
        l.untold.removeAll(told.toSet())
        val heard = if (nowMs() - l.toldHeardAt > heardEveryMs) heardHere() else emptyList()
        val retire = pendingRetire.toList()
        val sentNumber = own.number
        val news =
            PeerDelta(
                told.mapNotNull { machines.of(it) }.map { machines.note(it, true) },
                if (l.toldSummary != sentNumber) own.since(l.toldSummary) else null,
                retire,
                heard,
                membership.viewAgeMs < settings.leaseMs / 5,
                settings.host,
            )
        val at = nowMs()
        val out = http.call(l.peer.addr, "POST", NEWS, ProtoBuf.encodeToByteArray(news), settings.leaseMs / 10)
        if (out is Outcome.Answer && out.status == 200) {
            l.failures = 0
            val answer = ProtoBuf.decodeFromByteArray<PeerDeltaResponse>(out.body)
            l.toldSummary = if (answer.needsWhole) 0 else sentNumber
            jobManager.cancellations.cancelledTasks.take(answer.cancelledTasks)
            l.confirmedFencingToken = answer.fencingToken
            l.peersConfirmedAt = at
            if (heard.isNotEmpty()) l.toldHeardAt = at
            pendingRetire.removeAll(retire.toSet())
        } else {
            l.failures++
            l.untold.addAll(told)
            l.nextAt = nowMs() + minOf(l.failures, 8) * settings.leaseMs / 40
        }
    }

    fun takeNews(body: ByteArray): ByteArray {
        val news = ProtoBuf.decodeFromByteArray<PeerDelta>(body)
        lines.find { it.peer.host == news.host }?.let {
            it.heardAt = nowMs()
            if (news.stateContact) it.contactAt = nowMs()
            // A peer that talks can be talked to again at once.
            if (it.failures > 0) {
                it.failures = 0
                it.nextAt = 0
            }
        }
        var new = news.summary != null
        for (n in news.notes) if (machines.apply(n)) new = true
        for (n in news.heard) {
            machines.heard(n)
            machines.of(n.machine)?.heardBy(news.host, nowMs() - n.ageMs)
        }
        val joined = news.summary?.let { summaries.take(it) } ?: true
        if (news.retire.isNotEmpty()) onRetire(news.retire)
        if (new) onNews()
        val cancelledTasks = jobManager.cancellations.unfinishedTasks()
        val most = maxOf(MIN_CANCELLED_TASKS, machines.byName.size)
        val all = jobManager.settled && cancelledTasks.size <= most
        return ProtoBuf.encodeToByteArray(
            PeerDeltaResponse(!joined, if (all) membership.sharedKeys.fencingToken else 0, cancelledTasks.take(most)),
        )
    }

    /** Summaries and lists of heard machines that came through the state service. */
    fun summariesChanged(keys: Set<String>) {
        for (k in keys) {
            val rooms = k.startsWith(Keys.CAPACITY) && !k.startsWith(Keys.CAPACITY + settings.host + "/")
            val heard = k.startsWith(Keys.HEARTBEATS) && !k.startsWith(Keys.HEARTBEATS + settings.host + "/")
            if (!rooms && !heard) continue
            val bytes =
                membership.summaries
                    .value(k)
                    ?.textOrNull("b")
                    ?.let { Base64.getDecoder().decode(it) } ?: continue
            if (rooms) {
                summaries.takePiece(
                    ProtoBuf.decodeFromByteArray<CapacitySummary>(bytes),
                )
            } else {
                for (n in ProtoBuf.decodeFromByteArray<HeartbeatAcknowledgements>(bytes).notes) machines.heard(n)
            }
        }
    }

    /** Pieces that may be written in half a lease. Peers that are reached hear all of it directly, so the pieces take a small
     * share of the writes that this node has; a larger one while a peer is not reached. */
    private fun mostPieces(): Int {
        val writes = settings.stateWriteRps / settings.controllers * settings.leaseMs / 2000
        val share = if (lines.any { it.failures > 1 }) PIECES_SHARE_UNREACHED else PIECES_SHARE
        return maxOf(1, (writes * share).toInt())
    }

    private val roomPieces = SummaryPieces(state, settings.valueBytes, Keys.CAPACITY + settings.host)
    private val heardPieces = SummaryPieces(state, settings.valueBytes, Keys.HEARTBEATS + settings.host)

    private suspend fun publishLoop() {
        var publishedNumber = 0L
        while (true) {
            delay(settings.leaseMs / 2)
            if (own.number != publishedNumber) {
                publishedNumber = own.number
                roomPieces.write(own.heldMachines, mostPieces(), own::contentOf) { piece, names ->
                    ProtoBuf.encodeToByteArray(own.piece(names, piece, roomPieces.buckets))
                }
            }
            // Only needed while a peer can't be told directly.
            val heard = heardHere().associateBy { it.machine }
            if (lines.any { it.failures > 1 }) heardPieces.forgetWritten()
            heardPieces.write(
                heard.keys,
                mostPieces(),
                { _, p -> p.toSet() },
            ) { _, p ->
                ProtoBuf.encodeToByteArray(
                    HeartbeatAcknowledgements(
                        p.mapNotNull {
                            heard[it]
                        },
                    ),
                )
            }
        }
    }

    /** Makes the tasks of a cancelled job known to the controllers that have not confirmed them yet. Only once they are in
     * the state service: see [micatally.job.Cancellations.mayConfirm]. */
    suspend fun spread(job: Job) {
        if (job.publishedAt == null) return
        val body = ProtoBuf.encodeToByteArray(CancelledTaskList(job.cancelledTasks()))
        coroutineScope {
            for (l in lines) {
                if (l.peer.host !in job.confirmedBy) {
                    launch {
                        val out = http.call(l.peer.addr, "POST", CANCELLED_TASKS, body, settings.leaseMs / 20)
                        if (out is Outcome.Answer && out.status == 200) job.confirmedBy.add(l.peer.host)
                    }
                }
            }
        }
    }

    fun takeCancelledTasks(body: ByteArray): ByteArray {
        jobManager.cancellations.cancelledTasks.take(
            ProtoBuf.decodeFromByteArray<CancelledTaskList>(body).cancelledTasks,
        )
        return ByteArray(0)
    }

    /** Asks the holder of a shard about a job, or hands a cancellation on to it. Null: no usable answer. */
    suspend fun ask(
        host: String,
        what: String,
        jobId: String,
        timeoutMs: Long,
    ): PeerJobResponse? {
        val peer = settings.peers.find { it.host == host } ?: return null
        val out = http.call(peer.addr, "POST", what, ProtoBuf.encodeToByteArray(PeerJobRequest(jobId)), timeoutMs)
        if (out !is Outcome.Answer || out.status != 200) return null
        return ProtoBuf.decodeFromByteArray<PeerJobResponse>(out.body).takeIf { it.known }
    }

    companion object {
        const val NEWS = "/peer/news"
        const val CANCELLED_TASKS = "/peer/kills"
        const val QUERY = "/peer/query"
        const val CANCEL = "/peer/cancel"
        private const val TELLS_A_REPORT = 8

        /** A message brings at least so many machines' reports; more in a large fleet, see [Peers.notesAtOnce]. */
        private const val LEAST_NOTES = 100

        /** An answer lists at least so many cancelled tasks; in a large fleet one for each machine. */
        private const val MIN_CANCELLED_TASKS = 500

        /** Shares of this node's writes that go to summaries. */
        private const val PIECES_SHARE = 0.125
        private const val PIECES_SHARE_UNREACHED = 0.5
    }
}
