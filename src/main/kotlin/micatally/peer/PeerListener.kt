package micatally.peer

import micatally.worker.Machine

/**
 * Called when deltas from peers have been applied. The calls are made on the controller's thread and must not block.
 */
interface PeerListener {
    /**
     * The peer on [host] asks for the deletion of these machines, because their workers have been silent for too long.
     */
    fun deletionRequested(
        machines: List<String>,
        host: String,
    )

    /**
     * A peer that this controller does not reach has a newer status of the machine. Only the machine itself can tell it.
     */
    fun statusUnavailable(machine: Machine)

    /** A peer has sent a capacity summary or a newer machine status, so placement may now decide differently. */
    fun clusterStateChanged()
}
