package micatally.controller

import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.JobManager
import micatally.job.StopReason
import micatally.worker.CommandDispatcher
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/**
 * Stops the tasks on spot instances that the cloud is about to reclaim, so that they can save a checkpoint in time.
 */
class SpotEvacuation(
    private val machines: MachineRegistry,
    private val jobManager: JobManager,
    private val dispatcher: CommandDispatcher,
    private val heartbeatIntervalMs: Long,
) {
    /** Stops the tasks that still run on machines with a spot notice. */
    fun run(nowMs: Long) {
        for (machine in machines.byName.values) {
            if (machine.hasSpotNotice && !machine.deleted) evacuate(machine, nowMs)
        }
    }

    private fun evacuate(
        machine: Machine,
        nowMs: Long,
    ) {
        var needsSync = false
        for (attempt in machine.attempts.toList()) {
            if (attempt.stop != null || attempt.state < AttemptState.DISPATCHED) continue
            if (attempt.job.gang != null) {
                stopGang(attempt, machine, nowMs)
            } else if (attempt.stop(StopReason.DRAIN, nowMs)) {
                needsSync = true
            }
        }
        if (needsSync) dispatcher.requestSync(machine)
    }

    /** Stops the whole gang of [attempt]. This also requests the syncs of all machines of the gang. */
    private fun stopGang(
        attempt: Attempt,
        machine: Machine,
        nowMs: Long,
    ) {
        jobManager.gangs.stopGracefully(attempt.job, "${machine.name} is taken back") { isReachable(it, nowMs) }
    }

    private fun isReachable(
        machine: Machine,
        nowMs: Long,
    ): Boolean {
        val hasRecentHeartbeat = nowMs - machine.heardAt < heartbeatIntervalMs * UNREACHABLE_HEARTBEAT_INTERVALS
        val acceptsCommands = machine.channel.failuresInRow == 0 && nowMs >= machine.channel.unreachableUntilMs
        return !machine.deleted && acceptsCommands && hasRecentHeartbeat
    }

    private companion object {
        /** A machine counts as unreachable this many heartbeat intervals after its last heartbeat. */
        const val UNREACHABLE_HEARTBEAT_INTERVALS = 2
    }
}
