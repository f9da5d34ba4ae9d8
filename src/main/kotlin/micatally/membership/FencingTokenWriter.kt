package micatally.membership

import micatally.state.Compare
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import org.slf4j.LoggerFactory

/** Raises the fencing token alone, without acquiring a shard. */
internal class FencingTokenWriter(
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
) {
    private val log = LoggerFactory.getLogger("micatally.membership")

    /**
     * Raises the token by one. A worker that knows the new token refuses commands that carry a lower one.
     *
     * @param why the reason for the log
     * @return true if the token was raised; false if it was not or if the outcome is unknown
     */
    suspend fun raise(why: String): Boolean {
        var next = 0L
        val result =
            state.transact(1, Urgency.LEASE) {
                next = sharedKeys.fencingToken + 1
                Transaction(
                    listOf(Compare(Keys.FENCING_TOKEN, sharedKeys.modRevision(Keys.FENCING_TOKEN))),
                    listOf(Put(Keys.FENCING_TOKEN, FencingToken.encode(next))),
                )
            }
        log.info("raise of the fencing token to {} for {}: {}", next, why, result::class.simpleName)
        return result is TransactionResult.Applied
    }
}
