package micatally.membership

/** Questions that [Membership] asks other parts of the controller before it decides. */
interface MembershipConditions {
    /**
     * Whether another controller can serve this one's shards better. As long as this is true, this controller gives up
     * its lease and obtains no new one.
     */
    fun shouldStepDown(): Boolean

    /**
     * The time, in ms on this controller's clock, up to which all peers have told this controller of every
     * cancellation; far in the past if they have not. See [micatally.peer.CancellationBroadcast.confirmedByPeersAt].
     */
    fun peersConfirmedAt(): Long

    /**
     * Whether the configuration permits task starts now.
     *
     * @param viewAgeMs age of this controller's copy of the shared keys, in ms
     */
    fun mayStartTasks(viewAgeMs: Long): Boolean
}
