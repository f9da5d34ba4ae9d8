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
import micatally.worker.MachineRegistry

/** What this node holds on machines and what waits here, numbered so that peers are told changes only. */
internal class OwnSummary(
    private val settings: Settings,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val jobManager: JobManager,
    private val scheduler: Scheduler,
) {
    /** This node's room on a machine, and the number of the summary in which it changed last. */
    private class Mine(
        val room: HeldCapacity,
        val number: Long,
    )

    private val mine = HashMap<String, Mine>()
    private var demand: List<ResourceRequest> = emptyList()

    /** Services that came to this node lately. */
    var recent: List<ResourceRequest> = emptyList()
        private set

    /** Of this node's summary; 0 until it first knows what it holds. */
    var number = 0L
        private set

    /** Finds what has changed since the last look. */
    fun refresh() {
        val next = number + 1
        var changed = false
        for (m in machines.byName.values) {
            val old = mine[m.name]?.room
            if (m.deleted || m.attempts.isEmpty() && !m.hasReservations) {
                if (old != null && old.isHeld) {
                    mine[m.name] = Mine(HeldCapacity(m.name), next)
                    changed = true
                }
                continue
            }
            val u = m.ownUsed
            if (old != null && old.cores == u.cores && old.gpus == u.gpus && old.memoryGb == u.memoryGb &&
                old.images.size == m.ownImages.size &&
                m.ownImages.containsAll(old.images)
            ) {
                continue
            }
            val images = m.ownImages.toList()
            mine[m.name] =
                Mine(
                    HeldCapacity(m.name, u.cores, u.gpus, u.memoryGb, images, images.map { m.images[it] ?: 0.0 }),
                    next,
                )
            changed = true
        }
        val demandNow = scheduler.unplaced.values.toList()
        if (demandNow != demand) {
            demand = demandNow
            changed = true
        }
        val recentNow = jobManager.recentServices()
        if (recentNow != recent) {
            recent = recentNow
            changed = true
        }
        if (changed || number == 0L) number = next
    }

    /** What has changed since the summary with the number [base]; all of it for 0. */
    fun since(base: Long) =
        CapacitySummary(
            settings.host,
            membership.process,
            number,
            mine.values
                .filter {
                    it.number > base && (base > 0 || it.room.isHeld)
                }.map { it.room },
            demand,
            base,
            recent = recent,
        )

    /** Machines on which this node holds anything. */
    val heldMachines: Set<String> get() = mine.filterValues { it.room.isHeld }.keys

    /** What a piece of the stored summary says; pieces that say the same as before are not written again. */
    fun contentOf(
        piece: Int,
        names: List<String>,
    ): Any = roomsOn(names) to (if (piece == 0) demand else null)

    /** The first piece brings the demand as well. */
    fun piece(
        names: List<String>,
        piece: Int,
        pieces: Int,
    ) = CapacitySummary(
        settings.host,
        membership.process,
        number,
        roomsOn(names),
        if (piece == 0) demandsInPiece() else emptyList(),
        0,
        piece,
        pieces,
    )

    private fun roomsOn(names: List<String>) = names.mapNotNull { mine[it]?.room }

    /** As many demands as half a value holds. */
    private fun demandsInPiece(): List<ResourceRequest> {
        val most = settings.valueBytes * 3 / 4 / 2
        var bytes = 0
        return demand.takeWhile {
            bytes += ProtoBuf.encodeToByteArray(it).size + PROTO_FIELD_BYTES
            bytes <= most
        }
    }

    private companion object {
        /** Tag and length of a nested message. */
        const val PROTO_FIELD_BYTES = 4
    }
}
