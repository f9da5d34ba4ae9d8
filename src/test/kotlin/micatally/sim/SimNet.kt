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

/** What happens to messages across a [SimNet.Cut]: HOLD delivers requests once it is over; RESET fails them at once. */
enum class CutMode { HOLD, RESET }

/** The simulated network: the hosts, the messages between them, and faults that affect messages. */
class SimNet(
    private val scope: CoroutineScope,
    private val random: Random,
) {
    /**
     * A process or machine with an address. [handler] answers requests in [scope]. While [scope] is null, connections
     * fail.
     */
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

        /** Whether the machine is powered off: connections to it hang until they time out. */
        var isPoweredOff = false
    }

    /** A partition: no message passes between two hosts for which [between] holds in either direction. */
    class Cut(
        val between: (Host, Host) -> Boolean,
        val mode: CutMode,
    ) {
        /** Completed when the partition ends; held messages are delivered then. */
        val healed = CompletableDeferred<Unit>()
    }

    val hosts = HashMap<String, Host>()
    val cuts = ArrayList<Cut>()

    /** Hosts that no message reaches. What they send arrives, but the responses to it are lost. */
    val inboundBlocked = HashSet<String>()

    /** Extra latency of requests to a host, in milliseconds. */
    val extraLatencyMs = HashMap<String, Long>()

    /** While true, controllers refuse connections of each other. */
    var peersRefuse = false

    /** The share of heartbeats of which a second copy is delivered late. */
    var lateCopyShare = 0.0

    /** The range of the delay of those copies, in milliseconds. */
    var lateCopyDelayMs = 500L..25_000L

    /** Hosts that can open no connections, while others can reach them. */
    val outboundBlocked = HashSet<String>()

    /**
     * The delay of commands to a host, in milliseconds. They are delivered even if their sender gives up or ends
     * meanwhile.
     */
    val commandDelayMs = HashMap<String, Long>()

    /** The delay of the responses of a host to commands, in milliseconds. */
    val responseDelayMs = HashMap<String, Long>()

    /** While true, a copy of each heartbeat is kept for [deliverKeptHeartbeats]. */
    var keepsHeartbeats = false
    private val keptHeartbeats = ArrayList<HttpRequest>()
    val keptHeartbeatCount get() = keptHeartbeats.size

    /** While true, a copy of each command request that is answered is kept for [deliverKeptCommands]. */
    var keepsCommands = false
    private val keptCommands = ArrayList<KeptCommand>()

    /** A command request that a machine has carried out and answered. */
    private class KeptCommand(
        val to: Host,
        val addr: String,
        val request: HttpRequest,
    )

    /** The share of answered command requests of which a second copy is delivered late. */
    var answeredCopyShare = 0.0

    /** The range of the delay of those copies, in milliseconds. */
    var answeredCopyDelayMs = 300L..60_000L

    /**
     * Delivers the kept command requests whose body satisfies [condition] once more, and drops them. Returns how many.
     */
    fun deliverKeptCommands(condition: (body: String) -> Boolean): Int {
        val due = keptCommands.filter { condition(it.request.body.decodeToString()) }
        keptCommands.removeAll(due.toSet())
        for (command in due) run(command.to, command.addr, command.request, CompletableDeferred())
        return due.size
    }

    /** Delivers the kept heartbeats to these hosts now. */
    fun deliverKeptHeartbeats(names: List<String>) {
        val all = keptHeartbeats.toList()
        keptHeartbeats.clear()
        for (name in names) {
            for (heartbeat in all) run(hosts.getValue(name), "$name:80", heartbeat, CompletableDeferred())
        }
    }

    fun host(addr: String) = hosts[addr.substringBefore(':')]

    /** Sends the requests of a host through the network, with its faults. */
    fun callerOf(from: Host) =
        HttpCaller { addr, method, target, body, timeoutMs ->
            val to = host(addr)
            val request = HttpRequest(method, target, body ?: ByteArray(0))
            if (from.name in outboundBlocked) {
                delay(timeoutMs)
                Outcome.NotSent
            } else if (to?.isPoweredOff == true) {
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
        delay(1 + random.nextLong(4) + (extraLatencyMs[to.name] ?: 0L))
        val answer = CompletableDeferred<Outcome>()
        val cut = cuts.firstOrNull { it.between(from, to) || it.between(to, from) }
        if (cut != null && cut.mode == CutMode.RESET) {
            return if (random.nextBoolean()) Outcome.NotSent else Outcome.NoResponse
        }
        // A message that was sent is delivered even if its sender gives up or ends meanwhile.
        scope.launch {
            if (cut != null) {
                cut.healed.await()
                delay(random.nextLong(2000))
            }
            if (target == "/orders") commandDelayMs[to.name]?.let { delay(it) }
            if (to.name in inboundBlocked) return@launch
            run(to, addr, request, answer)
        }
        if (target == "/v1/report" && random.nextDouble() < lateCopyShare) {
            scope.launch {
                delay(random.nextLong(lateCopyDelayMs.first, lateCopyDelayMs.last))
                run(to, addr, request, CompletableDeferred())
            }
        }
        if (target == "/v1/report" && keepsHeartbeats) keptHeartbeats.add(request)
        val outcome = answer.await()
        if (target == "/orders") copyAnswered(KeptCommand(to, addr, request))
        delay(1 + random.nextLong(4) + if (target == "/orders") responseDelayMs[to.name] ?: 0L else 0L)
        if (from.name in inboundBlocked || cuts.any { it.between(from, to) || it.between(to, from) }) {
            delay(1_000_000)
        }
        return outcome
    }

    private fun copyAnswered(command: KeptCommand) {
        if (keepsCommands) keptCommands.add(command)
        if (answeredCopyShare <= 0.0 || random.nextDouble() >= answeredCopyShare) return
        scope.launch {
            delay(random.nextLong(answeredCopyDelayMs.first, answeredCopyDelayMs.last))
            run(command.to, command.addr, command.request, CompletableDeferred())
        }
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

/**
 * The dispatcher of one node. While it is [frozen], nothing runs on it although clocks go on. When it resumes, all that
 * has become due runs at once.
 */
@OptIn(InternalCoroutinesApi::class)
class FreezableDispatcher(
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
