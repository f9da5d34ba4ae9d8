package micatally.job

import kotlinx.coroutines.delay
import micatally.settings.Settings
import org.slf4j.LoggerFactory

/** Loads the jobs of a shard that this controller has just acquired from the state service. */
class ShardLoader(
    private val settings: Settings,
    private val records: ShardRecords,
    private val adoption: JobAdoption,
    private val reconciler: TaskReconciler,
    private val collaborators: JobCollaborators,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.job")

    /** Whether the shard's jobs should be known by now and are not: a new job of it might never be started. */
    fun isOverdue(shard: JobShard): Boolean {
        if (shard.state != ShardState.LOADING) return false
        return shard.isUnreadable || nowMs() - shard.leaderSinceMs > settings.leaseMs / LOAD_DEADLINES_PER_LEASE
    }

    /** Tries until the shard is loaded, and returns then or when it is lost. */
    suspend fun load(shard: JobShard) {
        while (shard.isLedHere) {
            if (tryLoad(shard)) return
            delay(settings.heartbeatIntervalMs / RETRIES_PER_HEARTBEAT)
        }
    }

    /**
     * Loads the shard unless it is lost meanwhile.
     *
     * @return false if the records can't be read from the state service, or one of them can't be understood. In that case the
     * log names the record, and no task of the shard is started or stopped until it is mended.
     */
    private suspend fun tryLoad(shard: JobShard): Boolean {
        try {
            val stored =
                records.read(shard) { jobId, record -> adoption.rememberSettled(shard, jobId, record) } ?: return false
            if (!shard.isLedHere) return true
            for (record in stored) readable(record.jobId) { adoption.adopt(shard, record) }
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
        /** A shard is to be loaded in this part of a worker's lease. */
        const val LOAD_DEADLINES_PER_LEASE = 4

        const val RETRIES_PER_HEARTBEAT = 8
    }
}
