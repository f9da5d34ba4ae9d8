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

/** Whether its owner holds anything on the machine. */
internal val HeldCapacity.isHeld get() = cores > 0 || gpus > 0 || memoryGb > 0

/**
 * What the other controllers hold on machines and which requests wait there, as received directly or through the state
 * store.
 * What is held is entered in the [MachineRegistry], so that placement counts it as used.
 */
internal class PeerCapacitySummaries(
    private val settings: Settings,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val nowMs: () -> Long,
) {
    /** The summary of one process of a peer, put together from what has arrived. */
    private class PeerSummary(
        val process: String,
    ) {
        /** Version that was received directly; 0 while only partitions have come. */
        var version = 0L
        var demand: List<ResourceRequest> = emptyList()
        var recentServices: List<ResourceRequest> = emptyList()
        val heldByMachine = HashMap<String, HeldCapacity>()
    }

    private val summaries = HashMap<String, PeerSummary>()

    /** Hosts with a summary that lead no shard any more, and since when. */
    private val orphanedAt = HashMap<String, Long>()

    /** Services that were submitted to the other controllers lately. */
    val recentServices: List<ResourceRequest> get() = summaries.values.flatMap { it.recentServices }

    /**
     * Requests that wait at the other controllers.
     *
     * Those of a host whose shards another one has taken over are left out: they wait at the new leader now, and counted
     * twice they would be provisioned for twice.
     */
    val demand: List<ResourceRequest>
        get() = summaries.filterKeys { it !in orphanedAt }.values.flatMap { it.demand }

    /** A machine has been added to the registry: enters what peers hold on it. */
    fun machineAdded(machine: Machine) {
        for ((host, summary) in summaries) {
            summary.heldByMachine[machine.name]?.let { enter(host, machine, it) }
        }
    }

    /**
     * Applies a summary that a peer has sent directly.
     *
     * @return false if it holds changes to a version that is not known here: the peer has to send the full summary
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
     * Applies a partition that came through the state store. It counts only where nothing newer came directly. Machines of
     * this partition that it does not list are released; of other partitions it says nothing.
     */
    fun applyPartition(received: CapacitySummary) {
        if (received.host == settings.host) return
        // A former process of the host may have left partitions behind.
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

    /** The process that the host's live key names, or else that of a shard that it leads. */
    private fun currentProcessOf(host: String): String? {
        val liveProcess = membership.sharedKeys.value(Keys.live(host))?.textOrNull("process")
        if (liveProcess != null) return liveProcess
        val leaders = membership.sharedKeys.shards().mapNotNull { membership.sharedKeys.leader(it) }
        return leaders.find { it.host == host }?.process
    }

    /** Releases the machines that [received] covers and does not list. */
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
        machine.others(host, Resources(held.cores, held.gpus, held.memoryGb), nowMs())
        val cacheGb = machines.machineTypes[machine.type]?.cacheGb ?: 0.0
        for ((index, image) in held.images.withIndex()) {
            if (image !in machine.images) machine.sawImage(image, held.imagesGb.getOrElse(index) { 0.0 }, cacheGb)
        }
    }

    /**
     * Starts the summary of a new process with what the host's former process held, until the new one says otherwise machine
     * by machine: the tasks have not left their machines. Without this, capacity looked free for a moment, others placed
     * tasks there, and the workers refused to start them.
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
     * The shared keys have changed: notes which hosts lead no shard any more. Their summaries stay for a while, since who
     * took the shards over has to load them before it can say what it holds.
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
        for (machineName in summary.heldByMachine.keys) machines.of(machineName)?.others(host, Resources.NONE, nowMs())
    }
}
