package micatally.peer

import micatally.wire.MachineStatus
import micatally.worker.MachineRegistry

/** The recent heartbeats that this controller itself has received from workers. */
internal class LocalHeartbeats(
    private val machines: MachineRegistry,
    private val timings: PeerTimings,
    private val nowMs: () -> Long,
) {
    /** The status, without tasks, of each machine of which this controller has recently accepted a heartbeat. */
    fun recent(): List<MachineStatus> =
        machines.byName.values
            .filter { !it.deleted && nowMs() - it.heardHereAt < timings.acknowledgedHeartbeatMs }
            .map { machines.acknowledgementOf(it) }
}
