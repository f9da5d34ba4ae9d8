package micatally.emulator

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.errorResponse
import micatally.state.StateLimits
import micatally.wire.EMPTY_OBJECT
import micatally.wire.asObject
import micatally.wire.child
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.longOrNull
import micatally.wire.parseObject
import micatally.wire.text
import micatally.wire.textOrNull
import java.util.TreeMap

/** How many keys a prefix has, and their size together with their values, in characters of key and JSON. */
class StoredKeys(
    val count: Int,
    val bytes: Long,
)

/** Emulates the HTTP API of the state service and keeps all data in memory. Times are in milliseconds of [nowMs]. */
class StateStoreEmulator(
    limits: StateLimits? = null,
    private val nowMs: () -> Long,
) {
    /** Rate limit: [take] succeeds for up to [perSecond] operations a second, with a burst of one second's worth. */
    private inner class TokenBucket(
        private val perSecond: Double,
    ) {
        private var tokens = perSecond
        private var refilledAtMs = nowMs()

        fun take(count: Int): Boolean {
            val now = nowMs()
            tokens = minOf(perSecond, tokens + (now - refilledAtMs) * perSecond / 1000)
            refilledAtMs = now
            if (tokens < count) return false
            tokens -= count
            return true
        }
    }

    /** The limits in force; null: none. They may be lowered at any time; larger values already stored stay. */
    var limits: StateLimits? = limits
        set(value) {
            field = value
            requestBucket = value?.let { TokenBucket(it.rps) }
            writeBucket = value?.let { TokenBucket(it.writeRps) }
        }
    private var requestBucket = limits?.let { TokenBucket(it.rps) }
    private var writeBucket = limits?.let { TokenBucket(it.writeRps) }

    /** How many puts and deletes the committed transactions had. */
    var changesMade = 0
        private set

    /** Size of the largest value that a transaction tried to put, in characters of JSON. */
    var largestValue = 0
        private set

    /** How many requests were refused with status 429 because of a rate limit. */
    var limited = 0
        private set

    private val changesByPrefix = java.util.TreeMap<String, Long>()

    /** How many puts, deletes and removals with a lease there were, by the prefix of their keys. */
    fun changesByPrefix(): Map<String, Long> = java.util.TreeMap(changesByPrefix)

    /** Number and size of the stored keys, by their prefix. */
    fun storedByPrefix(): Map<String, StoredKeys> =
        keys.entries.groupBy { prefixOf(it.key) }.mapValues { (_, entries) ->
            StoredKeys(
                entries.size,
                entries.sumOf {
                    it.key.length.toLong() +
                        it.value.value
                            .toString()
                            .length
                },
            )
        }

    private fun refuseOverLimit(): HttpResponse {
        limited++
        return errorResponse(429, "too many")
    }

    private class Entry(
        val value: JsonObject,
        val modRevision: Long,
        val lease: Long?,
    )

    private class Lease(
        val lifeMs: Long,
        var expiresAtMs: Long,
    )

    /** A change for watches; [value] is null if the key was removed. */
    private class Change(
        val key: String,
        val value: JsonObject?,
        val modRevision: Long,
    )

    private val keys = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Lease>()
    private val changes = ArrayDeque<Change>()

    /** Revision of the newest change that is no longer in [changes]: a watch from before it can't be served. */
    private var droppedRevision = 0L
    private var nextLease = 1L
    private var waiters = ArrayList<CompletableDeferred<Unit>>()

    /** Revision of the last change. */
    var revision = 0L
        private set

    /**
     * While set, requests are answered with status 503 and watches are held. No lease expires meanwhile. When the
     * outage ends, each lease is renewed.
     */
    var down = false
        set(value) {
            field = value
            if (!value) for (lease in leases.values) lease.expiresAtMs = nowMs() + lease.lifeMs
        }

    /** The stored value of [key]; null if there is none. */
    fun value(key: String) = keys[key]?.value

    /** Stores keys before a run: all under one revision, and without a change for watches. */
    fun preload(values: Map<String, JsonObject>) {
        revision++
        for ((key, value) in values) keys[key] = Entry(value, revision, null)
    }

    fun keysUnder(prefix: String) = keys.keys.filter { it.startsWith(prefix) }

    /** Ends the leases that have expired; their keys are removed. */
    fun expire() {
        if (down) return
        val now = nowMs()
        for (id in leases.filterValues { it.expiresAtMs < now }.keys) endLease(id)
    }

    private fun endLease(id: Long) {
        leases.remove(id)
        val removedKeys = keys.filterValues { it.lease == id }.keys.toList()
        if (removedKeys.isEmpty()) return
        revision++
        for (key in removedKeys) {
            keys.remove(key)
            record(Change(key, null, revision))
        }
        wakeWatches()
    }

    private fun record(change: Change) {
        changesByPrefix.merge(prefixOf(change.key), 1L, Long::plus)
        changes.addLast(change)
        while (changes.size > 10_000) droppedRevision = changes.removeFirst().modRevision
    }

    private fun wakeWatches() {
        val woken = waiters
        waiters = ArrayList()
        for (waiter in woken) waiter.complete(Unit)
    }

    private fun json(
        status: Int,
        body: JsonObject,
    ) = HttpResponse(status, body.toString().encodeToByteArray())

    private fun item(
        key: String,
        entry: Entry,
    ) = buildJsonObject {
        put("k", key)
        put("value", entry.value)
        put("mark", entry.modRevision)
        if (entry.lease != null) {
            put("permit", entry.lease)
        }
    }

    /** Answers a request of a controller. A watch suspends until there are changes or its time is over. */
    suspend fun handle(request: HttpRequest): HttpResponse {
        if (!down && requestBucket?.take(1) == false) return refuseOverLimit()
        if (request.path == "/watch") return watch(request)
        if (down) return errorResponse(503, "trouble")
        expire()
        return when {
            request.path == "/txn" -> transact(parseObject(request.body))
            request.path == "/keys" -> list(request)
            request.path.startsWith("/keys/") -> {
                val key = request.path.removePrefix("/keys/")
                keys[key]?.let { json(200, item(key, it)) } ?: json(404, buildJsonObject { put("odometer", revision) })
            }
            request.path == "/grants" -> {
                val id = nextLease++
                val lifeMs = parseObject(request.body).long("life_ms")
                leases[id] = Lease(lifeMs, nowMs() + lifeMs)
                json(200, buildJsonObject { put("permit", id) })
            }
            request.path.endsWith("/renew") -> {
                val lease =
                    leases[
                        request.path
                            .removePrefix("/grants/")
                            .removeSuffix("/renew")
                            .toLongOrNull(),
                    ]
                if (lease == null) {
                    errorResponse(404, "no such lease")
                } else {
                    lease.expiresAtMs = nowMs() + lease.lifeMs
                    json(200, EMPTY_OBJECT)
                }
            }
            request.path.startsWith("/grants/") && request.method == "DELETE" -> {
                request.path
                    .removePrefix("/grants/")
                    .toLongOrNull()
                    ?.let { endLease(it) }
                json(200, EMPTY_OBJECT)
            }
            else -> errorResponse(400, "malformed")
        }
    }

    /**
     * Runs a transaction: refuses it if it is over a limit, fails if a condition doesn't hold, and otherwise makes all
     * its changes under one new revision.
     */
    private fun transact(body: JsonObject): HttpResponse {
        val operations = body.listOrNull("then") ?: emptyList()
        val limits = this.limits
        if (limits != null &&
            (
                operations.size > limits.maxOperationsPerTransaction ||
                    (body.listOrNull("when") ?: emptyList()).size > limits.maxOperationsPerTransaction * 4 ||
                    body.toString().length > 64 * 1024
            )
        ) {
            return errorResponse(400, "too large")
        }
        if (writeBucket?.take(operations.size) == false) return refuseOverLimit()
        val failed =
            (body.listOrNull("when") ?: emptyList())
                .map { it.asObject() }
                .filter { (keys[it.text("k")]?.modRevision ?: 0L) != it.long("mark") }
                .map { it.text("k") }
        if (failed.isNotEmpty()) {
            return json(
                409,
                buildJsonObject {
                    put("failed", JsonArray(failed.map { JsonPrimitive(it) }))
                    put("odometer", revision)
                },
            )
        }
        val changeRequests = (body.listOrNull("then") ?: emptyList()).map { it.asObject() }
        for (change in changeRequests) {
            val lease = change.longOrNull("permit")
            if (lease != null && lease !in leases) {
                return errorResponse(400, "no such lease")
            }
        }
        for (change in changeRequests) {
            change.child("value")?.toString()?.length?.let { size ->
                largestValue = maxOf(largestValue, size)
                if (limits != null && size > limits.valueBytes) return errorResponse(400, "the value is too large")
            }
        }
        changesMade += changeRequests.size
        if (changeRequests.isNotEmpty()) {
            revision++
            for (change in changeRequests) {
                val putKey = change.textOrNull("put")
                if (putKey != null) {
                    val value = change.child("value") ?: EMPTY_OBJECT
                    keys[putKey] = Entry(value, revision, change.longOrNull("permit"))
                    record(Change(putKey, value, revision))
                } else {
                    val deletedKey = change.text("delete")
                    if (keys.remove(deletedKey) != null) record(Change(deletedKey, null, revision))
                }
            }
            wakeWatches()
        }
        return json(200, buildJsonObject { put("odometer", revision) })
    }

    private fun list(request: HttpRequest): HttpResponse {
        val prefix = request.query["under"] ?: ""
        val since = request.query["since"]
        val pageSize = minOf(request.query["page"]?.toIntOrNull() ?: 1000, 1000)
        val found =
            keys
                .tailMap(
                    if (since != null && since >= prefix) {
                        since
                    } else {
                        prefix
                    },
                    since == null || since < prefix,
                ).entries
                .asSequence()
                .takeWhile { it.key.startsWith(prefix) }
                .take(pageSize + 1)
                .toList()
        return json(
            200,
            buildJsonObject {
                put("items", JsonArray(found.take(pageSize).map { item(it.key, it.value) }))
                put("more", found.size > pageSize)
                put("odometer", revision)
            },
        )
    }

    /** Waits for changes under a prefix; while the service is down it answers nothing. */
    private suspend fun watch(request: HttpRequest): HttpResponse {
        val prefix = request.query["under"] ?: ""
        val since = request.query["since"]?.toLongOrNull() ?: 0L
        val heldUntilMs = nowMs() + (request.query["hold_ms"]?.toLongOrNull() ?: 0L)
        while (true) {
            if (!down) {
                expire()
                if (since < droppedRevision) return errorResponse(410, "too old")
                val newChanges = changes.takeLastWhile { it.modRevision > since }.filter { it.key.startsWith(prefix) }
                if (newChanges.isNotEmpty() || nowMs() >= heldUntilMs) {
                    return json(
                        200,
                        buildJsonObject {
                            put("odometer", revision)
                            put(
                                "news",
                                JsonArray(
                                    newChanges.map { change ->
                                        buildJsonObject {
                                            if (change.value != null) {
                                                put("put", change.key)
                                                put("value", change.value)
                                            } else {
                                                put("delete", change.key)
                                            }
                                            put("mark", change.modRevision)
                                        }
                                    },
                                ),
                            )
                        },
                    )
                }
            }
            val waiter = CompletableDeferred<Unit>()
            waiters.add(waiter)
            withTimeoutOrNull(if (down) 100L else minOf(100L, maxOf(1L, heldUntilMs - nowMs()))) { waiter.await() }
            waiters.remove(waiter)
        }
    }

    private companion object {
        /** The common prefix of keys of one kind: the first two parts, without the last part if the key has several. */
        fun prefixOf(key: String): String {
            val parts = key.split('/')
            return parts.take(minOf(2, maxOf(1, parts.size - 1))).joinToString("/")
        }
    }
}
