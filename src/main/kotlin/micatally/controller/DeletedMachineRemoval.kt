package micatally.controller

import micatally.worker.MachineRegistry

/**
 * Removes machines that were deleted long ago and have no attempts left, so that the registry does not grow forever.
 */
class DeletedMachineRemoval(
    private val machines: MachineRegistry,
    leaseMs: Long,
) {
    private val retentionMs = leaseMs * RETENTION_LEASES

    /** Removes each deleted machine that has no attempts left and whose last heartbeat is long past. */
    fun run(nowMs: Long) {
        machines.forgetDeleted { machine -> machine.attempts.isEmpty() && nowMs - machine.heardAt > retentionMs }
    }

    private companion object {
        /** How long a deleted machine is kept after its last heartbeat, in multiples of a worker's lease. */
        const val RETENTION_LEASES = 6
    }
}
