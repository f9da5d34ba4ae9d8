package micatally.worker

/**
 * The run commands that may still reach one machine and start a task there.
 *
 * The network may deliver any request once more, also one that was carried out and answered. A worker ignores a run
 * command while it lists the attempt, and refuses every request with a lower fencing token than the highest that it has
 * accepted. Hence the invariant: **an attempt's entry is removed from a worker's list, and the lack of an entry proves
 * that the attempt is over, only by a request whose fencing token is higher than that of every run command ever sent
 * for the attempt.** Every clear command and every such proof has to pass [mayArriveAfter] or [isRuledOut].
 *
 * Only this process's commands are recorded. Those of former leaders of a shard carry a lower token than the one with
 * which the present leader acquired it, so no request of the present leader has to wait for them.
 */
class SentRuns {
    private val highestTokens = HashMap<AttemptId, Long>()

    /** Records that a run command of the attempt was sent with this token. */
    fun add(
        attempt: AttemptId,
        token: Long,
    ) {
        highestTokens.merge(attempt, token, ::maxOf)
    }

    /** Drops what the machine refuses from now on, because it has accepted a request with [token]. */
    fun forgetBelow(token: Long) {
        highestTokens.values.removeIf { isRuledOut(it, token) }
    }

    /** Drops everything, because the machine is gone or refuses all commands that were sent before. */
    fun clear() = highestTokens.clear()

    /**
     * Whether a run command of the attempt may start the task after the machine has carried out a request with
     * [requestToken].
     */
    fun mayArriveAfter(
        attempt: AttemptId,
        requestToken: Long,
    ): Boolean {
        val runToken = highestTokens[attempt] ?: return false
        return !isRuledOut(runToken, requestToken)
    }

    /** The comparison on which the invariant rests. */
    companion object {
        /** Whether a machine that has accepted [requestToken] refuses a run command with [runToken]. */
        fun isRuledOut(
            runToken: Long,
            requestToken: Long,
        ) = requestToken > runToken
    }
}
