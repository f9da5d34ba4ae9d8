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
     * Raises the token by one. A command sent with a lower token can no longer be carried out where the new one is known.
     *
     * @param why for the log
     * @return whether it was raised; false also when that is unknown
     */
    suspend fun raise(why: String): Boolean {
        val result =
            state.transact(1, Urgency.LEASE) {
                Transaction(
                    listOf(Compare(Keys.FENCING_TOKEN, sharedKeys.modRevision(Keys.FENCING_TOKEN))),
                    listOf(Put(Keys.FENCING_TOKEN, FencingToken.encode(sharedKeys.fencingToken + 1))),
                )
            }
        log.info("fencing token raised: {} {}", why, result::class.simpleName)
        return result is TransactionResult.Applied
    }
}
