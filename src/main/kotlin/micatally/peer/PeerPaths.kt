package micatally.peer

/** Paths of the requests between controllers, all of them POST. Part of the protocol: they never change. */
object PeerPaths {
    /** Body [micatally.wire.PeerDelta], response [micatally.wire.PeerDeltaResponse]. */
    const val DELTA = "/peer/news"

    /** Body [micatally.wire.CancelledTaskList], empty response. */
    const val CANCELLED_TASKS = "/peer/kills"

    /** Body [micatally.wire.PeerJobRequest], response [micatally.wire.PeerJobResponse]: the status of a job. */
    const val QUERY_JOB = "/peer/query"

    /** The same messages as [QUERY_JOB]: cancels a job. */
    const val CANCEL_JOB = "/peer/cancel"
}
