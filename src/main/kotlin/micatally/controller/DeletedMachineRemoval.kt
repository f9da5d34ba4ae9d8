package micatally.controller

import micatally.worker.MachineRegistry

/** Forgets machines that were deleted long ago and hold no attempt any more, so that the registry does not grow. */
class DeletedMachineRemoval(
    private val machines: MachineRegistry,
    leaseMs: Long,
) {
    private val keptMs = leaseMs * KEPT_LEASES

    /** Removes each deleted machine whose last heartbeat is long past. */
    fun run(nowMs: Long) {
        machines.forgetDeleted { machine -> machine.attempts.isEmpty() && nowMs - machine.heardAt > keptMs }
    }

    private companion object {
        /** A deleted machine is kept for so many leases after its last heartbeat. */
        const val KEPT_LEASES = 6
    }
}
