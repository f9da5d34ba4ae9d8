package micatally.worker

/**
 * Which fencing token has to be reached so that run commands that were sent before can't start a task any more. Used
 * from the event loop only.
 */
class FencingTokenDemand {
    private var tokenForProof = 0L
    private var tokenForEntries = 0L
    private var tokenForFullList = 0L

    /** Asks for a token above [token], without which an attempt can't be proven to have ended. */
    fun requireForProof(token: Long) {
        tokenForProof = maxOf(tokenForProof, token + 1)
    }

    /**
     * Asks for a token above [token], without which entries of ended tasks can't be cleared.
     *
     * @param isListFull whether a machine gets no tasks until then, because its list is too long
     */
    fun requireForEntries(
        token: Long,
        isListFull: Boolean = false,
    ) {
        tokenForEntries = maxOf(tokenForEntries, token + 1)
        if (isListFull) tokenForFullList = maxOf(tokenForFullList, token + 1)
    }

    /** The most urgent reason to raise the token above [token]; null if there is none. */
    fun reasonToRaise(token: Long): RaiseReason? =
        when {
            tokenForProof > token -> RaiseReason.PROOF
            tokenForFullList > token -> RaiseReason.FULL_LIST
            tokenForEntries > token -> RaiseReason.ENTRIES
            else -> null
        }
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
