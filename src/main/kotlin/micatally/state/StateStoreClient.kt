package micatally.state

import kotlinx.serialization.json.JsonObject
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.http.queryPart
import micatally.wire.EMPTY_OBJECT
import micatally.wire.StateStoreMessages
import micatally.wire.bytes
import org.slf4j.LoggerFactory

/**
 * Client of the state store. Keeps to this controller's share of the store's rate limits. Each call suspends until the
 * budget permits sending the request, and then until it is answered or has timed out.
 *
 * @param addr host and port of the state store
 * @param requests budget for all requests
 * @param writes budget for puts and deletes, in addition to [requests]
 * @param timeoutMs how long to wait for an answer, in ms
 */
class StateStoreClient(
    private val http: HttpCaller,
    private val addr: String,
    private val requests: RateBudget,
    private val writes: RateBudget,
    private val timeoutMs: Long,
) {
    private val log = LoggerFactory.getLogger("micatally.state")

    /**
     * The kinds of keys for which a refusal has been logged. A kind is the part of the key before the first `/`. Only
     * the first refusal of a kind is logged.
     */
    private val loggedRefusalKinds = HashSet<String>()

    /** The number of transactions that wait for the write budget. */
    val waitingWrites get() = writes.waiting

    /**
     * Reads one key.
     *
     * @param onSend called when the request is sent. The answer may lack what is written after that
     */
    suspend fun get(
        key: String,
        urgency: Urgency,
        onSend: () -> Unit = {},
    ): ReadResult {
        requests.take(1, urgency)
        onSend()
        val outcome = call("GET", "/keys/$key", null)
        if (outcome !is Outcome.Answer) return ReadResult.Unavailable
        return when (outcome.status) {
            StoreStatus.OK -> ReadResult.Found(StateStoreMessages.keyValue(outcome.body))
            StoreStatus.NOT_FOUND -> ReadResult.Missing
            else -> ReadResult.Unavailable
        }
    }

    /**
     * Reads all keys under [prefix]. Returns null if a page could not be read. The revision is that of the first page,
     * so that a watch from there returns every change that later pages may lack.
     *
     * @param after if not null, only keys that come after this one in the order of the keys
     */
    suspend fun list(
        prefix: String,
        urgency: Urgency,
        pageSize: Int = DEFAULT_PAGE_SIZE,
        after: String? = null,
    ): Listing? {
        val items = ArrayList<KeyValue>()
        val revision = eachPage(prefix, urgency, pageSize, after) { items.addAll(it) } ?: return null
        return Listing(items, revision)
    }

    /**
     * Reads all keys under [prefix] and passes them to [visit] one page at a time, so that only one page is in memory.
     *
     * @param after if not null, only keys that come after this one in the order of the keys
     * @return the revision of the first page, or null if a page could not be read
     */
    suspend fun eachPage(
        prefix: String,
        urgency: Urgency,
        pageSize: Int = DEFAULT_PAGE_SIZE,
        after: String? = null,
        visit: (List<KeyValue>) -> Unit,
    ): Long? {
        val first = page(prefix, urgency, after, pageSize, visit) ?: return null
        var end = first
        while (end.hasMore) {
            end = page(prefix, urgency, end.lastKey, pageSize, visit) ?: return null
        }
        return first.revision
    }

    /**
     * Reads one page of the keys under [prefix] that come after [after], and passes it to [visit]. Returns null on
     * failure.
     */
    suspend fun page(
        prefix: String,
        urgency: Urgency,
        after: String?,
        pageSize: Int = DEFAULT_PAGE_SIZE,
        visit: (List<KeyValue>) -> Unit,
    ): PageEnd? {
        val from = if (after == null) "" else "&since=${queryPart(after)}"
        requests.take(1, urgency)
        val outcome = call("GET", "/keys?under=${queryPart(prefix)}$from&page=$pageSize", null)
        if (outcome !is Outcome.Answer || outcome.status != StoreStatus.OK) return null
        val page = StateStoreMessages.listingPage(outcome.body)
        visit(page.items)
        return PageEnd(page.items.lastOrNull()?.key, page.hasMore, page.revision)
    }

    /**
     * Sends a transaction.
     *
     * @param count the number of its puts and deletes
     * @param build creates the transaction. It is called when the budget permits sending the request, so that the
     * transaction contains what was decided during the wait, and again before a retry. If it returns null, there is
     * nothing left to write, and the result is [TransactionResult.Refused]
     */
    suspend fun transact(
        count: Int,
        urgency: Urgency,
        build: () -> Transaction?,
    ): TransactionResult {
        var isBorrowed = writes.takeOrBorrow(count, urgency)
        requests.take(1, urgency)
        while (true) {
            val transaction = build() ?: return TransactionResult.Refused
            val result = commit(transaction)
            if (result !is TransactionResult.Limited) return result
            if (!isBorrowed) {
                writes.markExhausted()
                return result
            }
            // The transaction was not applied. It is retried with tokens of this controller's own share.
            writes.pauseBorrowing()
            writes.take(count, urgency)
            requests.take(1, urgency)
            isBorrowed = false
        }
    }

    private suspend fun commit(transaction: Transaction): TransactionResult =
        when (val outcome = call("POST", "/txn", StateStoreMessages.transactionRequest(transaction))) {
            is Outcome.NotSent -> TransactionResult.Refused
            is Outcome.NoResponse, is Outcome.TooLarge -> TransactionResult.Unknown
            is Outcome.Answer -> transactionResult(transaction, outcome)
        }

    private fun transactionResult(
        transaction: Transaction,
        answer: Outcome.Answer,
    ): TransactionResult =
        when (answer.status) {
            StoreStatus.OK -> TransactionResult.Applied(StateStoreMessages.appliedRevision(answer.body))
            StoreStatus.CONDITION_FAILED -> TransactionResult.Failed(StateStoreMessages.failedKeys(answer.body))
            StoreStatus.REFUSED -> refusal(transaction, answer.body.decodeToString())
            StoreStatus.OVER_RATE_LIMIT -> TransactionResult.Limited
            StoreStatus.UNAVAILABLE -> TransactionResult.Refused
            else -> TransactionResult.Unknown
        }

    /**
     * Returns the result of a transaction that the state store refused with [text]. Every refusal that is not about a
     * lease counts as one about size, since the limits may have been lowered after the transaction was created. The
     * writers of large values then try again with a smaller form.
     */
    private fun refusal(
        transaction: Transaction,
        text: String,
    ): TransactionResult {
        if (StateStoreMessages.isNoSuchLease(text)) return TransactionResult.NoSuchLease
        val key = transaction.changes.first().key
        val isFirstOfKind = loggedRefusalKinds.add(key.substringBefore('/'))
        if (isFirstOfKind) log.warn("state store refuses {}: {}", key, text)
        return TransactionResult.TooLarge
    }

    /** Requests a lease with a time to live of [liveMs] ms. Returns its id, or null if there is no valid answer. */
    suspend fun grant(liveMs: Long): Long? {
        requests.take(1, Urgency.LEASE)
        val outcome = call("POST", "/grants", StateStoreMessages.grantRequest(liveMs))
        val isGranted = outcome is Outcome.Answer && outcome.status == StoreStatus.OK
        return if (isGranted) StateStoreMessages.grantedLease(outcome.body) else null
    }

    /** Renews a lease for its full time to live. */
    suspend fun renew(lease: Long): RenewalResult {
        requests.take(1, Urgency.LEASE)
        val outcome = call("POST", "/grants/$lease/renew", EMPTY_OBJECT)
        if (outcome !is Outcome.Answer) return RenewalResult.UNKNOWN
        return when (outcome.status) {
            StoreStatus.OK -> RenewalResult.RENEWED
            StoreStatus.NOT_FOUND -> RenewalResult.EXPIRED
            else -> RenewalResult.UNKNOWN
        }
    }

    /** Ends a lease that is no longer needed. If the request fails, the lease expires by itself. */
    suspend fun revoke(lease: Long) {
        requests.take(1, Urgency.LEASE)
        call("DELETE", "/grants/$lease", null)
    }

    /**
     * Waits for changes under [prefix] after the revision [since], for at most [holdMs] ms.
     *
     * @return the changes, which are empty if there was none in that time. If [WatchEvents.isCompacted] is set, the
     * keys have to be listed again. Null if there is no valid answer
     */
    suspend fun watch(
        prefix: String,
        since: Long,
        holdMs: Long,
        urgency: Urgency,
    ): WatchEvents? {
        requests.take(1, urgency)
        val target = "/watch?under=${queryPart(prefix)}&since=$since&hold_ms=$holdMs"
        val outcome = call("GET", target, null, holdMs + timeoutMs)
        // If the answer is too large for this client, the keys are listed again, as after a compaction.
        if (outcome is Outcome.TooLarge) return WatchEvents.compacted(since)
        if (outcome !is Outcome.Answer) return null
        return when (outcome.status) {
            StoreStatus.OK -> StateStoreMessages.watchEvents(outcome.body)
            StoreStatus.COMPACTED -> WatchEvents.compacted(since)
            else -> null
        }
    }

    private suspend fun call(
        method: String,
        target: String,
        body: JsonObject?,
        timeout: Long = timeoutMs,
    ): Outcome {
        val outcome = http.call(addr, method, target, body?.bytes(), timeout)
        val isOverRateLimit = outcome is Outcome.Answer && outcome.status == StoreStatus.OVER_RATE_LIMIT
        if (isOverRateLimit) requests.markExhausted()
        return outcome
    }

    private companion object {
        const val DEFAULT_PAGE_SIZE = 500
    }
}
