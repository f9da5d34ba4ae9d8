package micatally.controller

import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.JobManager
import micatally.job.StopReason
import micatally.worker.CommandDispatcher
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/**
 * Stops the tasks on spot instances that the cloud is about to take back, so that they can save a checkpoint in time.
 */
class SpotEvacuation(
    private val machines: MachineRegistry,
    private val jobManager: JobManager,
    private val dispatcher: CommandDispatcher,
    private val heartbeatIntervalMs: Long,
) {
    /** Stops what still runs on machines with a spot notice. */
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

    /** A gang stops as a whole, and sends its machines the commands for it by itself. */
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
        val sentHeartbeat = nowMs - machine.heardAt < heartbeatIntervalMs * MISSED_HEARTBEATS
        val acceptsCommands = machine.channel.failuresInRow == 0 && nowMs >= machine.channel.unreachableUntilMs
        return !machine.deleted && acceptsCommands && sentHeartbeat
    }

    private companion object {
        /** So many intervals after its last heartbeat a machine does not count as reachable. */
        const val MISSED_HEARTBEATS = 2
    }
}
