package micatally.state

/** What a request to the state store or the cloud is for, most urgent first: a [RateBudget] serves the waiting requests in this order. */
enum class Urgency {
    /** This controller's lease, its view of the shared keys, and its right to act. */
    LEASE,

    /** Requests whose answer a user waits for. */
    ACCEPTANCE,

    /** Decisions of this controller that have to be stored before they are carried out. */
    INTENT,

    /** What serves the efficiency of the controllers only, and can wait. */
    SUMMARY,
}
