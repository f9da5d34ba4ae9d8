package micatally.membership

import micatally.state.Compare
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import org.slf4j.LoggerFactory

/**
 * Acquires shards for one process of a controller.
 *
 * @param process see [LiveController.process]
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

    /** Whether this process leads [shard], as far as the copy of the shared keys shows. */
    fun isLeader(shard: String): Boolean {
        val leader = sharedKeys.leader(shard) ?: return false
        return leader.host == host && leader.process == process
    }

    /**
     * Whether the leader's process has ended: its host has no live key, or the live key is that of another process, which does
     * not know that the former one had acquired this shard. A host's own shard is left to its new process, which acquires it at
     * its start.
     */
    fun isOrphan(
        shard: String,
        leader: ShardLeader,
    ): Boolean {
        val liveProcess = sharedKeys.liveProcess(leader.host) ?: return true
        return liveProcess != leader.process && shard != leader.host
    }

    /**
     * Acquires [shard] and raises the fencing token in one transaction. Its conditions are that neither has changed, and that the
     * [former] leader has not come back. The latter has to hold however late the transaction is carried out, since a leader that
     * came back answers from memory again.
     *
     * @param why for the log
     * @param former the leader that was found dead. The condition on the shard is the revision of that finding, not the one at
     * the time of the write: by then another controller, which lives, may have acquired the shard
     * @return whether this process leads the shard now
     */
    suspend fun acquire(
        shard: String,
        why: String,
        former: ShardLeader? = null,
    ): Boolean {
        var fencingToken = 0L
        val result =
            state.transact(2, Urgency.LEASE) {
                if (former != null && !isStillOrphan(shard, former)) return@transact null
                fencingToken = sharedKeys.fencingToken + 1
                acquisition(shard, former, fencingToken)
            }
        if (result !is TransactionResult.Applied) {
            log.info("shard {} not acquired ({}): {}", shard, why, result::class.simpleName)
            // Either the view that the conditions came from was outdated, or the outcome is unknown: read it again.
            refresh()
            return isLeader(shard)
        }
        log.info("shard {} acquired at fencing token {}: {}", shard, fencingToken, why)
        if (sharedKeys.revision < result.revision) refresh()
        return isLeader(shard)
    }

    private fun isStillOrphan(
        shard: String,
        former: ShardLeader,
    ): Boolean = former.modRevision == sharedKeys.modRevision(Keys.shard(shard)) && isOrphan(shard, former)

    private fun acquisition(
        shard: String,
        former: ShardLeader?,
        fencingToken: Long,
    ): Transaction {
        val comparedKeys = listOfNotNull(Keys.FENCING_TOKEN, Keys.shard(shard), former?.let { Keys.live(it.host) })
        return Transaction(
            comparedKeys.map { Compare(it, sharedKeys.modRevision(it)) },
            listOf(
                Put(Keys.FENCING_TOKEN, FencingToken.encode(fencingToken)),
                Put(Keys.shard(shard), ShardLeader.encode(host, process, fencingToken)),
            ),
        )
    }
}
