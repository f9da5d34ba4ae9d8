package micatally.fleet

import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.state.Compare
import micatally.state.Delete
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency

/**
 * The provisioning requests in the state store, and which of them the cloud has answered while their machines are not all up.
 * Functions that suspend do so until the state store has answered, or its client has given up.
 */
class ProvisioningRequestStore(
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
) {
    private val answeredByName = HashMap<String, ProvisioningRequest>()

    /** Requests that the cloud has answered and whose machines are not all up yet. */
    val answered: Collection<ProvisioningRequest> get() = answeredByName.values

    /** Shows [visit] all requests that are stored, one by one. None counts as answered before [addAnswered]. */
    fun load(visit: (ProvisioningRequest) -> Unit) {
        answeredByName.clear()
        for (item in sharedKeys.under(Keys.PROVISIONING)) {
            visit(ProvisioningRequest.parse(item.key.removePrefix(Keys.PROVISIONING), item.value))
        }
    }

    fun addAnswered(request: ProvisioningRequest) {
        answeredByName[request.name] = request
    }

    fun removeAnswered(request: ProvisioningRequest) {
        answeredByName.remove(request.name)
    }

    /**
     * Stores a new request. False if that is not certain, or this process is not the fleet manager any more.
     *
     * @param term the term of this fleet manager, read when the transaction leaves
     */
    suspend fun store(
        request: ProvisioningRequest,
        term: () -> Long,
    ): Boolean {
        val result =
            state.transact(1, Urgency.INTENT) {
                Transaction(
                    listOf(Compare(Keys.FLEET, term())),
                    listOf(Put(Keys.PROVISIONING + request.name, request.toJson())),
                )
            }
        return result is TransactionResult.Applied
    }

    /**
     * Stores which machines the cloud has provisioned. Only while the request is stored: the next fleet manager may have deleted it
     * meanwhile.
     */
    suspend fun storeAnswer(request: ProvisioningRequest) {
        addAnswered(request)
        val key = Keys.PROVISIONING + request.name
        state.transact(1, Urgency.SUMMARY) {
            val isStillStored = sharedKeys.has(key) && request.name in answeredByName
            if (isStillStored) {
                Transaction(
                    listOf(Compare(key, sharedKeys.modRevision(key))),
                    listOf(Put(key, request.toJson())),
                )
            } else {
                null
            }
        }
    }

    suspend fun delete(name: String) {
        state.transact(1, Urgency.SUMMARY) { Transaction(emptyList(), listOf(Delete(Keys.PROVISIONING + name))) }
    }
}
