package micatally.membership

/** Whether this controller may answer workers' heartbeats. */
enum class LeadershipState {
    /** It may not: it has not yet obtained its first lease and its first copy of the shared keys. */
    STARTING,

    /** It may. */
    LEADING,

    /**
     * It may not: for [micatally.settings.Settings.leadershipMs] it had no proof of contact with the state store, nor
     * with all its peers. It leads again after the next proof.
     */
    EXPIRED,
}
