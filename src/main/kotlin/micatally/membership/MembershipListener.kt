package micatally.membership

/** Receives the changes that [Membership] sees. Both functions are called on the controller's thread and must not block. */
interface MembershipListener {
    /** These shared keys, all under [Keys.PREFIX], have been written or deleted. */
    fun sharedKeysChanged(keys: Set<String>)

    /** These summaries, all under [Keys.SUMMARIES], have been written or deleted. */
    fun summariesChanged(keys: Set<String>)
}
