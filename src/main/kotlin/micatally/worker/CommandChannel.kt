package micatally.worker

/**
 * The state of this controller's command requests to one machine. At most one request is under way at a time. Used from
 * the event loop only.
 */
class CommandChannel {
    /** Whether a sync is running: it sends requests, waits for a slot of the [CommandGate], or waits before a retry. */
    var isSyncing = false

    /**
     * Whether another request has to be planned, because there may be commands that the one under way does not contain.
     */
    var isSyncRequested = false

    /**
     * Whether the next request is sent even without commands, because the machine's task list in the response is
     * needed.
     */
    var needsStatus = false

    /** Number of requests in a row that got no usable response. */
    var failuresInRow = 0
        private set

    /** No new task is placed on the machine before this time, in milliseconds of the controller's clock. */
    var unreachableUntilMs = 0L
        private set

    /** The highest fencing token with which the machine has accepted a request from this controller; 0 if none. */
    var confirmedToken = 0L
        private set

    private val sentRuns = SentRuns()

    private var retryCallback: (() -> Unit)? = null

    /** Records that a request got a usable response, accepted or rejected. */
    fun recordResponse() {
        failuresInRow = 0
        unreachableUntilMs = 0
    }

    /** Records that a request got no usable response and has to be repeated. */
    fun recordFailure() {
        needsStatus = true
        isSyncRequested = true
        failuresInRow++
    }

    /** Keeps new tasks off the machine until this time, or until it responds. */
    fun markUnreachableUntil(untilMs: Long) {
        unreachableUntilMs = untilMs
    }

    /**
     * Records that the machine has accepted a request with this token. It rejects any run command with a lower token
     * from now on.
     */
    fun confirmToken(token: Long) {
        confirmedToken = maxOf(confirmedToken, token)
        sentRuns.forgetBelow(confirmedToken)
    }

    /** Records that a run command was sent with this token, whether or not it was answered. */
    fun recordRun(
        attempt: AttemptId,
        token: Long,
    ) = sentRuns.add(attempt, token)

    /**
     * Whether a run command of the attempt may start the task after the machine has carried out a request with
     * [requestToken]; see [SentRuns].
     */
    fun mayRunArriveAfter(
        attempt: AttemptId,
        requestToken: Long,
    ) = sentRuns.mayArriveAfter(attempt, maxOf(requestToken, confirmedToken))

    /**
     * To be called when the machine was deleted or has a new incarnation, since a new incarnation rejects every command
     * that was sent to the former one.
     */
    fun forgetRuns() = sentRuns.clear()

    /**
     * Returns the callback that was passed at the first call, always the same object, so that
     * [micatally.membership.Membership.catchUp] runs it once even if it is registered several times.
     */
    fun retryCallback(callback: () -> Unit): () -> Unit = retryCallback ?: callback.also { retryCallback = it }
}
