package micatally.peer

/** Paths of the requests between controllers, all of them POST. They are part of the protocol and never change. */
object PeerPaths {
    /** Sends a delta. Body [micatally.wire.PeerDelta], response [micatally.wire.PeerDeltaResponse]. */
    const val DELTA = "/peer/news"

    /** Reports tasks of a cancelled job. Body [micatally.wire.CancelledTaskList], empty response. */
    const val CANCELLED_TASKS = "/peer/kills"

    /** Queries the status of a job. Body [micatally.wire.PeerJobRequest], response [micatally.wire.PeerJobResponse]. */
    const val QUERY_JOB = "/peer/query"

    /** Cancels a job. Body and response are the same as for [QUERY_JOB]. */
    const val CANCEL_JOB = "/peer/cancel"

    /**
     * Asks which attempts the receiver wants. Body [micatally.wire.OwnershipQuery], response
     * [micatally.wire.OwnershipResponse]. Versions before it answer 404.
     */
    const val OWNERSHIP = "/peer/owned"
}
