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

/** What can happen to the requests of the controllers to the state store; nothing does unless a test asks for it. */
class StateStoreFaults(
    private val scope: CoroutineScope,
    private val store: StateStoreEmulator,
    private val random: Random,
) {
    /** Hosts of which the state store refuses every request. */
    val refusedHosts = HashSet<String>()

    /** Reads (node, target) that the state store refuses, while it takes all writes. */
    var refusesRead: (Int, String) -> Boolean = { _, _ -> false }

    /** Share of transactions that get no answer and are carried out seconds later, after newer ones. */
    var lateWrites = 0.0

    /** Share of transactions that get no answer and are carried out at once. */
    var lostAnswers = 0.0

    /** Transactions so far that got no answer. */
    var writesWithoutAnswer = 0
        private set

    /** Transactions (node, body) that are carried out at once and whose answer is lost. */
    var loseAnswerOf: (Int, String) -> Boolean = { _, _ -> false }

    /** Transactions (node, body) that get no answer and are carried out so many milliseconds later; null for all others. */
    var holdWriteOf: (Int, String) -> Long? = { _, _ -> null }

    /** Nodes that play the previous version: they announce no format, so that none is raised. */
    val formerVersionNodes = HashSet<Int>()

    /** Requests of a node: those to the state store meet the faults, all others go to [plain]. */
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
        holdWriteOf(node, text)?.let { delayMs -> return withoutAnswer(sent, timeoutMs, delayMs) }
        if (isAnswerLost(node, text)) return withoutAnswer(sent, timeoutMs, executionDelayMs())
        return plain.call(ADDRESS, request.method, request.target, body, timeoutMs)
    }

    /** The transaction as the previous version would write it; null for one that it would not send at all. */
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

    private fun isAnswerLost(
        node: Int,
        body: String,
    ) = random.nextDouble() < lateWrites + lostAnswers || loseAnswerOf(node, body)

    private fun executionDelayMs(): Long {
        val isLate = random.nextDouble() * (lateWrites + lostAnswers) < lateWrites
        return if (isLate) random.nextLong(2000, 12_000) else 2
    }

    /** What was sent is carried out after so long, also when its sender has died; the answer is lost. */
    private suspend fun withoutAnswer(
        request: HttpRequest,
        timeoutMs: Long,
        executionDelayMs: Long,
    ): Outcome {
        writesWithoutAnswer++
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
