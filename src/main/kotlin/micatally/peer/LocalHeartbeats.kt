package micatally.peer

import micatally.wire.MachineStatus
import micatally.worker.MachineRegistry

/** The heartbeats that workers have sent to this controller itself. */
internal class LocalHeartbeats(
    private val machines: MachineRegistry,
    private val timings: PeerTimings,
    private val nowMs: () -> Long,
) {
    /** Status, without tasks, of each machine whose heartbeat this controller has answered lately. */
    fun recent(): List<MachineStatus> =
        machines.byName.values
            .filter { !it.deleted && nowMs() - it.heardHereAt < timings.acknowledgedHeartbeatMs }
            .map { machines.acknowledgementOf(it) }
}
