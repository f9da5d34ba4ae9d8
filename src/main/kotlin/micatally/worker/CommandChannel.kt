package micatally.worker

/**
 * What this controller knows of its command requests to one machine. At most one request is under way at a time. Used from the
 * event loop only.
 */
class CommandChannel {
    /** Whether requests are being sent, or wait for a slot or for the next repetition. */
    var isSyncing = false

    /** Whether there may be something to send that the request under way, if any, does not contain. */
    var isSyncRequested = false

    /** Whether the next request has to be sent even without a command, since only the response to it shows what the machine runs. */
    var needsStatus = false

    /** Requests in a row without a usable response. */
    var failuresInRow = 0
        private set

    /** Until when nothing new is placed on the machine, in milliseconds of the controller's clock. */
    var unreachableUntilMs = 0L
        private set

    /** The highest fencing token with which the machine has accepted a request of this controller. */
    var confirmedToken = 0L
        private set

    /**
     * Run commands whose response never came, with the fencing token that they carried. Each may still arrive until the machine has
     * accepted a higher token.
     */
    private val unansweredRuns = HashMap<AttemptId, Long>()

    private var retry: (() -> Unit)? = null

    /** The request got a usable response, whether it was accepted or rejected. */
    fun recordResponse() {
        failuresInRow = 0
        unreachableUntilMs = 0
    }

    /** The request got no usable response, so it has to be repeated. */
    fun recordFailure() {
        needsStatus = true
        isSyncRequested = true
        failuresInRow++
    }

    /** Nothing new is placed on the machine until then, or until it responds. */
    fun markUnreachableUntil(untilMs: Long) {
        unreachableUntilMs = untilMs
    }

    /** The machine has accepted a request with this token; run commands with a lower one can't take effect any more. */
    fun confirmToken(token: Long) {
        confirmedToken = maxOf(confirmedToken, token)
        unansweredRuns.values.removeIf { it < confirmedToken }
    }

    /** The run command left with this token and got no response. */
    fun addUnansweredRun(
        attempt: AttemptId,
        token: Long,
    ) {
        unansweredRuns[attempt] = token
    }

    /** Whether a run command of the attempt got no response and has not been ruled out since. */
    fun hasUnansweredRun(attempt: AttemptId) = attempt in unansweredRuns

    /** Whether a run command of the attempt may still reach the machine and start the task. */
    fun mayRunArriveLate(attempt: AttemptId): Boolean {
        val token = unansweredRuns[attempt] ?: return false
        return token >= confirmedToken
    }

    /** The machine was deleted or has a new incarnation, which rejects every command that was sent to the one before. */
    fun forgetUnansweredRuns() = unansweredRuns.clear()

    /**
     * Returns the function that was passed at the first call, so that one that is registered several times with
     * [micatally.membership.Membership.catchUp] is called once.
     */
    fun retry(create: () -> Unit): () -> Unit = retry ?: create.also { retry = it }
}
