package micatally.peer

/** What the rest of the controller does about the deltas of peers. Called on the controller's thread; must not block. */
interface PeerListener {
    /** A peer wants these machines deleted, because they are silent or fail what they start. */
    fun deletionRequested(machines: List<String>)

    /** A peer has sent a capacity summary or a newer status of a machine: placement may decide differently now. */
    fun clusterStateChanged()
}
