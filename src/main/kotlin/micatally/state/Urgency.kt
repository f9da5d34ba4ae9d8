package micatally.state

/**
 * The purpose of a request to the state store or the cloud, the most urgent first. A [RateBudget] serves the waiting
 * requests in this order.
 */
enum class Urgency {
    /**
     * What this controller needs in order to work at all: its lease, its copy of the shared keys, the acquisition and
     * the loading of shards, the configuration. In the cloud: the deletion of machines.
     */
    LEASE,

    /** Requests whose answer a user waits for, directly or because jobs can't be accepted or placed without it. */
    ACCEPTANCE,

    /** Decisions that have to be stored before this controller carries them out, and what it needs to know for them. */
    INTENT,

    /** Background work that can wait, such as summaries for the other controllers and clean-up. */
    SUMMARY,
}
