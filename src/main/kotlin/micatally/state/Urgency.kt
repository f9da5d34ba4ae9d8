package micatally.state

/** What a call to the state service is for, most urgent first. */
enum class Urgency { LEASE, ACCEPTANCE, INTENT, SUMMARY }
