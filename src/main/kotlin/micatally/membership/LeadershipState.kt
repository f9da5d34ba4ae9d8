package micatally.membership

/** Whether this controller may answer workers' heartbeats. */
enum class LeadershipState {
    /** It has not yet had a lease and a view of the shared keys. */
    STARTING,

    /** It may answer. */
    LEADING,

    /** It has had no proof of contact for [micatally.settings.Settings.leadershipMs]; it leads again with the next proof. */
    EXPIRED,
}
