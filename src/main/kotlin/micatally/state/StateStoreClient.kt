package micatally.state

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.http.queryPart
import micatally.wire.EMPTY_OBJECT
import micatally.wire.asObject
import micatally.wire.asText
import micatally.wire.bytes
import micatally.wire.child
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.longOrNull
import micatally.wire.parseObject
import micatally.wire.text
import micatally.wire.textOrNull
import org.slf4j.LoggerFactory

/** The state service's protocol, within this node's share of its limits. */
class StateStoreClient(
    private val http: HttpCaller,
    private val addr: String,
    private val requests: RateBudget,
    private val writes: RateBudget,
    private val timeoutMs: Long,
) {
    private val log = LoggerFactory.getLogger("micatally.state")
    val waitingWrites get() = writes.waiting

    private suspend fun send(
        method: String,
        target: String,
        body: JsonObject?,
        urgency: Urgency,
        timeout: Long = timeoutMs,
    ): Outcome {
        requests.take(1, urgency)
        return call(method, target, body, timeout)
    }

    private suspend fun call(
        method: String,
        target: String,
        body: JsonObject?,
        timeout: Long,
    ): Outcome {
        val out = http.call(addr, method, target, body?.bytes(), timeout)
        if (out is Outcome.Answer && out.status == 429) requests.drained()
        return out
    }

    /** @param onSend runs when the request leaves: what is asked from then on may be newer than its answer */
    suspend fun get(
        key: String,
        urgency: Urgency,
        onSend: () -> Unit = {},
    ): ReadResult {
        requests.take(1, urgency)
        onSend()
        val out = call("GET", "/keys/$key", null, timeoutMs)
        if (out !is Outcome.Answer) return ReadResult.Unavailable
        return when (out.status) {
            200 -> ReadResult.Found(item(parseObject(out.body)))
            404 -> ReadResult.Missing
            else -> ReadResult.Unavailable
        }
    }

    private fun item(o: JsonObject) = KeyValue(o.text("k"), o.child("value") ?: EMPTY_OBJECT, o.long("mark"))

    /** All keys under [prefix], or null when a page could not be had. The revision is that of the first page, so that a watch
     * from there misses nothing.
     *
     * @param after only keys behind this one */
    suspend fun list(
        prefix: String,
        urgency: Urgency,
        pageSize: Int = 500,
        after: String? = null,
    ): Listing? {
        val items = ArrayList<KeyValue>()
        val revision = eachPage(prefix, urgency, pageSize, after) { items.addAll(it) } ?: return null
        return Listing(items, revision)
    }

    /** Shows [visit] all keys under [prefix] a page at a time, so that no more than a page is held; returns the revision of
     * the first page, or null when a page could not be had. */
    suspend fun eachPage(
        prefix: String,
        urgency: Urgency,
        pageSize: Int = 500,
        after: String? = null,
        visit: (List<KeyValue>) -> Unit,
    ): Long? {
        var since: String? = after
        var revision = -1L
        while (true) {
            val end = page(prefix, urgency, since, pageSize, visit) ?: return null
            if (revision < 0) revision = end.revision
            if (!end.hasMore) return revision
            since = end.lastKey
        }
    }

    /** Shows [visit] one page of the keys under [prefix] behind [after]; null when it could not be had. */
    suspend fun page(
        prefix: String,
        urgency: Urgency,
        after: String?,
        pageSize: Int = 500,
        visit: (List<KeyValue>) -> Unit,
    ): PageEnd? {
        val from = if (after == null) "" else "&since=${queryPart(after)}"
        val out = send("GET", "/keys?under=${queryPart(prefix)}$from&page=$pageSize", null, urgency)
        if (out !is Outcome.Answer || out.status != 200) return null
        val o = parseObject(out.body)
        val page = (o.listOrNull("items") ?: emptyList()).map { item(it.asObject()) }
        visit(page)
        return PageEnd(page.lastOrNull()?.key, o["more"]?.toString() == "true" && page.isNotEmpty(), o.long("odometer"))
    }

    /** Runs a transaction of [count] changes. It is put together only when the budget allows it to leave, so that
     * what waited meanwhile goes along. Null from [build]: nothing to do any more. */
    suspend fun transact(
        count: Int,
        urgency: Urgency,
        build: () -> Transaction?,
    ): TransactionResult {
        var borrowed = writes.take(count, urgency, true)
        requests.take(1, urgency)
        while (true) {
            val transact = build() ?: return TransactionResult.Refused
            val r = commit(transact)
            if (r !is TransactionResult.Limited) return r
            if (!borrowed) {
                writes.drained()
                return r
            }
            // Nothing was carried out; now it waits for this node's own share.
            writes.loanRefused()
            writes.take(count, urgency)
            requests.take(1, urgency)
            borrowed = false
        }
    }

    private suspend fun commit(transact: Transaction): TransactionResult {
        val body =
            buildJsonObject {
                put(
                    "when",
                    JsonArray(
                        transact.conditions.map { c ->
                            buildJsonObject {
                                put("k", c.key)
                                put("mark", c.modRevision)
                            }
                        },
                    ),
                )
                put(
                    "then",
                    buildJsonArray {
                        for (c in transact.changes) {
                            add(
                                buildJsonObject {
                                    when (c) {
                                        is Put -> {
                                            put("put", c.key)
                                            put("value", c.value)
                                            if (c.lease !=
                                                null
                                            ) {
                                                put("permit", c.lease)
                                            }
                                        }
                                        is Delete -> put("delete", c.key)
                                    }
                                },
                            )
                        }
                    },
                )
            }
        return when (val out = call("POST", "/txn", body, timeoutMs)) {
            is Outcome.NotSent -> TransactionResult.Refused
            is Outcome.Silence, is Outcome.TooLarge -> TransactionResult.Unknown
            is Outcome.Answer ->
                when (out.status) {
                    200 -> TransactionResult.Applied(parseObject(out.body).long("odometer"))
                    409 ->
                        TransactionResult.Failed(
                            (parseObject(out.body).listOrNull("failed") ?: emptyList()).map { it.asText() }.toSet(),
                        )
                    400 -> refusal(transact, out.body.decodeToString())
                    429 -> TransactionResult.Limited
                    503 -> TransactionResult.Refused
                    else -> TransactionResult.Unknown
                }
        }
    }

    /** The limits may have been lowered since this was decided; the writers of large values try again in another form. */
    private fun refusal(
        transact: Transaction,
        text: String,
    ): TransactionResult {
        if ("no such lease" in text) return TransactionResult.NoSuchLease
        val key = transact.changes.first().key
        if (refusedKinds.add(key.substringBefore('/'))) log.warn("state service refuses {}: {}", key, text)
        return TransactionResult.TooLarge
    }

    /** Kinds of keys of which a refusal has been logged. */
    private val refusedKinds = HashSet<String>()

    suspend fun grant(lifeMs: Long): Long? {
        val out = send("POST", "/grants", buildJsonObject { put("life_ms", lifeMs) }, Urgency.LEASE)
        return if (out is Outcome.Answer && out.status == 200) parseObject(out.body).longOrNull("permit") else null
    }

    /** True: renewed; false: the lease has ended; null: nobody knows. */
    suspend fun renew(lease: Long): Boolean? {
        val out = send("POST", "/grants/$lease/renew", EMPTY_OBJECT, Urgency.LEASE)
        if (out !is Outcome.Answer) return null
        return when (out.status) {
            200 -> true
            404 -> false
            else -> null
        }
    }

    /** Ends a lease that is not wanted; if that fails it ends by itself. */
    suspend fun revoke(lease: Long) {
        send("DELETE", "/grants/$lease", null, Urgency.LEASE)
    }

    suspend fun watch(
        prefix: String,
        since: Long,
        holdMs: Long,
        urgency: Urgency,
    ): WatchEvents? {
        val out =
            send(
                "GET",
                "/watch?under=${queryPart(prefix)}&since=$since&hold_ms=$holdMs",
                null,
                urgency,
                holdMs + timeoutMs,
            )
        // What is too much for one answer is read again in pages, as what the service does not keep any more.
        if (out is Outcome.TooLarge) return WatchEvents(since, emptyList(), true)
        if (out !is Outcome.Answer) return null
        if (out.status == 410) return WatchEvents(since, emptyList(), true)
        if (out.status != 200) return null
        val o = parseObject(out.body)
        return WatchEvents(
            o.long("odometer"),
            (o.listOrNull("news") ?: emptyList()).map {
                val e = it.asObject()
                val put = e.textOrNull("put")
                if (put !=
                    null
                ) {
                    WatchEvent(put, e.child("value") ?: EMPTY_OBJECT, e.long("mark"))
                } else {
                    WatchEvent(e.text("delete"), null, e.long("mark"))
                }
            },
        )
    }
}
