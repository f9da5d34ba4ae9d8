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

/** Keys of one prefix: how many, and their size with their values. */
class StoredKeys(
    val count: Int,
    val bytes: Long,
)

/** The state service as the protocol page describes it, kept in memory. */
class StateStoreEmulator(
    limits: StateLimits? = null,
    private val nowMs: () -> Long,
) {
    private inner class Bucket(
        private val perSecond: Double,
    ) {
        private var tokens = perSecond
        private var at = nowMs()

        fun take(n: Int): Boolean {
            val now = nowMs()
            tokens = minOf(perSecond, tokens + (now - at) * perSecond / 1000)
            at = now
            if (tokens < n) return false
            tokens -= n
            return true
        }
    }

    /** May be lowered at any moment; what is stored already stays. */
    var limits: StateLimits? = limits
        set(value) {
            field = value
            requests = value?.let { Bucket(it.rps) }
            writes = value?.let { Bucket(it.writeRps) }
        }
    private var requests = limits?.let { Bucket(it.rps) }
    private var writes = limits?.let { Bucket(it.writeRps) }

    /** Changes made, the largest value among them, and requests turned away over the limits. */
    var changesMade = 0
        private set
    var largestValue = 0
        private set
    var limited = 0
        private set

    private val changesByPrefix = java.util.TreeMap<String, Long>()

    /** How many changes were made, by the prefix of their keys. */
    fun changesByPrefix(): Map<String, Long> = java.util.TreeMap(changesByPrefix)

    /** What is stored, by the prefix of the keys. */
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

    private fun overLimit(): HttpResponse {
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
        var endsAt: Long,
    )

    private class Change(
        val key: String,
        val value: JsonObject?,
        val modRevision: Long,
    )

    private val keys = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Lease>()
    private val changes = ArrayDeque<Change>()
    private var dropped = 0L
    private var nextLease = 1L
    private var waiters = ArrayList<CompletableDeferred<Unit>>()
    var revision = 0L
        private set
    var down = false
        set(v) {
            field = v
            if (!v) for (l in leases.values) l.endsAt = nowMs() + l.lifeMs
        }

    fun value(key: String) = keys[key]?.value

    /** Keys that are there from the start, under one revision. */
    fun preload(values: Map<String, JsonObject>) {
        revision++
        for ((key, value) in values) keys[key] = Entry(value, revision, null)
    }

    fun keysUnder(prefix: String) = keys.keys.filter { it.startsWith(prefix) }

    fun expire() {
        if (down) return
        val now = nowMs()
        for (id in leases.filterValues { it.endsAt < now }.keys) end(id)
    }

    private fun end(id: Long) {
        leases.remove(id)
        val gone = keys.filterValues { it.lease == id }.keys.toList()
        if (gone.isEmpty()) return
        revision++
        for (k in gone) {
            keys.remove(k)
            log(Change(k, null, revision))
        }
        wake()
    }

    private fun log(c: Change) {
        changesByPrefix.merge(prefixOf(c.key), 1L, Long::plus)
        changes.addLast(c)
        while (changes.size > 10_000) dropped = changes.removeFirst().modRevision
    }

    private fun wake() {
        val w = waiters
        waiters = ArrayList()
        for (d in w) d.complete(Unit)
    }

    private fun json(
        status: Int,
        o: JsonObject,
    ) = HttpResponse(status, o.toString().encodeToByteArray())

    private fun item(
        k: String,
        e: Entry,
    ) = buildJsonObject {
        put("k", k)
        put("value", e.value)
        put("mark", e.modRevision)
        if (e.lease !=
            null
        ) {
            put("permit", e.lease)
        }
    }

    suspend fun handle(r: HttpRequest): HttpResponse {
        if (!down && requests?.take(1) == false) return overLimit()
        if (r.path == "/watch") return watch(r)
        if (down) return errorResponse(503, "trouble")
        expire()
        return when {
            r.path == "/txn" -> transact(parseObject(r.body))
            r.path == "/keys" -> list(r)
            r.path.startsWith("/keys/") -> {
                val k = r.path.removePrefix("/keys/")
                keys[k]?.let { json(200, item(k, it)) } ?: json(404, buildJsonObject { put("odometer", revision) })
            }
            r.path == "/grants" -> {
                val id = nextLease++
                val life = parseObject(r.body).long("life_ms")
                leases[id] = Lease(life, nowMs() + life)
                json(200, buildJsonObject { put("permit", id) })
            }
            r.path.endsWith("/renew") -> {
                val l =
                    leases[
                        r.path
                            .removePrefix("/grants/")
                            .removeSuffix("/renew")
                            .toLongOrNull(),
                    ]
                if (l ==
                    null
                ) {
                    errorResponse(404, "no such lease")
                } else {
                    l.endsAt = nowMs() + l.lifeMs
                    json(200, EMPTY_OBJECT)
                }
            }
            r.path.startsWith("/grants/") && r.method == "DELETE" -> {
                r.path
                    .removePrefix("/grants/")
                    .toLongOrNull()
                    ?.let { end(it) }
                json(200, EMPTY_OBJECT)
            }
            else -> errorResponse(400, "malformed")
        }
    }

    private fun transact(o: JsonObject): HttpResponse {
        val changed = o.listOrNull("then") ?: emptyList()
        val limits = this.limits
        if (limits != null &&
            (
                changed.size > limits.maxOperationsPerTransaction ||
                    (o.listOrNull("when") ?: emptyList()).size > limits.maxOperationsPerTransaction * 4 ||
                    o.toString().length > 64 * 1024
            )
        ) {
            return errorResponse(400, "too large")
        }
        if (writes?.take(changed.size) == false) return overLimit()
        val failed =
            (o.listOrNull("when") ?: emptyList())
                .map { it.asObject() }
                .filter {
                    (
                        keys[it.text("k")]?.modRevision
                            ?: 0L
                    ) !=
                        it.long("mark")
                }.map { it.text("k") }
        if (failed.isNotEmpty()) {
            return json(
                409,
                buildJsonObject {
                    put("failed", JsonArray(failed.map { JsonPrimitive(it) }))
                    put("odometer", revision)
                },
            )
        }
        val then = (o.listOrNull("then") ?: emptyList()).map { it.asObject() }
        for (c in then) {
            val l = c.longOrNull("permit")
            if (l != null &&
                l !in leases
            ) {
                return errorResponse(400, "no such lease")
            }
        }
        for (c in then) {
            c.child("value")?.toString()?.length?.let { n ->
                largestValue = maxOf(largestValue, n)
                if (limits != null && n > limits.valueBytes) return errorResponse(400, "the value is too large")
            }
        }
        changesMade += then.size
        if (then.isNotEmpty()) {
            revision++
            for (c in then) {
                val k = c.textOrNull("put")
                if (k != null) {
                    val v = c.child("value") ?: EMPTY_OBJECT
                    keys[k] = Entry(v, revision, c.longOrNull("permit"))
                    log(Change(k, v, revision))
                } else {
                    val d = c.text("delete")
                    if (keys.remove(d) != null) log(Change(d, null, revision))
                }
            }
            wake()
        }
        return json(200, buildJsonObject { put("odometer", revision) })
    }

    private fun list(r: HttpRequest): HttpResponse {
        val prefix = r.query["under"] ?: ""
        val since = r.query["since"]
        val page = minOf(r.query["page"]?.toIntOrNull() ?: 1000, 1000)
        val all =
            keys
                .tailMap(
                    if (since != null &&
                        since >= prefix
                    ) {
                        since
                    } else {
                        prefix
                    },
                    since == null || since < prefix,
                ).entries
                .asSequence()
                .takeWhile { it.key.startsWith(prefix) }
                .take(page + 1)
                .toList()
        return json(
            200,
            buildJsonObject {
                put("items", JsonArray(all.take(page).map { item(it.key, it.value) }))
                put("more", all.size > page)
                put("odometer", revision)
            },
        )
    }

    private suspend fun watch(r: HttpRequest): HttpResponse {
        val prefix = r.query["under"] ?: ""
        val since = r.query["since"]?.toLongOrNull() ?: 0L
        val until = nowMs() + (r.query["hold_ms"]?.toLongOrNull() ?: 0L)
        while (true) {
            if (!down) {
                expire()
                if (since < dropped) return errorResponse(410, "too old")
                val news = changes.takeLastWhile { it.modRevision > since }.filter { it.key.startsWith(prefix) }
                if (news.isNotEmpty() || nowMs() >= until) {
                    return json(
                        200,
                        buildJsonObject {
                            put("odometer", revision)
                            put(
                                "news",
                                JsonArray(
                                    news.map { c ->
                                        buildJsonObject {
                                            if (c.value != null) {
                                                put("put", c.key)
                                                put("value", c.value)
                                            } else {
                                                put("delete", c.key)
                                            }
                                            put("mark", c.modRevision)
                                        }
                                    },
                                ),
                            )
                        },
                    )
                }
            }
            val d = CompletableDeferred<Unit>()
            waiters.add(d)
            withTimeoutOrNull(if (down) 100L else minOf(100L, maxOf(1L, until - nowMs()))) { d.await() }
            waiters.remove(d)
        }
    }

    private companion object {
        /** What the keys of one kind share: the first two parts, without the last part of the key. */
        fun prefixOf(key: String): String {
            val parts = key.split('/')
            return parts.take(minOf(2, maxOf(1, parts.size - 1))).joinToString("/")
        }
    }
}
