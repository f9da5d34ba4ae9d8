package micatally.worker

import java.util.EnumMap

/**
 * Which fencing token has to be reached so that run commands that were sent before can't start a task any more. Used
 * from the event loop only.
 */
class FencingTokenDemand {
    private val needed = EnumMap<RaiseReason, Long>(RaiseReason::class.java)

    /** Asks for a token above [token]. */
    fun require(
        reason: RaiseReason,
        token: Long,
    ) {
        needed.merge(reason, token + 1, ::maxOf)
    }

    /** The most urgent reason to raise the token above [token]; null if there is none. */
    fun reasonToRaise(token: Long): RaiseReason? = needed.entries.firstOrNull { it.value > token }?.key
}

/** Why the fencing token is raised, the most urgent reason first. */
enum class RaiseReason {
    /** An attempt can't be proven to have ended, so its task can't run elsewhere. */
    PROOF,

    /** A machine gets no tasks, because it lists too many ended ones. */
    FULL_LIST,

    /** Entries of ended tasks wait to be cleared. */
    ENTRIES,
}
