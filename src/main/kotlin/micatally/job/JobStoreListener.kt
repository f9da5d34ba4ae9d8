package micatally.job

/**
 * Handles the outcomes of the writes of a [JobStore]. Called on the controller's event loop. Must not block or throw.
 */
interface JobStoreListener {
    /**
     * The job's record was written. [written] are the attempts that became durable with it, so they may be sent now.
     */
    fun recordWritten(
        job: Job,
        written: List<Attempt>,
    )

    /**
     * The record has no room for [attempts], which are not stored yet. The listener must end at least one of them,
     * because the store tries again with those that are left.
     */
    fun recordFull(
        job: Job,
        attempts: List<Attempt>,
    )

    /**
     * The job was dropped while its shard is still led here: another controller has accepted it, or it was never
     * stored.
     */
    fun jobDropped(job: Job)

    /** A write failed because the shard has another leader now. */
    fun shardLost(shard: JobShard)
}
