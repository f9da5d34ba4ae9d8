package micatally.state

/** What became of a request to renew a lease. */
enum class RenewalResult {
    RENEWED,

    /** The state store knows no such lease any more. */
    EXPIRED,

    /** There is no valid answer; the lease may have been renewed. */
    UNKNOWN,
}
