package micatally.state

/** The outcome of a request to renew a lease. */
enum class RenewalResult {
    RENEWED,

    /** The state store no longer knows the lease. */
    EXPIRED,

    /** There is no valid answer. The lease may or may not have been renewed. */
    UNKNOWN,
}
