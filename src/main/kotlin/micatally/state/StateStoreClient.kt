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
 * Client of the state store, within this controller's share of the store's rate limits. Each call suspends until the budget
 * lets it leave and its answer has come or its time is over.
 *
 * @param addr host and port of the state store
 * @param requests budget of all requests
 * @param writes budget of puts and deletes
 * @param timeoutMs how long an answer may take
 */
class StateStoreClient(
    private val http: HttpCaller,
    private val addr: String,
    private val requests: RateBudget,
    private val writes: RateBudget,
    private val timeoutMs: Long,
) {
    private val log = LoggerFactory.getLogger("micatally.state")

    /** Kinds of keys for which a refusal has been logged: one line for each is enough. */
    private val refusedKinds = HashSet<String>()

    /** How many transactions wait for the write budget. */
    val waitingWrites get() = writes.waiting

    /**
     * Reads one key.
     *
     * @param onSend runs when the request leaves. What is written from then on may be missing from the answer
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
     * Reads all keys under [prefix]; null when a page could not be read. The revision is that of the first page, so that a
     * watch from there misses nothing.
     *
     * @param after only keys that sort behind this one
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
     * Passes all keys under [prefix] to [visit] a page at a time, so that no more than a page is in memory.
     *
     * @param after only keys that sort behind this one
     * @return the revision of the first page, or null when a page could not be read
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

    /** Passes one page of the keys under [prefix] behind [after] to [visit]; null when it could not be read. */
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
     * Carries out a transaction.
     *
     * @param count the number of its puts and deletes
     * @param build puts the transaction together. It runs only when the budget lets the request leave, so that what was decided
     * while it waited goes along, and again before a repetition. Null: there is nothing to do any more, and the result is
     * [TransactionResult.Refused]
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
            // Nothing was carried out. It is repeated within this controller's own share.
            writes.borrowingRefused()
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
     * The limits may have been lowered since the transaction was put together, so every refusal that is not about a lease counts
     * as one of size: the writers of large values try again in another form.
     */
    private fun refusal(
        transaction: Transaction,
        text: String,
    ): TransactionResult {
        if (StateStoreMessages.isNoSuchLease(text)) return TransactionResult.NoSuchLease
        val key = transaction.changes.first().key
        val isFirstOfKind = refusedKinds.add(key.substringBefore('/'))
        if (isFirstOfKind) log.warn("state store refuses {}: {}", key, text)
        return TransactionResult.TooLarge
    }

    /** Requests a lease of [liveMs] milliseconds; returns its id, or null if there is no valid answer. */
    suspend fun grant(liveMs: Long): Long? {
        requests.take(1, Urgency.LEASE)
        val outcome = call("POST", "/grants", StateStoreMessages.grantRequest(liveMs))
        val isGranted = outcome is Outcome.Answer && outcome.status == StoreStatus.OK
        return if (isGranted) StateStoreMessages.grantedLease(outcome.body) else null
    }

    /** Renews a lease for its full time. */
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

    /** Ends a lease that is no longer wanted. If the request fails the lease expires by itself. */
    suspend fun revoke(lease: Long) {
        requests.take(1, Urgency.LEASE)
        call("DELETE", "/grants/$lease", null)
    }

    /**
     * Waits for changes under [prefix] after the revision [since], for [holdMs] at the most.
     *
     * @return the changes, none if there were none in that time; [WatchEvents.isCompacted] if the keys have to be listed again;
     * null if there is no valid answer
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
        // Changes that are too much for one answer are read by a listing, like those that the store no longer keeps.
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
