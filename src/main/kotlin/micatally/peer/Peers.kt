@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package micatally.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.http.HttpCaller
import micatally.http.Outcome
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
import micatally.wire.PeerAnswer
import micatally.wire.PeerAsk
import micatally.wire.PeerNews
import micatally.wire.RoomSummary
import micatally.wire.textOrNull
import micatally.worker.Machine
import micatally.worker.Machines
import java.util.Base64

/** What controllers tell each other: reports handed on to the owners of their tasks, free-room summaries, questions
 * about jobs. Summaries also go through the state service, for nodes that can't hear each other. */
class Peers(
    private val scope: CoroutineScope, private val http: HttpCaller, private val settings: Settings, private val state: StateClient,
    private val membership: Membership, private val machines: Machines, private val owner: Owner, private val rounds: Rounds, private val nowMs: () -> Long,
) {
    private class Line(val peer: Peer) {
        val untold = LinkedHashSet<String>()
        var toldSummary = -1L
        var toldHeardAt = 0L
        var talking = false
        var failures = 0
        var nextAt = 0L
        var contactAt = Long.MIN_VALUE / 2
    }

    private val lines = settings.peers.map { Line(it) }
    private val summaries = HashMap<String, RoomSummary>()
    private var number = 0L
    private var lastSummary: Pair<List<HeldRoom>, List<Demand>>? = null
    private var lastSummaryBytes: ByteArray? = null
    private var mySummary = RoomSummary(settings.host, membership.process, 0)
    private val tellMs = settings.reportMs / 8
    private val heardEveryMs = maxOf(settings.reportMs / 2, settings.leaseMs / 10)
    var onRetire: (List<String>) -> Unit = {}
    var onNews: () -> Unit = {}
    private var pendingRetire = LinkedHashSet<String>()

    /** A peer has said just now that it reaches the state service. */
    fun somePeerHasState(): Boolean = lines.any { nowMs() - it.contactAt < settings.leaseMs / 5 }
    /** A peer in that zone which is in contact with us and with the state service. */
    fun peerIn(zone: String): String? = lines.filter { it.peer.zone == zone && it.failures == 0 && nowMs() - it.contactAt < settings.leaseMs / 5 }.minByOrNull { it.peer.host }?.peer?.host
    /** False while some peer can't be heard: then what it hears may not be known here. */
    fun allInContact(): Boolean = lines.all { nowMs() - it.contactAt < settings.leaseMs * 3 / 10 }
    fun entitledPeer(): String? = lines.filter { nowMs() - it.contactAt < settings.leaseMs / 5 }.minByOrNull { it.peer.host }?.peer?.host

    fun demandOfPeers(): List<Demand> = summaries.values.flatMap { it.demand }

    /** A report here showed something new: the owners of its tasks are to hear of it. */
    fun tell(m: Machine) { for (l in lines) l.untold.add(m.name) }

    fun retire(name: String) { pendingRetire.add(name) }

    fun start() {
        scope.launch {
            while (true) {
                delay(tellMs)
                refreshSummary()
                for (l in lines) if (!l.talking && nowMs() >= l.nextAt && (l.untold.isNotEmpty() || l.toldSummary != number || nowMs() - l.toldHeardAt > heardEveryMs || pendingRetire.isNotEmpty())) {
                    l.talking = true
                    scope.launch { try { talk(l) } finally { l.talking = false } }
                }
            }
        }
        scope.launch { publishLoop() }
    }

    private fun refreshSummary() {
        val rooms = ArrayList<HeldRoom>()
        for (m in machines.byName.values) {
            if (m.deleted || m.attempts.isEmpty()) continue
            rooms.add(HeldRoom(m.name, m.ownUsed.cores, m.ownUsed.cards, m.ownUsed.ram, m.images.keys.toList()))
        }
        val s = RoomSummary(settings.host, membership.process, 0, rooms, rounds.unplaced.values.toList())
        val bytes = ProtoBuf.encodeToByteArray(s)
        if (lastSummaryBytes?.contentEquals(bytes) == true) return
        lastSummaryBytes = bytes
        mySummary = RoomSummary(settings.host, membership.process, ++number, rooms, s.demand)
    }

    private fun heardHere(): List<MachineNote> = machines.byName.values.filter { !it.deleted && nowMs() - it.heardHereAt < settings.leaseMs / 2 }.map { machines.note(it, false) }

    private suspend fun talk(l: Line) {
        val told = l.untold.toList().take(NOTES)
        val heard = if (nowMs() - l.toldHeardAt > heardEveryMs) heardHere() else emptyList()
        val retire = pendingRetire.toList()
        val sentNumber = number
        val news = PeerNews(
            told.mapNotNull { machines.of(it) }.map { machines.note(it, true) }, if (l.toldSummary != sentNumber) mySummary else null, retire, heard,
            membership.viewAgeMs < settings.leaseMs / 5, settings.host,
        )
        val at = nowMs()
        val out = http.call(l.peer.addr, "POST", NEWS, ProtoBuf.encodeToByteArray(news), settings.leaseMs / 10)
        if (out is Outcome.Answer && out.status == 200) {
            l.failures = 0
            l.untold.removeAll(told.toSet())
            l.toldSummary = sentNumber
            if (heard.isNotEmpty()) l.toldHeardAt = at
            pendingRetire.removeAll(retire.toSet())
        } else {
            l.failures++
            l.toldSummary = -1
            l.nextAt = nowMs() + minOf(l.failures, 8) * settings.leaseMs / 40
        }
    }

    fun takeNews(body: ByteArray): ByteArray {
        val news = ProtoBuf.decodeFromByteArray<PeerNews>(body)
        lines.find { it.peer.host == news.host }?.let {
            if (news.stateContact) it.contactAt = nowMs()
            // A peer that talks can be talked to again at once.
            if (it.failures > 0) { it.failures = 0; it.nextAt = 0 }
        }
        for (n in news.notes) machines.absorb(n)
        for (n in news.heard) machines.heard(n)
        news.summary?.let { take(it) }
        if (news.retire.isNotEmpty()) onRetire(news.retire)
        onNews()
        return NOTHING
    }

    private fun take(s: RoomSummary) {
        if (s.host == settings.host) return
        val old = summaries[s.host]
        if (old != null && old.process == s.process && old.number >= s.number) return
        summaries[s.host] = s
        for (m in machines.byName.values) m.othersUsed.remove(s.host)
        for (r in s.rooms) {
            val m = machines.of(r.machine) ?: continue
            m.othersUsed[s.host] = Amount(r.cores, r.cards, r.ram)
            val f = machines.flavors[m.type]
            for (i in r.images) if (i !in m.images) m.sawImage(i, 0.0, f?.cacheGb ?: 0.0)
        }
    }

    /** The shared keys have changed: summaries and lists of heard machines that came through the state service, and
     * summaries that have no one behind them any more. */
    fun sharedChanged(keys: Set<String>) {
        for (k in keys) {
            val v = membership.cluster.value(k) ?: continue
            val bytes = v.textOrNull("b")?.let { Base64.getDecoder().decode(it) } ?: continue
            if (k.startsWith(Keys.ROOM) && k != Keys.ROOM + settings.host) take(ProtoBuf.decodeFromByteArray<RoomSummary>(bytes))
            if (k.startsWith(Keys.HEARD) && k != Keys.HEARD + settings.host) for (n in ProtoBuf.decodeFromByteArray<HeardList>(bytes).notes) machines.heard(n)
        }
        for (host in summaries.keys.toList()) {
            val holdsAny = membership.cluster.ledgers().any { membership.cluster.holder(it)?.host == host }
            if (holdsAny) continue
            summaries.remove(host)
            for (m in machines.byName.values) m.othersUsed.remove(host)
        }
    }

    private suspend fun publishLoop() {
        var publishedNumber = -1L
        var publishedHeard = emptySet<String>()
        while (true) {
            delay(settings.leaseMs / 2)
            if (number != publishedNumber) {
                val n = number
                val r = state.txn(1, Urgency.SUMMARY) { Txn(emptyList(), listOf(Put(Keys.ROOM + settings.host, packed(ProtoBuf.encodeToByteArray(mySummary))))) }
                if (r is micatally.state.TxnResult.Applied) publishedNumber = n
            }
            // Only needed while a peer can't be told directly.
            val heard = heardHere()
            if (lines.any { it.failures > 1 } || heard.map { it.machine }.toSet() != publishedHeard) {
                var list = heard
                var bytes = ProtoBuf.encodeToByteArray(HeardList(list))
                while (bytes.size * 4 / 3 + 64 > settings.valueBytes && list.isNotEmpty()) { list = list.dropLast(list.size / 4 + 1); bytes = ProtoBuf.encodeToByteArray(HeardList(list)) }
                val r = state.txn(1, Urgency.SUMMARY) { Txn(emptyList(), listOf(Put(Keys.HEARD + settings.host, packed(bytes)))) }
                if (r is micatally.state.TxnResult.Applied) publishedHeard = heard.map { it.machine }.toSet()
            }
        }
    }

    private fun packed(bytes: ByteArray) = buildJsonObject { put("b", Base64.getEncoder().encodeToString(bytes)) }

    /** Asks the holder of a ledger about a job, or hands a cancellation on to it. Null: no usable answer. */
    suspend fun ask(host: String, what: String, ref: String, timeoutMs: Long): PeerAnswer? {
        val peer = settings.peers.find { it.host == host } ?: return null
        val out = http.call(peer.addr, "POST", what, ProtoBuf.encodeToByteArray(PeerAsk(ref)), timeoutMs)
        if (out !is Outcome.Answer || out.status != 200) return null
        return ProtoBuf.decodeFromByteArray<PeerAnswer>(out.body).takeIf { it.known }
    }

    companion object {
        const val NEWS = "/peer/news"
        const val QUERY = "/peer/query"
        const val CANCEL = "/peer/cancel"
        private const val NOTES = 100
        private val NOTHING = ByteArray(0)
    }
}
