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
 * Reads and writes the provisioning requests in the state store, and keeps the answered ones: those to which the cloud
 * has responded and whose machines are not all up. A function that suspends returns when the state store has responded
 * or its client has given up. Only the fleet manager's writes are carried out.
 *
 * @param leaderCondition the condition that this process is the fleet manager; null if it is not
 */
class ProvisioningRequestStore(
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
    private val leaderCondition: () -> Compare?,
) {
    private val answeredByName = HashMap<String, ProvisioningRequest>()

    /** Requests to which the cloud has responded and whose machines are not all up yet. */
    val answered: Collection<ProvisioningRequest> get() = answeredByName.values

    /** Calls [visit] for each stored request. A request counts as answered only after [addAnswered]. */
    fun load(visit: (ProvisioningRequest) -> Unit) {
        answeredByName.clear()
        for (item in sharedKeys.under(Keys.PROVISIONING)) {
            visit(ProvisioningRequest.parse(item.key.removePrefix(Keys.PROVISIONING), item.value))
        }
    }

    /** Adds the request to [answered]. */
    fun addAnswered(request: ProvisioningRequest) {
        answeredByName[request.name] = request
    }

    /** Removes the request from [answered], since its machines are all up or deleted. */
    fun removeAnswered(request: ProvisioningRequest) {
        answeredByName.remove(request.name)
    }

    /**
     * Stores a new request. False if it is not certain that it was stored, or if this process is not the fleet manager
     * any more.
     *
     * @param term the present term of this fleet manager; called just before the transaction is sent
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
     * Stores the names of the machines that the cloud has provisioned. Writes nothing if the request is not stored any
     * more, as the next fleet manager may have deleted it.
     */
    suspend fun storeAnswer(request: ProvisioningRequest) {
        addAnswered(request)
        val key = Keys.PROVISIONING + request.name
        state.transact(1, Urgency.SUMMARY) {
            val isStillStored = sharedKeys.has(key) && request.name in answeredByName
            val isLeader = leaderCondition()
            if (isStillStored && isLeader != null) {
                Transaction(
                    listOf(isLeader, Compare(key, sharedKeys.modRevision(key))),
                    listOf(Put(key, request.toJson())),
                )
            } else {
                null
            }
        }
    }

    /** Deletes the stored request. */
    suspend fun delete(name: String) {
        state.transact(1, Urgency.SUMMARY) {
            leaderCondition()?.let { Transaction(listOf(it), listOf(Delete(Keys.PROVISIONING + name))) }
        }
    }
}
