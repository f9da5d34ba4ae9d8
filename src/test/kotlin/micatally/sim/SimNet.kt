package micatally.sim

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.Outcome
import micatally.wire.long
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random

enum class CutMode { HOLD, RESET }

/** Hosts, messages between them, and what can happen to messages. */
class SimNet(
    private val scope: CoroutineScope,
    private val random: Random,
) {
    class Host(
        val name: String,
        var zone: String,
    ) {
        var scope: CoroutineScope? = null
        var handler: (
            suspend (
                String,
                HttpRequest,
            ) -> HttpResponse
        )? = null
        var dark = false
    }

    class Cut(
        val between: (Host, Host) -> Boolean,
        val mode: CutMode,
    ) {
        val over = CompletableDeferred<Unit>()
    }

    val hosts = HashMap<String, Host>()
    val cuts = ArrayList<Cut>()

    /** Hosts that nothing reaches though what they send arrives; the answers to it are lost. */
    val deaf = HashSet<String>()

    /** Hosts that answer late, and by how much; controllers refuse each other's connections while [peersRefuse]. */
    val slowMs = HashMap<String, Long>()
    var peersRefuse = false

    /** Share of reports of which a copy comes late, and how late. */
    var lateCopies = 0.0
    var lateCopyMs = 500L..25_000L

    /** Hosts that can open no connection, while others reach them. */
    val mute = HashSet<String>()

    /** Commands to these hosts are held up for so long, whatever their sender does meanwhile; or only the answers are. */
    val heldCommandsMs = HashMap<String, Long>()
    val heldAnswersMs = HashMap<String, Long>()

    /** While set, a copy of each report is kept, to be delivered by [deliverKept]. */
    var keepReports = false
    private val kept = ArrayList<HttpRequest>()
    val keptCount get() = kept.size

    /** The copies that were kept reach these hosts now. */
    fun deliverKept(names: List<String>) {
        val all = kept.toList()
        kept.clear()
        for (name in names) {
            for (report in all) run(hosts.getValue(name), "$name:80", report, CompletableDeferred())
        }
    }

    fun host(addr: String) = hosts[addr.substringBefore(':')]

    fun callerOf(from: Host) =
        HttpCaller { addr, method, target, body, timeoutMs ->
            val to = host(addr)
            val request = HttpRequest(method, target, body ?: ByteArray(0))
            if (from.name in mute) {
                delay(timeoutMs)
                Outcome.NotSent
            } else if (to?.dark == true) {
                delay(timeoutMs)
                Outcome.NotSent
            } else if (to?.scope == null || peersRefuse && addr.endsWith(":81")) {
                delay(1 + random.nextLong(3))
                Outcome.NotSent
            } else {
                withTimeoutOrNull(timeoutMs) {
                    deliver(from, to, addr, request, target)
                } ?: Outcome.NoResponse
            }
        }

    private suspend fun deliver(
        from: Host,
        to: Host,
        addr: String,
        request: HttpRequest,
        target: String,
    ): Outcome {
        delay(1 + random.nextLong(4) + (slowMs[to.name] ?: 0L))
        val answer = CompletableDeferred<Outcome>()
        val cut = cuts.firstOrNull { it.between(from, to) || it.between(to, from) }
        if (cut != null && cut.mode == CutMode.RESET) {
            return if (random.nextBoolean()) Outcome.NotSent else Outcome.NoResponse
        }
        // What was sent goes on by itself, also when its sender has given up or died.
        scope.launch {
            if (cut != null) {
                cut.over.await()
                delay(random.nextLong(2000))
            }
            if (target == "/orders") heldCommandsMs[to.name]?.let { delay(it) }
            if (to.name in deaf) return@launch
            run(to, addr, request, answer)
        }
        if (target == "/v1/report" && random.nextDouble() < lateCopies) {
            scope.launch {
                delay(random.nextLong(lateCopyMs.first, lateCopyMs.last))
                run(to, addr, request, CompletableDeferred())
            }
        }
        if (target == "/v1/report" && keepReports) kept.add(request)
        val outcome = answer.await()
        delay(1 + random.nextLong(4) + if (target == "/orders") heldAnswersMs[to.name] ?: 0L else 0L)
        if (from.name in deaf || cuts.any { it.between(from, to) || it.between(to, from) }) {
            delay(1_000_000)
        }
        return outcome
    }

    private fun run(
        to: Host,
        addr: String,
        request: HttpRequest,
        answer: CompletableDeferred<Outcome>,
    ) {
        val scope = to.scope ?: return
        val handle = to.handler ?: return
        scope.launch {
            val response = handle(addr, request)
            answer.complete(Outcome.Answer(response.status, response.body))
        }
    }
}

/** A node's thread: while it stands still nothing of it runs, though clocks go on; then all that is due runs at once. */
@OptIn(InternalCoroutinesApi::class)
class Stoppable(
    private val inner: CoroutineDispatcher,
) : CoroutineDispatcher(),
    Delay {
    private val due = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    var frozen = false
        set(isFrozen) {
            field = isFrozen
            if (isFrozen) return
            for ((context, block) in due) inner.dispatch(context, block)
            due.clear()
        }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        if (frozen) due.addLast(context to block) else inner.dispatch(context, block)
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer =
            (inner as Delay).invokeOnTimeout(timeMillis, {
                dispatch(continuation.context) { with(continuation) { resumeUndispatched(Unit) } }
            }, continuation.context)
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ) = (inner as Delay).invokeOnTimeout(timeMillis, { dispatch(context, block) }, context)
}
