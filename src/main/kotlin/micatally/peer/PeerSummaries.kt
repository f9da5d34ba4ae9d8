package micatally.peer

import micatally.membership.Keys
import micatally.membership.Membership
import micatally.settings.Settings
import micatally.wire.CapacitySummary
import micatally.wire.HeldCapacity
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/** Whether an owner holds anything on the machine. */
internal val HeldCapacity.isHeld get() = cores > 0 || gpus > 0 || memoryGb > 0

/** What the other controllers hold on machines and what waits there, as they tell directly or through the state service. */
internal class PeerSummaries(
    private val settings: Settings,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val nowMs: () -> Long,
) {
    /** A peer's summary, put together from what came. */
    private class Theirs(
        val process: String,
    ) {
        var number = 0L
        var demand: List<ResourceRequest> = emptyList()
        var recent: List<ResourceRequest> = emptyList()
        val rooms = HashMap<String, HeldCapacity>()
    }

    private val theirs = HashMap<String, Theirs>()

    /** Services that came to the other controllers lately. */
    val recentServices: List<ResourceRequest> get() = theirs.values.flatMap { it.recent }

    /** What waits at a node whose shards another one has taken waits there now: counted twice it would be rented for twice. */
    val demand: List<ResourceRequest> get() = theirs.filterKeys { it !in orphanedAt }.values.flatMap { it.demand }

    /** A machine has become known: what peers hold on it counts. */
    fun machineFound(machine: Machine) {
        for ((host, t) in theirs) t.rooms[machine.name]?.let { hold(host, machine, it) }
    }

    /** Takes a peer's summary; false if its changes don't join on to what is here. */
    fun take(s: CapacitySummary): Boolean {
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
            for (name in t.rooms.keys.filter { it !in there }) put(s.host, t, HeldCapacity(name))
        }
        for (r in s.rooms) put(s.host, t, r)
        return true
    }

    /** A piece that came through the state service: it counts where nothing newer came directly. What it lacks of its
     * own bucket is given up; of other buckets it says nothing. */
    fun takePiece(s: CapacitySummary) {
        if (s.host == settings.host) return
        // A former process of that host may have left pieces behind.
        val current =
            membership.sharedKeys.liveProcess(s.host)
                ?: membership.sharedKeys
                    .shards()
                    .mapNotNull {
                        membership.sharedKeys.leader(
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
            put(s.host, t, HeldCapacity(name))
        }
        for (r in s.rooms) put(s.host, t, r)
    }

    private fun put(
        host: String,
        t: Theirs,
        r: HeldCapacity,
    ) {
        if (r.isHeld) t.rooms[r.machine] = r else t.rooms.remove(r.machine)
        machines.of(r.machine)?.let { hold(host, it, r) }
    }

    private fun hold(
        host: String,
        m: Machine,
        r: HeldCapacity,
    ) {
        m.others(host, Resources(r.cores, r.gpus, r.memoryGb), nowMs())
        val cacheGb = machines.machineTypes[m.type]?.cacheGb ?: 0.0
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
        for (name in t.rooms.keys) machines.of(name)?.others(host, Resources.NONE, nowMs())
    }

    /** The shared keys have changed: summaries that have no one behind them any more go, a while later. Who took their
     * shards over has to load them before it can say what it holds. */
    fun sharedChanged() {
        if (theirs.isEmpty()) return
        val holders = membership.sharedKeys.shards().mapNotNullTo(HashSet()) { membership.sharedKeys.leader(it)?.host }
        for (host in theirs.keys) {
            if (host in holders) {
                orphanedAt.remove(host)
            } else {
                orphanedAt.putIfAbsent(host, nowMs())
            }
        }
    }

    private val orphanedAt = HashMap<String, Long>()

    /** Forgets summaries that nobody stands behind any more, once whoever took their shards over has told. */
    fun forgetOrphans() {
        if (orphanedAt.isEmpty()) return
        for ((host, at) in orphanedAt.entries.map { it.key to it.value }) {
            if (nowMs() - at <= settings.handOverMs) continue
            orphanedAt.remove(host)
            forget(host)
        }
    }
}
