@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package micatally.peer

import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.job.JobManager
import micatally.membership.Membership
import micatally.scheduling.Scheduler
import micatally.settings.Settings
import micatally.wire.CapacitySummary
import micatally.wire.HeldCapacity
import micatally.wire.ResourceRequest
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/**
 * This controller's capacity summary: the capacity that it holds on machines, and its pending resource requests.
 *
 * Each change raises the [version], so that a peer with an earlier version is sent only the changes.
 */
internal class LocalCapacitySummary(
    private val settings: Settings,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val jobManager: JobManager,
    private val scheduler: Scheduler,
) {
    private class Entry(
        val held: HeldCapacity,
        /** The version of the summary in which [held] last changed. */
        val version: Long,
    )

    /** By machine. A machine whose capacity was released keeps an empty entry, so that peers are sent the release. */
    private val entries = HashMap<String, Entry>()
    private var demand: List<ResourceRequest> = emptyList()

    /** Requests of the services that were recently submitted to this controller. */
    var recentServices: List<ResourceRequest> = emptyList()
        private set

    /** The version of this summary; 0 until the first [refresh]. */
    var version = 0L
        private set

    /** Machines on which this controller holds anything. */
    val heldMachines: Set<String> get() = entries.filterValues { it.held.isHeld }.keys

    /**
     * Updates the summary and raises the [version] if anything has changed. To be called only while all shards are
     * loaded, because before that the controller does not know what it holds.
     */
    fun refresh() {
        val nextVersion = version + 1
        var hasChanged = false
        for (machine in machines.byName.values) if (refreshEntry(machine, nextVersion)) hasChanged = true
        if (refreshDemand()) hasChanged = true
        if (refreshRecentServices()) hasChanged = true
        if (hasChanged || version == 0L) version = nextVersion
    }

    /** Returns whether the machine's entry has changed. */
    private fun refreshEntry(
        machine: Machine,
        nextVersion: Long,
    ): Boolean {
        val former = entries[machine.name]?.held
        val isUnused = machine.deleted || machine.attempts.isEmpty() && !machine.hasReservations
        if (isUnused) {
            if (former == null || !former.isHeld) return false
            entries[machine.name] = Entry(HeldCapacity(machine.name), nextVersion)
            return true
        }
        if (former != null && isCurrent(former, machine)) return false
        entries[machine.name] = Entry(heldOn(machine), nextVersion)
        return true
    }

    private fun isCurrent(
        held: HeldCapacity,
        machine: Machine,
    ): Boolean {
        val used = machine.ownUsed
        val areResourcesEqual = held.cores == used.cores && held.gpus == used.gpus && held.memoryGb == used.memoryGb
        return areResourcesEqual &&
            held.images.size == machine.ownImages.size &&
            machine.ownImages.containsAll(held.images)
    }

    private fun heldOn(machine: Machine): HeldCapacity {
        val used = machine.ownUsed
        val images = machine.ownImages.toList()
        val imagesGb = images.map { machine.images[it] ?: 0.0 }
        return HeldCapacity(machine.name, used.cores, used.gpus, used.memoryGb, images, imagesGb)
    }

    private fun refreshDemand(): Boolean {
        val current = scheduler.pendingRequests.values.toList()
        if (current == demand) return false
        demand = current
        return true
    }

    private fun refreshRecentServices(): Boolean {
        val current = jobManager.recentServices()
        if (current == recentServices) return false
        recentServices = current
        return true
    }

    /** The changes since [baseVersion]; the full summary if it is 0. */
    fun changesSince(baseVersion: Long): CapacitySummary {
        val isFull = baseVersion == 0L
        val changed = entries.values.filter { it.version > baseVersion && (!isFull || it.held.isHeld) }
        return CapacitySummary(
            host = settings.host,
            process = membership.process,
            version = version,
            held = changed.map { it.held },
            demand = demand,
            baseVersion = baseVersion,
            recentServices = recentServices,
        )
    }

    /**
     * The contents of a stored partition, to be compared with those last written: unchanged partitions are not written
     * again.
     */
    fun contentOf(
        partitionIndex: Int,
        machineNames: List<String>,
    ): Any = PartitionContent(heldOn(machineNames), if (partitionIndex == 0) demand else null)

    private data class PartitionContent(
        val held: List<HeldCapacity>,
        val demand: List<ResourceRequest>?,
    )

    /** The partition of the stored summary that holds these machines. The first one also holds the demand. */
    fun partition(
        machineNames: List<String>,
        partitionIndex: Int,
        partitionCount: Int,
    ) = CapacitySummary(
        host = settings.host,
        process = membership.process,
        version = version,
        held = heldOn(machineNames),
        demand = if (partitionIndex == 0) demandThatFits() else emptyList(),
        baseVersion = 0,
        partitionIndex = partitionIndex,
        partitionCount = partitionCount,
    )

    private fun heldOn(machineNames: List<String>) = machineNames.mapNotNull { entries[it]?.held }

    /** As many requests, from the first on, as fit in half of a stored value. */
    private fun demandThatFits(): List<ResourceRequest> {
        val maxBytes = settings.valueBytes * BASE64_BYTES / BASE64_CHARACTERS / 2
        var bytes = 0
        return demand.takeWhile {
            bytes += ProtoBuf.encodeToByteArray(it).size + NESTED_MESSAGE_OVERHEAD_BYTES
            bytes <= maxBytes
        }
    }

    private companion object {
        /** The size that is assumed for the tag and the length before a nested message. */
        const val NESTED_MESSAGE_OVERHEAD_BYTES = 4
    }
}
