package micatally.job

import kotlinx.coroutines.delay
import micatally.settings.Settings
import org.slf4j.LoggerFactory

/** Loads the jobs of a shard that this controller has just acquired from the state store. */
class ShardLoader(
    private val settings: Settings,
    private val records: ShardRecords,
    private val adoption: JobAdoption,
    private val reconciler: TaskReconciler,
    private val collaborators: JobCollaborators,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.job")

    /**
     * Whether the shard should have been loaded by now and is not, or can't be loaded at all. New jobs are then better
     * refused, as they might never be started.
     */
    fun isOverdue(shard: JobShard): Boolean {
        if (shard.state != ShardState.LOADING) return false
        return shard.isUnreadable || nowMs() - shard.leaderSinceMs > settings.leaseMs / LOAD_DEADLINES_PER_LEASE
    }

    /** Tries to load the shard until that succeeds or the shard is lost. */
    suspend fun load(shard: JobShard) {
        while (shard.isLedHere) {
            if (tryLoad(shard)) return
            delay(settings.heartbeatIntervalMs / RETRIES_PER_HEARTBEAT)
        }
    }

    /**
     * Tries to load the shard once.
     *
     * @return true if the shard is loaded, or was lost meanwhile. False if the records can't be read from the state
     * store, or if one of them can't be decoded. In the latter case the log names the record, and no task of the shard
     * is started or stopped until an operator has repaired it.
     */
    private suspend fun tryLoad(shard: JobShard): Boolean {
        try {
            val stored =
                records.read(shard) { jobId, record -> adoption.rememberSettled(shard, jobId, record) } ?: return false
            if (!shard.isLedHere) return true
            for (record in stored) decodeRecord(record.jobId) { adoption.adopt(shard, record) }
        } catch (e: UnreadableRecord) {
            if (!shard.isUnreadable) log.error("shard {} can't be loaded: {}", shard.name, e.message)
            shard.isUnreadable = true
            return false
        }
        shard.transitionTo(ShardState.ACTIVE)
        log.info(
            "shard {} loaded at fencing token {}: {} jobs in {} ms",
            shard.name,
            shard.leader.fencingToken,
            shard.jobs.size,
            nowMs() - shard.leaderSinceMs,
        )
        reconciler.reconcileAll()
        collaborators.requestCycle()
        return true
    }

    private companion object {
        /** A load is overdue after a worker's lease divided by this. */
        const val LOAD_DEADLINES_PER_LEASE = 4

        /** The pause after a failed load is the heartbeat interval divided by this. */
        const val RETRIES_PER_HEARTBEAT = 8
    }
}
