package micatally.membership

/**
 * Is notified of changes in the state store that [Membership] has observed. Both functions are called on the
 * controller's thread and must not block.
 */
interface MembershipListener {
    /** Called when the shared keys [keys], all under [Keys.PREFIX], have been written or deleted. */
    fun sharedKeysChanged(keys: Set<String>)

    /** Called when the summaries [keys], all under [Keys.SUMMARIES], have been written or deleted. */
    fun summariesChanged(keys: Set<String>)
}
