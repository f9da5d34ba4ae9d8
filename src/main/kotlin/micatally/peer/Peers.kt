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
import micatally.job.Owner
import micatally.ledger.Keys
import micatally.ledger.Membership
import micatally.placement.Rounds
import micatally.settings.Peer
import micatally.settings.Settings
import micatally.state.Put
import micatally.state.StateClient
import micatally.state.Txn
import micatally.state.Urgency
import micatally.wire.Amount
import micatally.wire.Demand
import micatally.wire.HeardList
import micatally.wire.HeldRoom
import micatally.wire.MachineNote
import micatally.wire.NewsAnswer
import micatally.wire.PeerAnswer
import micatally.wire.PeerAsk
import micatally.wire.PeerNews
import micatally.wire.RoomSummary
import micatally.wire.WithdrawnTaskList
import micatally.wire.textOrNull
import micatally.worker.Machine
import micatally.worker.Machines
import java.util.Base64

/** What controllers tell each other: reports handed on to the owners of their tasks, free-room summaries, questions
 * about jobs. Summaries also go through the state service, for nodes that can't hear each other. */
class Peers(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val settings: Settings,
    private val state: StateClient,
    private val membership: Membership,
    private val machines: Machines,
    private val owner: Owner,
    private val rounds: Rounds,
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

        /** When the question left whose answer told all that the peer has withdrawn, and the epoch of that answer. */
        var peersConfirmedAt = Long.MIN_VALUE / 2
        var peersConfirmedEpoch = 0L
    }

    /** A peer's summary, put together from what came. */
    private class Theirs(
        val process: String,
    ) {
        var number = 0L
        var demand: List<Demand> = emptyList()
        var recent: List<Demand> = emptyList()
        val rooms = HashMap<String, HeldRoom>()
    }

    /** This node's room on a machine, and the number of the summary in which it changed last. */
    private class Mine(
        val room: HeldRoom,
        val number: Long,
    )

    private val lines = settings.peers.map { Line(it) }
    private val theirs = HashMap<String, Theirs>()
    private val mine = HashMap<String, Mine>()
    private var myDemand: List<Demand> = emptyList()
    private var myRecent: List<Demand> = emptyList()

    /** Of this node's summary; 0 until it first knows what it holds. */
    private var number = 0L
    private val tellMs = settings.reportMs / 8
    private val heardEveryMs = maxOf(settings.reportMs / 2, settings.leaseMs / 10)
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

    fun entitledPeer(): String? =
        lines
            .filter {
                nowMs() - it.contactAt < settings.leaseMs / 5
            }.minByOrNull { it.peer.host }
            ?.peer
            ?.host

    /** The time up to which this node has heard of every cancellation from the other controllers themselves: each has
     * listed its withdrawn tasks in an answer. Equal epochs show that no ledger has changed hands between the answers.
     * While the state service is out for all, this keeps the workers' leases alive as long as the controllers hear each other. */
    fun peersConfirmedAt(): Long {
        val epoch = membership.cluster.epoch
        if (lines.isEmpty() || !owner.settled ||
            lines.any { it.peersConfirmedEpoch != epoch }
        ) {
            return Long.MIN_VALUE / 2
        }
        return lines.minOf { it.peersConfirmedAt }
    }

    /** Services that came to any controller lately. */
    fun recentServices(): List<Demand> = myRecent + theirs.values.flatMap { it.recent }

    /** What waits at a node whose ledgers another one has taken waits there now: counted twice it would be rented for twice. */
    fun demandOfPeers(): List<Demand> = theirs.filterKeys { it !in orphanedAt }.values.flatMap { it.demand }

    /** A report here showed something new: the owners of its tasks are to hear of it. */
    fun tell(m: Machine) {
        for (l in lines) l.untold.add(m.name)
    }

    fun retire(name: String) {
        pendingRetire.add(name)
    }

    fun start() {
        machines.onNew = { m -> for ((host, t) in theirs) t.rooms[m.name]?.let { hold(host, m, it) } }
        scope.launch {
            while (true) {
                delay(tellMs)
                forgetOrphans()
                // Before its ledgers are loaded a node does not know what it holds, and an empty summary reads as free room.
                if (owner.settled) refreshSummary()
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
        return l.untold.isNotEmpty() || l.toldSummary != number || isHeardListDue || pendingRetire.isNotEmpty()
    }

    /** Finds what has changed since the last look. */
    private fun refreshSummary() {
        val next = number + 1
        var changed = false
        for (m in machines.byName.values) {
            val old = mine[m.name]?.room
            if (m.deleted || m.attempts.isEmpty() && !m.isPromised) {
                if (old != null && old.isHeld) {
                    mine[m.name] = Mine(HeldRoom(m.name), next)
                    changed = true
                }
                continue
            }
            val u = m.ownUsed
            if (old != null && old.cores == u.cores && old.cards == u.cards && old.ram == u.ram &&
                old.images.size == m.ownImages.size &&
                m.ownImages.containsAll(old.images)
            ) {
                continue
            }
            val images = m.ownImages.toList()
            mine[m.name] =
                Mine(HeldRoom(m.name, u.cores, u.cards, u.ram, images, images.map { m.images[it] ?: 0.0 }), next)
            changed = true
        }
        val demand = rounds.unplaced.values.toList()
        if (demand != myDemand) {
            myDemand = demand
            changed = true
        }
        val recent = owner.recentServices()
        if (recent != myRecent) {
            myRecent = recent
            changed = true
        }
        if (changed || number == 0L) number = next
    }

    private val HeldRoom.isHeld get() = cores > 0 || cards > 0 || ram > 0

    private fun summarySince(base: Long) =
        RoomSummary(
            settings.host,
            membership.process,
            number,
            mine.values
                .filter {
                    it.number > base && (base > 0 || it.room.isHeld)
                }.map { it.room },
            myDemand,
            base,
            recent = myRecent,
        )

    private fun heardHere(): List<MachineNote> =
        machines.byName.values
            .filter {
                !it.deleted &&
                    nowMs() - it.heardHereAt < settings.leaseMs / 2
            }.map { machines.note(it, false) }

    private suspend fun talk(l: Line) {
        // Taken out before the message leaves: what changes while it is under way has to be told again.
        val told = l.untold.toList().take(NOTES)
        l.untold.removeAll(told.toSet())
        val heard = if (nowMs() - l.toldHeardAt > heardEveryMs) heardHere() else emptyList()
        val retire = pendingRetire.toList()
        val sentNumber = number
        val news =
            PeerNews(
                told.mapNotNull { machines.of(it) }.map { machines.note(it, true) },
                if (l.toldSummary !=
                    sentNumber
                ) {
                    summarySince(l.toldSummary)
                } else {
                    null
                },
                retire,
                heard,
                membership.viewAgeMs < settings.leaseMs / 5,
                settings.host,
            )
        val at = nowMs()
        val out = http.call(l.peer.addr, "POST", NEWS, ProtoBuf.encodeToByteArray(news), settings.leaseMs / 10)
        if (out is Outcome.Answer && out.status == 200) {
            l.failures = 0
            val answer = ProtoBuf.decodeFromByteArray<NewsAnswer>(out.body)
            l.toldSummary = if (answer.needsWhole) 0 else sentNumber
            owner.withdrawals.stopList.take(answer.kills)
            l.peersConfirmedEpoch = answer.epoch
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
        val news = ProtoBuf.decodeFromByteArray<PeerNews>(body)
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
        for (n in news.notes) if (machines.absorb(n)) new = true
        for (n in news.heard) {
            machines.heard(n)
            machines.of(n.machine)?.heardBy(news.host, nowMs() - n.ageMs)
        }
        val joined = news.summary?.let { take(it) } ?: true
        if (news.retire.isNotEmpty()) onRetire(news.retire)
        if (new) onNews()
        val kills = owner.withdrawals.unfinishedTasks()
        val all = owner.settled && kills.size <= MOST_KILLS
        return ProtoBuf.encodeToByteArray(
            NewsAnswer(!joined, if (all) membership.cluster.epoch else 0, kills.take(MOST_KILLS)),
        )
    }

    /** Takes a peer's summary; false if its changes don't join on to what is here. */
    private fun take(s: RoomSummary): Boolean {
        if (s.host == settings.host) return true
        val old = theirs[s.host]?.takeIf { it.process == s.process }
        if (old != null && old.number >= s.number) return true
        if (s.base > (old?.number ?: 0L)) return false
        val t = if (old != null && s.base > 0) old else succeed(s.host, s.process)
        t.number = s.number
        t.demand = s.demand
        t.recent = s.recent
        if (s.base == 0L) {
            val there = s.rooms.mapTo(HashSet()) { it.machine }
            for (name in t.rooms.keys.filter { it !in there }) put(s.host, t, HeldRoom(name))
        }
        for (r in s.rooms) put(s.host, t, r)
        return true
    }

    /** A piece that came through the state service: it counts where nothing newer came directly. What it lacks of its
     * own bucket is given up; of other buckets it says nothing. */
    private fun takePiece(s: RoomSummary) {
        if (s.host == settings.host) return
        // A former process of that host may have left pieces behind.
        val current =
            membership.cluster.value(Keys.live(s.host))?.textOrNull("process")
                ?: membership.cluster
                    .ledgers()
                    .mapNotNull {
                        membership.cluster.holder(
                            it,
                        )
                    }.find { it.host == s.host }
                    ?.process
        if (current != null && current != s.process) return
        val t = theirs[s.host]?.takeIf { it.process == s.process } ?: succeed(s.host, s.process)
        if (t.number >= s.number) return
        if (s.bucket == 0) t.demand = s.demand
        val there = s.rooms.mapTo(HashSet()) { it.machine }
        for (name in t.rooms.keys.filter {
            bucketOf(
                it,
                s.buckets,
            ) == s.bucket && it !in there
        }) {
            put(s.host, t, HeldRoom(name))
        }
        for (r in s.rooms) put(s.host, t, r)
    }

    private fun put(
        host: String,
        t: Theirs,
        r: HeldRoom,
    ) {
        if (r.isHeld) t.rooms[r.machine] = r else t.rooms.remove(r.machine)
        machines.of(r.machine)?.let { hold(host, it, r) }
    }

    private fun hold(
        host: String,
        m: Machine,
        r: HeldRoom,
    ) {
        m.others(host, Amount(r.cores, r.cards, r.ram), nowMs())
        val cacheGb = machines.flavors[m.type]?.cacheGb ?: 0.0
        for ((i, image) in r.images.withIndex()) {
            if (image !in
                m.images
            ) {
                m.sawImage(image, r.imagesGb.getOrElse(i) { 0.0 }, cacheGb)
            }
        }
    }

    /** A new process of a host holds what the one before held until it says otherwise, room by room: its tasks have
     * not left their machines, and what looked free for a moment was filled by others, whose starts were then refused. */
    private fun succeed(
        host: String,
        process: String,
    ): Theirs =
        Theirs(process).also { t ->
            theirs[host]?.let { t.rooms.putAll(it.rooms) }
            theirs[host] = t
        }

    private fun forget(host: String) {
        val t = theirs.remove(host) ?: return
        for (name in t.rooms.keys) machines.of(name)?.others(host, Amount.NONE, nowMs())
    }

    /** Summaries and lists of heard machines that came through the state service. */
    fun summariesChanged(keys: Set<String>) {
        for (k in keys) {
            val rooms = k.startsWith(Keys.ROOM) && !k.startsWith(Keys.ROOM + settings.host + "/")
            val heard = k.startsWith(Keys.HEARD) && !k.startsWith(Keys.HEARD + settings.host + "/")
            if (!rooms && !heard) continue
            val bytes =
                membership.summaries
                    .value(k)
                    ?.textOrNull("b")
                    ?.let { Base64.getDecoder().decode(it) } ?: continue
            if (rooms) {
                takePiece(
                    ProtoBuf.decodeFromByteArray<RoomSummary>(bytes),
                )
            } else {
                for (n in ProtoBuf.decodeFromByteArray<HeardList>(bytes).notes) machines.heard(n)
            }
        }
    }

    /** The shared keys have changed: summaries that have no one behind them any more go, a while later. Who took their
     * ledgers over has to load them before it can say what it holds. */
    fun sharedChanged() {
        if (theirs.isEmpty()) return
        val holders = membership.cluster.ledgers().mapNotNullTo(HashSet()) { membership.cluster.holder(it)?.host }
        for (host in theirs.keys) {
            if (host in
                holders
            ) {
                orphanedAt.remove(host)
            } else {
                orphanedAt.putIfAbsent(host, nowMs())
            }
        }
    }

    private val orphanedAt = HashMap<String, Long>()

    private fun forgetOrphans() {
        if (orphanedAt.isEmpty()) return
        for ((host, at) in orphanedAt.entries.map { it.key to it.value }) {
            if (nowMs() - at >
                settings.handOverMs
            ) {
                orphanedAt.remove(host)
                forget(host)
            }
        }
    }

    private fun bucketOf(
        machine: String,
        buckets: Int,
    ) = Math.floorMod(machine.hashCode(), buckets)

    /** Values of the state service have a limit, so lists go in pieces by machine, as many as it takes for each to fit
     * ([encode] gets the names of a piece); only pieces that have changed are written. */
    private inner class Pieces(
        val key: String,
    ) {
        var buckets = 1
        private var nextPiece = 0
        val written = HashMap<Int, Any>()

        suspend fun write(
            names: Collection<String>,
            seen: (Int, List<String>) -> Any,
            encode: (Int, List<String>) -> ByteArray,
        ) {
            var parts: List<List<String>>
            var left = mostPieces()
            while (true) {
                parts = List(buckets) { i -> names.filter { bucketOf(it, buckets) == i } }
                if (parts.withIndex().all { (i, p) ->
                        p.size < 2 ||
                            encode(i, p).size * 4 / 3 + 64 <= settings.valueBytes
                    }
                ) {
                    break
                }
                buckets *= 2
                written.clear()
            }
            // Goes round, so that each piece has its turn when only some may be written.
            val order = parts.indices.sortedBy { Math.floorMod(it - nextPiece, parts.size) }
            for (i in order) {
                val p = parts[i]
                val now = seen(i, p)
                if (written[i] == now) continue
                if (left-- <= 0) return
                val r = state.txn(1, Urgency.SUMMARY) { Txn(emptyList(), listOf(Put("$key/$i", packed(encode(i, p))))) }
                if (r is micatally.state.TxnResult.Applied) written[i] = now
                nextPiece = i + 1
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

    /** As many demands as half a value holds. */
    private fun demandsInPiece(): List<Demand> {
        val most = settings.valueBytes * 3 / 4 / 2
        var bytes = 0
        return myDemand.takeWhile {
            bytes += ProtoBuf.encodeToByteArray(it).size + PROTO_FIELD_BYTES
            bytes <= most
        }
    }

    private val roomPieces = Pieces(Keys.ROOM + settings.host)
    private val heardPieces = Pieces(Keys.HEARD + settings.host)

    private suspend fun publishLoop() {
        var publishedNumber = 0L
        while (true) {
            delay(settings.leaseMs / 2)
            if (number != publishedNumber) {
                publishedNumber = number
                val held = mine.filterValues { it.room.isHeld }
                roomPieces.write(held.keys, { i, p ->
                    p.mapNotNull { mine[it]?.room } to
                        if (i ==
                            0
                        ) {
                            myDemand
                        } else {
                            null
                        }
                }) { i, p ->
                    ProtoBuf.encodeToByteArray(
                        RoomSummary(
                            settings.host,
                            membership.process,
                            number,
                            p.mapNotNull { mine[it]?.room },
                            if (i ==
                                0
                            ) {
                                demandsInPiece()
                            } else {
                                emptyList()
                            },
                            0,
                            i,
                            roomPieces.buckets,
                        ),
                    )
                }
            }
            // Only needed while a peer can't be told directly.
            val heard = heardHere().associateBy { it.machine }
            if (lines.any { it.failures > 1 }) heardPieces.written.clear()
            heardPieces.write(
                heard.keys,
                { _, p -> p.toSet() },
            ) { _, p ->
                ProtoBuf.encodeToByteArray(
                    HeardList(
                        p.mapNotNull {
                            heard[it]
                        },
                    ),
                )
            }
        }
    }

    private fun packed(bytes: ByteArray) = buildJsonObject { put("b", Base64.getEncoder().encodeToString(bytes)) }

    /** Makes the tasks of a withdrawn job known to the controllers that have not confirmed them yet. Only once they are in
     * the state service: see [micatally.job.Withdrawals.mayConfirm]. */
    suspend fun spread(job: Job) {
        if (job.publishedAt == null) return
        val body = ProtoBuf.encodeToByteArray(WithdrawnTaskList(owner.withdrawals.tasksOf(job)))
        coroutineScope {
            for (l in lines) {
                if (l.peer.host !in job.confirmedBy) {
                    launch {
                        val out = http.call(l.peer.addr, "POST", KILLS, body, settings.leaseMs / 20)
                        if (out is Outcome.Answer && out.status == 200) job.confirmedBy.add(l.peer.host)
                    }
                }
            }
        }
    }

    fun takeKills(body: ByteArray): ByteArray {
        owner.withdrawals.stopList.take(ProtoBuf.decodeFromByteArray<WithdrawnTaskList>(body).kills)
        return ByteArray(0)
    }

    /** Asks the holder of a ledger about a job, or hands a cancellation on to it. Null: no usable answer. */
    suspend fun ask(
        host: String,
        what: String,
        ref: String,
        timeoutMs: Long,
    ): PeerAnswer? {
        val peer = settings.peers.find { it.host == host } ?: return null
        val out = http.call(peer.addr, "POST", what, ProtoBuf.encodeToByteArray(PeerAsk(ref)), timeoutMs)
        if (out !is Outcome.Answer || out.status != 200) return null
        return ProtoBuf.decodeFromByteArray<PeerAnswer>(out.body).takeIf { it.known }
    }

    companion object {
        const val NEWS = "/peer/news"
        const val KILLS = "/peer/kills"
        const val QUERY = "/peer/query"
        const val CANCEL = "/peer/cancel"
        private const val NOTES = 100
        private const val MOST_KILLS = 500

        /** Shares of this node's writes that go to summaries. */
        private const val PIECES_SHARE = 0.125
        private const val PIECES_SHARE_UNREACHED = 0.5

        /** Tag and length of a nested message. */
        private const val PROTO_FIELD_BYTES = 4
    }
}
