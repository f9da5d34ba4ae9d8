package micatally.peer

import micatally.membership.Keys
import micatally.membership.Membership
import micatally.settings.Settings
import micatally.wire.CapacitySummary
import micatally.wire.HeldCapacity
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.wire.textOrNull
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/** Whether the controller holds any capacity on the machine. */
internal val HeldCapacity.isHeld get() = cores > 0 || gpus > 0 || memoryGb > 0

/**
 * The capacity summaries of the other controllers: the capacity that they hold on machines, and their pending resource
 * requests. Summaries arrive directly or through the state store.
 *
 * The held capacity is entered in the [MachineRegistry], so that placement counts it as used.
 */
internal class PeerCapacitySummaries(
    private val settings: Settings,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val nowMs: () -> Long,
) {
    /** The summary of one process of a peer, assembled from the messages and partitions received. */
    private class PeerSummary(
        val process: String,
    ) {
        /** The version that was last received directly; 0 if only partitions have been received. */
        var version = 0L
        var demand: List<ResourceRequest> = emptyList()
        var recentServices: List<ResourceRequest> = emptyList()
        val heldByMachine = HashMap<String, HeldCapacity>()
    }

    private val summaries = HashMap<String, PeerSummary>()

    /** When each host that has a summary was found to lead no shard any more, by host. */
    private val orphanedAt = HashMap<String, Long>()

    /** Requests of the services that were recently submitted to the other controllers. */
    val recentServices: List<ResourceRequest> get() = summaries.values.flatMap { it.recentServices }

    /**
     * The pending resource requests of the other controllers.
     *
     * Those of a host that leads no shard any more are left out. The new leaders of its shards report them now, and
     * counting them twice would provision machines for them twice.
     */
    val demand: List<ResourceRequest>
        get() = summaries.filterKeys { it !in orphanedAt }.values.flatMap { it.demand }

    /** To be called when a machine was added to the registry: enters the capacity that peers hold on it. */
    fun machineAdded(machine: Machine) {
        for ((host, summary) in summaries) {
            summary.heldByMachine[machine.name]?.let { enter(host, machine, it) }
        }
    }

    /**
     * Applies a summary that a peer has sent directly.
     *
     * @return false if it contains changes to a version that this controller does not have, so that the peer has to
     *   send the full summary
     */
    fun apply(received: CapacitySummary): Boolean {
        if (received.host == settings.host) return true
        val known = summaries[received.host]?.takeIf { it.process == received.process }
        if (known != null && known.version >= received.version) return true
        val knownVersion = known?.version ?: 0L
        if (received.baseVersion > knownVersion) return false
        val isFull = received.baseVersion == 0L
        val summary =
            if (known != null &&
                received.baseVersion > 0
            ) {
                known
            } else {
                replaceProcess(received.host, received.process)
            }
        summary.version = received.version
        summary.demand = received.demand
        summary.recentServices = received.recentServices
        if (isFull) removeAllExcept(received, summary) { true }
        for (held in received.held) update(received.host, summary, held)
        return true
    }

    /**
     * Whether this controller does not have this version of the summary of the process on [host]. The host sends its
     * summary only when it changes, so a controller that was not there to receive it has to request it. False for a
     * host that leads no shard, because it holds nothing.
     */
    fun isMissed(
        host: String,
        process: String,
        version: Long,
    ): Boolean {
        val known = summaries[host]?.takeIf { it.process == process }
        val knownVersion = known?.version ?: 0L
        return version > knownVersion && leadsShard(host)
    }

    private fun leadsShard(host: String) =
        membership.sharedKeys.shards().any { membership.sharedKeys.leader(it)?.host == host }

    /**
     * Applies a partition that was read from the state store, unless the same or a newer version was received directly.
     * Machines that belong to this partition and are not listed are released. Machines of other partitions are not
     * affected.
     */
    fun applyPartition(received: CapacitySummary) {
        if (received.host == settings.host) return
        // Partitions written by a former process of the host may still be stored.
        val currentProcess = currentProcessOf(received.host)
        if (currentProcess != null && currentProcess != received.process) return
        val summary =
            summaries[received.host]?.takeIf { it.process == received.process }
                ?: replaceProcess(received.host, received.process)
        if (summary.version >= received.version) return
        if (received.partitionIndex == 0) summary.demand = received.demand
        removeAllExcept(received, summary) { machineName ->
            partitionOf(machineName, received.partitionCount) == received.partitionIndex
        }
        for (held in received.held) update(received.host, summary, held)
    }

    /** The host's process according to its live key, or else according to a shard that it leads; null if unknown. */
    private fun currentProcessOf(host: String): String? {
        val liveProcess = membership.sharedKeys.value(Keys.live(host))?.textOrNull("process")
        if (liveProcess != null) return liveProcess
        val leaders = membership.sharedKeys.shards().mapNotNull { membership.sharedKeys.leader(it) }
        return leaders.find { it.host == host }?.process
    }

    /** Releases the machines for which [isCovered] holds and that [received] does not list. */
    private fun removeAllExcept(
        received: CapacitySummary,
        summary: PeerSummary,
        isCovered: (machineName: String) -> Boolean,
    ) {
        val listed = received.held.mapTo(HashSet()) { it.machine }
        val released = summary.heldByMachine.keys.filter { isCovered(it) && it !in listed }
        for (machineName in released) update(received.host, summary, HeldCapacity(machineName))
    }

    private fun update(
        host: String,
        summary: PeerSummary,
        held: HeldCapacity,
    ) {
        if (held.isHeld) summary.heldByMachine[held.machine] = held else summary.heldByMachine.remove(held.machine)
        machines.of(held.machine)?.let { enter(host, it, held) }
    }

    private fun enter(
        host: String,
        machine: Machine,
        held: HeldCapacity,
    ) {
        machine.setHeldByPeer(host, Resources(held.cores, held.gpus, held.memoryGb), nowMs())
        val cacheGb = machines.machineTypes[machine.type]?.cacheGb ?: 0.0
        for ((index, image) in held.images.withIndex()) {
            if (image !in machine.images) machine.sawImage(image, held.imagesGb.getOrElse(index) { 0.0 }, cacheGb)
        }
    }

    /**
     * Creates the summary for a new process of the host. It starts with the capacity that the former process held,
     * because the tasks are still on their machines, and is replaced machine by machine as the new process reports.
     * Otherwise the capacity would appear free for a moment, other controllers would place tasks on it, and the workers
     * would refuse to start them.
     */
    private fun replaceProcess(
        host: String,
        process: String,
    ): PeerSummary {
        val summary = PeerSummary(process)
        summaries[host]?.let { summary.heldByMachine.putAll(it.heldByMachine) }
        summaries[host] = summary
        return summary
    }

    /**
     * To be called when the shared keys have changed: records which hosts lead no shard any more. Their summaries are
     * kept for a while, because the new leaders have to load the shards before they can report the capacity held for
     * them.
     */
    fun sharedKeysChanged() {
        if (summaries.isEmpty()) return
        val leaders = membership.sharedKeys.shards().mapNotNullTo(HashSet()) { membership.sharedKeys.leader(it)?.host }
        for (host in summaries.keys) {
            if (host in leaders) orphanedAt.remove(host) else orphanedAt.putIfAbsent(host, nowMs())
        }
    }

    /** Removes the summaries of hosts that have led no shard for [Settings.handOverMs]. */
    fun removeOrphans() {
        if (orphanedAt.isEmpty()) return
        val expired = orphanedAt.filterValues { nowMs() - it > settings.handOverMs }.keys
        for (host in expired) {
            orphanedAt.remove(host)
            remove(host)
        }
    }

    private fun remove(host: String) {
        val summary = summaries.remove(host) ?: return
        for (name in summary.heldByMachine.keys) machines.of(name)?.setHeldByPeer(host, Resources.NONE, nowMs())
    }
}
