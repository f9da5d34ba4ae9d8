package micatally.sim

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.StateStoreEmulator
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.Outcome
import micatally.membership.Keys
import micatally.upgrade.FormatVersion
import micatally.upgrade.UpgradePlan
import kotlin.random.Random

/** Faults of the requests that controllers send to the state store. None occurs unless a test sets it. */
class StateStoreFaults(
    private val scope: CoroutineScope,
    private val store: StateStoreEmulator,
    private val random: Random,
) {
    /** The hosts whose requests the state store refuses. */
    val refusedHosts = HashSet<String>()

    /** Whether the state store refuses a read, by node and target. Writes are not affected. */
    var refusesRead: (Int, String) -> Boolean = { _, _ -> false }

    /** The share of transactions that get no response and are executed 2 to 12 s later, after newer ones. */
    var lateWriteShare = 0.0

    /** The share of transactions that get no response and are executed at once. */
    var lostResponseShare = 0.0

    /** The number of transactions so far that got no response. */
    var writesWithoutResponse = 0
        private set

    /**
     * Whether the response to a transaction is lost, by node and body; it is executed at once, unless it is drawn as a
     * late one.
     */
    var losesResponseOf: (Int, String) -> Boolean = { _, _ -> false }

    /**
     * By node and body, after how many milliseconds a transaction is executed that gets no response; null if it meets
     * no such fault.
     */
    var holdWriteOf: (Int, String) -> Long? = { _, _ -> null }

    /** Nodes that behave like the previous version: they announce no format, so the format is not raised. */
    val formerVersionNodes = HashSet<Int>()

    /**
     * Sends the requests of a node. Those to the state store are subject to the faults; all others go to [plain]
     * unchanged.
     */
    fun callerOf(
        node: Int,
        host: SimNet.Host,
        plain: HttpCaller,
    ) = HttpCaller { address, method, target, body, timeoutMs ->
        if (address != ADDRESS) {
            plain.call(address, method, target, body, timeoutMs)
        } else if (target == TRANSACTION) {
            transact(node, host, plain, HttpRequest(method, target, body ?: ByteArray(0)), timeoutMs)
        } else if (host.name in refusedHosts || method == "GET" && refusesRead(node, target)) {
            refuse()
        } else {
            plain.call(address, method, target, body, timeoutMs)
        }
    }

    private suspend fun transact(
        node: Int,
        host: SimNet.Host,
        plain: HttpCaller,
        request: HttpRequest,
        timeoutMs: Long,
    ): Outcome {
        val body = asSentByVersionOf(node, request.body) ?: return Outcome.Answer(503, ByteArray(0))
        if (host.name in refusedHosts) return refuse()
        val sent = HttpRequest(request.method, request.target, body)
        val text = body.decodeToString()
        holdWriteOf(node, text)?.let { delayMs -> return executeWithoutResponse(sent, timeoutMs, delayMs) }
        if (isResponseLost(node, text)) return executeWithoutResponse(sent, timeoutMs, executionDelayMs())
        return plain.call(ADDRESS, request.method, request.target, body, timeoutMs)
    }

    /**
     * Returns the transaction as the version of the node sends it; null for one that the previous version does not
     * send.
     */
    private fun asSentByVersionOf(
        node: Int,
        body: ByteArray,
    ): ByteArray? {
        if (node !in formerVersionNodes) return body
        val text = body.decodeToString()
        if (Keys.version("pitbox-$node") in text) return null
        return text.replace(",\"${UpgradePlan.FORMAT_FIELD}\":${FormatVersion.CURRENT}", "").encodeToByteArray()
    }

    private suspend fun refuse(): Outcome {
        delay(3)
        return Outcome.Answer(503, ByteArray(0))
    }

    private fun isResponseLost(
        node: Int,
        body: String,
    ) = random.nextDouble() < lateWriteShare + lostResponseShare || losesResponseOf(node, body)

    private fun executionDelayMs(): Long {
        val isLate = random.nextDouble() * (lateWriteShare + lostResponseShare) < lateWriteShare
        return if (isLate) random.nextLong(2000, 12_000) else 2
    }

    /**
     * Executes the request after [executionDelayMs] milliseconds, even if its sender ends meanwhile, and loses the
     * response.
     */
    private suspend fun executeWithoutResponse(
        request: HttpRequest,
        timeoutMs: Long,
        executionDelayMs: Long,
    ): Outcome {
        writesWithoutResponse++
        scope.launch {
            delay(executionDelayMs)
            store.handle(request)
        }
        delay(timeoutMs)
        return Outcome.NoResponse
    }

    private companion object {
        const val ADDRESS = "state:1"
        const val TRANSACTION = "/txn"
    }
}
