package micatally.job

/** Reacts to the outcomes of the writes of a [JobStore]. Called on the controller's event loop; must not suspend or throw. */
interface JobStoreListener {
    /** A record has been written; [written] are the attempts whose intent has become durable with it. */
    fun recordWritten(
        job: Job,
        written: List<Attempt>,
    )

    /**
     * The record has no room for [attempts], which are decided but not stored. The listener must end at least one of them,
     * since the store builds the record anew afterwards.
     */
    fun recordFull(
        job: Job,
        attempts: List<Attempt>,
    )

    /** A job of a shard that is still led here was accepted by another controller, or was never stored. */
    fun jobDropped(job: Job)

    /** A write failed since another controller has acquired the shard. */
    fun shardLost(shard: JobShard)
}
