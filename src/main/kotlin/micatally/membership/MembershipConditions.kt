package micatally.membership

/** What [Membership] asks the other parts of its controller. */
interface MembershipConditions {
    /**
     * Whether another controller can serve this one's shards better. As long as this holds, this controller gives up its lease
     * and takes no new one.
     */
    fun shouldStepDown(): Boolean

    /**
     * The time, on this controller's clock, up to which all peers themselves have confirmed every cancellation to this
     * controller; far in the past if they have not. See [micatally.peer.Peers.peersConfirmedAt].
     */
    fun peersConfirmedAt(): Long

    /**
     * Whether the configuration permits task starts now.
     *
     * @param viewAgeMs age of this controller's view of the shared keys, in milliseconds
     */
    fun mayStartTasks(viewAgeMs: Long): Boolean
}
