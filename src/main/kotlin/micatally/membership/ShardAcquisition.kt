package micatally.membership

import micatally.state.Compare
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import org.slf4j.LoggerFactory

/**
 * Acquires shards for this process.
 *
 * @param process identifies this process; see [LiveController.process]
 * @param refresh reads the shared keys again
 */
internal class ShardAcquisition(
    private val host: String,
    private val process: String,
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
    private val refresh: suspend () -> Unit,
) {
    private val log = LoggerFactory.getLogger("micatally.membership")

    /** Whether this process leads [shard] according to its copy of the shared keys. */
    fun isLeader(shard: String): Boolean {
        val leader = sharedKeys.leader(shard) ?: return false
        return leader.host == host && leader.process == process
    }

    /**
     * Whether [shard] is orphaned: the process of its [leader] has lost its lease or has ended. The host then has no
     * live key, or its live key is that of a newer process, which does not know that the earlier one led this shard.
     *
     * A host's own shard is not orphaned while a newer process of the host is live, since that process acquires it at
     * its start.
     */
    fun isOrphaned(
        shard: String,
        leader: ShardLeader,
    ): Boolean {
        val liveProcess = sharedKeys.liveProcess(leader.host) ?: return true
        return liveProcess != leader.process && shard != leader.host
    }

    /**
     * Acquires [shard] and raises the fencing token in one transaction. The transaction is conditional on the revisions
     * of both keys. If a [previousLeader] is given, it is also conditional on that leader's live key: the
     * transaction may be applied late, and by then the leader may be live again and answer from memory.
     *
     * @param why the reason for the log
     * @param previousLeader the leader that was found dead, null if this controller acquires its own shard. The shard
     * is acquired only if its revision is still [ShardLeader.modRevision] of this leader: while the transaction waits
     * to be sent, another live controller may acquire the shard
     * @return whether this process leads the shard now
     */
    suspend fun acquire(
        shard: String,
        why: String,
        previousLeader: ShardLeader? = null,
    ): Boolean {
        var fencingToken = 0L
        val result =
            state.transact(2, Urgency.LEASE) {
                if (previousLeader != null && !isStillOrphaned(shard, previousLeader)) return@transact null
                fencingToken = sharedKeys.fencingToken + 1
                acquisitionTransaction(shard, previousLeader, fencingToken)
            }
        if (result !is TransactionResult.Applied) {
            log.info("shard {} not acquired ({}): {}", shard, why, result::class.simpleName)
            // The conditions may have come from an outdated copy, or the outcome is unknown: read the keys again.
            refresh()
            return isLeader(shard)
        }
        log.info("shard {} acquired at fencing token {}: {}", shard, fencingToken, why)
        if (sharedKeys.revision < result.revision) refresh()
        return isLeader(shard)
    }

    private fun isStillOrphaned(
        shard: String,
        previousLeader: ShardLeader,
    ): Boolean =
        previousLeader.modRevision == sharedKeys.modRevision(Keys.shard(shard)) && isOrphaned(shard, previousLeader)

    private fun acquisitionTransaction(
        shard: String,
        previousLeader: ShardLeader?,
        fencingToken: Long,
    ): Transaction {
        val comparedKeys =
            listOfNotNull(Keys.FENCING_TOKEN, Keys.shard(shard), previousLeader?.let { Keys.live(it.host) })
        return Transaction(
            comparedKeys.map { Compare(it, sharedKeys.modRevision(it)) },
            listOf(
                Put(Keys.FENCING_TOKEN, FencingToken.encode(fencingToken)),
                Put(Keys.shard(shard), ShardLeader.encode(host, process, fencingToken)),
            ),
        )
    }
}
