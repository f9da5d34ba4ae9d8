package micatally.sim

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.controller.Controller
import micatally.emulator.RuleChecker
import micatally.emulator.RuleViolation
import micatally.emulator.StateStoreEmulator
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.settings.OperatorSettings
import micatally.settings.Settings
import micatally.state.StateLimits
import micatally.wire.asObject
import micatally.wire.bytes
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.parseObject
import micatally.wire.text
import kotlin.random.Random

/**
 * Several controllers, a state store, a cloud, workers and users in simulated time. All randomness comes from the seed,
 * so the course of a simulation depends on the seed and on the order of random draws and coroutine launches. The rules
 * are checked after each [step].
 */
class SimFleet(
    seed: Int,
    val nodes: Int = 3,
    timing: Timing = Timing.PLAIN,
    /**
     * The lower limits of the state store that a node's settings announce; null for none. A change applies to nodes
     * started later.
     */
    var nextLimits: StateLimits? = null,
    limits: StateLimits = StateLimits(250.0, 100.0, 16 * 1024, 48),
) {
    private val zones = listOf("a", "b", "c")
    private val time = SimTime()
    private val settingsFiles = SimSettings(nodes, timing, limits, zones)
    val random = Random(seed)
    val scope get() = time.scope
    val now get() = time.now
    val net = SimNet(scope, Random(seed + 1))
    val state = StateStoreEmulator(limits) { now }
    val stateFaults = StateStoreFaults(scope, state, Random(seed + 2))
    val settings = (0 until nodes).map { Settings.parse(settingsOf(it).bytes()) }

    /**
     * The quotas in force now, by team, against which the rules are checked. A test that changes a quota must change it
     * here too.
     */
    val limitsInForce = HashMap(settings[0].teams)
    val rules = RuleChecker({ limitsInForce[it] }, settings[0].cancelMs)
    val workers = SimWorkers(time, net, random, Random(seed + 3), rules, settings[0], nodes)
    val cloud get() = workers.cloud
    val randomJobs = RandomJobs(random, zones)
    private val starvation = StarvationCheck(rules, cloud, net)

    /** The operator's settings for nodes started from now on. */
    var operator = OperatorSettings.DEFAULT

    /** The controller of each node, null while the node is down. */
    val live = arrayOfNulls<Controller>(nodes)
    private val nodeScopes = arrayOfNulls<CoroutineScope>(nodes)
    private val dispatchers = arrayOfNulls<FreezableDispatcher>(nodes)
    private val sentStartCommands = HashSet<String>()
    private val sentMessages = SentMessageDigest.ofFleet(seed)

    init {
        rules.hangs = { workers.hangs(it) }
        addService("state") { state.handle(it) }
        addService("cloud") { cloud.handle(it) }
        for (node in 0 until nodes) net.hosts["n$node"] = SimNet.Host("n$node", zones[node % 3])
        net.hosts["user"] = SimNet.Host("user", "")
        scope.launch {
            while (true) {
                delay(100)
                state.expire()
            }
        }
    }

    val users =
        SimUsers(time, random, rules, net.callerOf(net.hosts.getValue("user")), nodes) { node -> live[node] != null }

    /** The settings file of a node. */
    fun settingsOf(node: Int) = settingsFiles.of(node, nextLimits)

    private fun addService(
        name: String,
        handle: suspend (HttpRequest) -> HttpResponse,
    ) {
        val host = SimNet.Host(name, "")
        host.scope = scope
        host.handler = { _, request -> handle(request) }
        net.hosts[name] = host
    }

    /** Starts a controller on the node as a new process. Has no effect if one is running there. */
    fun startNode(node: Int) {
        if (live[node] != null) return
        val host = net.hosts.getValue("n$node")
        val dispatcher = FreezableDispatcher(time.dispatcher)
        val nodeScope = CoroutineScope(SupervisorJob() + dispatcher + time.exceptionHandler)
        val http = callerOf(node, host)
        val skew = 1.0 + random.nextDouble(0.0005)
        val base = random.nextLong(1_000_000)
        val controller =
            Controller(
                nodeScope,
                Settings.parse(settingsOf(node).bytes()),
                http,
                Random(random.nextLong()),
                { base + (now * skew).toLong() },
                { now },
                operator,
            )
        host.scope = nodeScope
        host.handler = { address, request ->
            val response = if (address.endsWith(":81")) controller.handlePeer(request) else controller.handle(request)
            sentMessages?.response(now, "n$node", "${request.method} ${request.target}", response)
            response
        }
        dispatchers[node] = dispatcher
        nodeScopes[node] = nodeScope
        live[node] = controller
        controller.start()
    }

    private fun callerOf(
        node: Int,
        host: SimNet.Host,
    ): HttpCaller {
        val caller = stateFaults.callerOf(node, host, net.callerOf(host))
        return HttpCaller { address, method, target, body, timeoutMs ->
            sentMessages?.request(now, "n$node", address, method, target, body)
            if (target == "/orders") reportStartCommands(body)
            caller.call(address, method, target, body, timeoutMs)
        }
    }

    /** Reports each start command that a controller sends to the rule checker, and whether it is a repeated one. */
    private fun reportStartCommands(body: ByteArray?) {
        val text = body?.decodeToString() ?: return
        if ("\"run\"" !in text) return
        for (element in parseObject(body).listOrNull("radio") ?: emptyList()) {
            val command = element.asObject()
            if (command.text("call") != "run") continue
            val task = command.text("lap")
            val isRepeat = !sentStartCommands.add("$task#${command.long("start")}")
            rules.runSent(task.substringBeforeLast('/'), now, isRepeat)
        }
    }

    /** Ends the node's process. Messages that it has sent are still delivered. */
    fun crash(node: Int) {
        val host = net.hosts.getValue("n$node")
        host.scope = null
        host.handler = null
        nodeScopes[node]?.cancel()
        live[node] = null
    }

    /** Stops all execution on the node, while its clocks go on, until [unfreeze]. */
    fun freeze(node: Int) {
        dispatchers[node]?.frozen = true
    }

    /** Resumes a frozen node. All that has become due meanwhile runs at once. */
    fun unfreeze(node: Int) {
        dispatchers[node]?.frozen = false
    }

    /** Makes the state store enforce [nextLimits] from now on. */
    fun lowerLimits() {
        state.limits = checkNotNull(nextLimits) { "the fleet has no lower limits to apply" }
    }

    /** See [StarvationCheck.check]. */
    fun checkStarvation(maxMs: Long = 90_000) = starvation.check(now, maxMs)

    /** Adds an event to the log that a failed test prints. */
    fun note(event: String) = time.note(event)

    /** Runs the fleet until the node has answered a user's request; see [SimUsers.askNode]. */
    fun asked(
        node: Int,
        method: String,
        target: String,
        body: ByteArray? = null,
    ): Pair<Int, String?> {
        var answer: Pair<Int, String?>? = null
        scope.launch { answer = users.askNode(node, method, target, body) }
        while (answer == null) step(20)
        return answer
    }

    /**
     * Lets [ms] milliseconds pass, then checks the rules. Fails the test if one is broken or a coroutine has failed.
     */
    fun step(ms: Long) {
        time.advance(ms)
        time.failure?.let { throw time.failed(it) }
        try {
            rules.check(now)
        } catch (violation: RuleViolation) {
            throw time.failed(violation)
        }
    }

    /** Lets at least [ms] milliseconds pass and checks the rules every 100 ms. */
    fun runFor(ms: Long) {
        val until = now + ms
        while (now < until) step(100)
    }

    /** Ends all processes. To be called after each test. */
    fun close() {
        nodeScopes.forEach { it?.cancel() }
        time.close()
        sentMessages?.write()
    }
}
