package micatally.fleet

/** Why the fleet manager deletes a machine. */
enum class DeletionReason {
    /** The cloud lists it as failed. */
    FAILED_IN_CLOUD,

    /** It did not boot in time. */
    BOOT_TIMED_OUT,

    /** Its graceful eviction has ended: it is empty, and all controllers know that it gets no new tasks. */
    EVICTED,

    /** Its operating system accepts no connections, while other machines of its zone are reached. */
    POWERED_OFF,

    /** The fleet manager has heard nothing from it for too long. */
    SILENT,

    /** A controller that has attempts on it has heard nothing from it for too long, and the fleet manager agrees. */
    SILENT_FOR_SHARD_LEADER,
}

/**
 * The decision to delete a machine.
 *
 * @property isStillDue whether the reason still holds. Asked right before the deletion is sent, which may be later.
 */
class DeletionRequest(
    val machine: String,
    val reason: DeletionReason,
    val isStillDue: () -> Boolean,
)
