package micatally.sim

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.controller.Controller
import micatally.emulator.CloudEmulator
import micatally.emulator.GangTable
import micatally.emulator.GangTimes
import micatally.emulator.OnMachine
import micatally.emulator.RuleChecker
import micatally.emulator.RuleViolation
import micatally.emulator.StateStoreEmulator
import micatally.emulator.WorkerEmulator
import micatally.emulator.WorkerWorld
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.Outcome
import micatally.membership.Keys
import micatally.scheduling.Placement
import micatally.settings.Operator
import micatally.settings.Settings
import micatally.state.StateLimits
import micatally.upgrade.FormatVersion
import micatally.upgrade.UpgradePlan
import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.Resources
import micatally.wire.asObject
import micatally.wire.bytes
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.parseObject
import micatally.wire.text
import micatally.wire.textOrNull
import kotlin.random.Random

/** The workers' times of a deployment, and how many controllers it has. */
class Timing(
    val reportS: Double,
    val leaseS: Double,
    val cancelS: Double,
    val nodes: Int = 3,
) {
    companion object {
        val PLAIN = Timing(1.0, 10.0, 30.0)

        /** Both first deployments and both large ones. */
        val DEPLOYMENTS =
            mapOf(
                "addis" to Timing(2.0, 10.0, 40.0),
                "hcmc" to Timing(0.8, 10.0, 30.0),
                "addis at size" to Timing(4.0, 22.0, 52.0),
                "hcmc at size" to Timing(3.0, 17.5, 37.5, 5),
                "motor" to Timing(5.0, 24.0, 44.0),
            )
    }
}

/** Several controllers, a state service, a cloud, workers and users on simulated time. */
@OptIn(ExperimentalCoroutinesApi::class)
class SimFleet(
    seed: Int,
    val nodes: Int = 3,
    private val timing: Timing = Timing.PLAIN,
    /** The limits to come that the settings of nodes started from now on name. */
    var nextLimits: StateLimits? = null,
    private val limits: StateLimits = StateLimits(250.0, 100.0, 16 * 1024, 48),
) : WorkerWorld {
    val random = Random(seed)
    override val gangs by lazy {
        GangTable(
            scope,
            GangTimes(settings[0].gangWaitMs, settings[0].gangPeerMs),
            Random(seed + 3),
        ) { now }
    }
    private val scheduler = TestCoroutineScheduler()
    private val dispatcher = StandardTestDispatcher(scheduler)
    var failure: Throwable? = null
    private val handler = CoroutineExceptionHandler { _, e -> if (failure == null) failure = e }
    val scope = CoroutineScope(SupervisorJob() + dispatcher + handler)
    val now get() = scheduler.currentTime
    private val zones = listOf("a", "b", "c")
    val net = SimNet(scope, Random(seed + 1))
    private val machineTypes =
        listOf(
            MachineType("small", Resources(8.0, 0.0, 32.0), 40.0, 1.0, 1.0, 0.3, 6.0, zones),
            MachineType("g8", Resources(96.0, 8.0, 768.0), 400.0, 10.0, 30.0, 8.0, 6.0, zones),
        )
    val state = StateStoreEmulator(limits) { now }
    private val workerHosts = HashMap<String, SimNet.Host>()
    val cloud =
        CloudEmulator(
            scope,
            machineTypes,
            zones
                .flatMap { z ->
                    machineTypes.flatMap { f ->
                        listOf(true, false).map {
                            Triple(f.label, z, it) to
                                8
                        }
                    }
                }.toMap(HashMap()),
            3000,
            { now },
        ) { n, f, z, s -> boot(n, f, z, s) }
    private val controllers = (0 until nodes).associate { "pitbox-$it" to "n$it:80" }
    val settings = (0 until nodes).map { Settings.parse(settingsOf(it).bytes()) }

    /** The limits that nobody may be beyond now. */
    val limitsInForce = HashMap(settings[0].teams)
    val rules = RuleChecker({ limitsInForce[it] }, settings[0].cancelMs)

    /** Operators' settings of nodes started from now on. */
    var operator = Operator.DEFAULT
    private val nodeScopes = arrayOfNulls<CoroutineScope>(nodes)
    val live = arrayOfNulls<Controller>(nodes)
    private val threads = arrayOfNulls<Stoppable>(nodes)

    /** A node stands still while its clocks run on, or goes on. */
    fun freeze(
        i: Int,
        on: Boolean,
    ) {
        threads[i]?.frozen = on
    }

    val stateRefuses = HashSet<String>()

    /** Reads (node, target) that the state service refuses, while it takes all writes. */
    var refusesRead: (Int, String) -> Boolean = { _, _ -> false }

    /** Share of transactions that get no answer and are carried out later, after newer ones; or at once. */
    var lateWrites = 0.0
    var lostAnswers = 0.0
    var writesWithoutAnswer = 0
        private set

    /** Transactions of which [loseAnswerOf] holds are carried out at once, and their answer is lost. */
    var loseAnswerOf: (Int, String) -> Boolean = { _, _ -> false }

    /** Transactions that get no answer and are carried out so much later. */
    var holdWriteOf: (Int, String) -> Long? = { _, _ -> null }
    private val luck = Random(seed + 2)
    private val sentRuns = HashSet<String>()

    /** How long the tasks of a job take, where a test says so. */
    val runs = HashMap<String, Long>()
    private val runTimes = HashMap<Pair<String, Int>, Long>()
    private val log = ArrayDeque<String>()

    fun settingsOf(i: Int) =
        buildJsonObject {
            put("host_name", "pitbox-$i")
            put("location", zones[i % 3])
            put("listen", "n$i:80")
            put("back", "n$i:81")
            put(
                "seeds",
                buildJsonArray {
                    for (k in 0 until nodes) {
                        if (k !=
                            i
                        ) {
                            add(
                                buildJsonObject {
                                    put("host_name", "pitbox-$k")
                                    put("location", zones[k % 3])
                                    put("peer_addr", "n$k:81")
                                },
                            )
                        }
                    }
                },
            )
            put(
                "services",
                buildJsonObject {
                    put("cloud", "cloud:1")
                    put("state", "state:1")
                },
            )
            put(
                "params",
                buildJsonObject {
                    put("initial_size", nodes)
                    put("zones", JsonArray(zones.map { JsonPrimitive(it) }))
                    put(
                        "teams",
                        buildJsonArray {
                            for ((t, max) in listOf("vision" to 60.0, "text" to 24.0)) {
                                add(
                                    buildJsonObject {
                                        put("name", t)
                                        put("cpus", 16.0)
                                        put("cpus_max", max)
                                        put("gpus", 0.0)
                                        put("gpus_max", 20.0)
                                    },
                                )
                            }
                            add(
                                buildJsonObject {
                                    put("name", "cards")
                                    put("cpus", 0.0)
                                    put("cpus_max", 0.0)
                                    put("gpus", 0.0)
                                    put("gpus_max", 8.0)
                                },
                            )
                        },
                    )
                    put(
                        "workers",
                        buildJsonObject {
                            put("report_s", timing.reportS)
                            put("lease_s", timing.leaseS)
                            put("cancel_s", timing.cancelS)
                            put(
                                "gang_wait_s",
                                timing.leaseS * 3.5,
                            )
                            put("gang_peer_s", timing.leaseS * 0.4)
                        },
                    )
                    put(
                        "state",
                        buildJsonObject {
                            put("rps", limits.rps)
                            put("write_rps", limits.writeRps)
                            put("value_kb", limits.valueBytes / 1024.0)
                            put("txn_ops", limits.maxOperationsPerTransaction)
                            nextLimits?.let { n ->
                                put(
                                    "next",
                                    buildJsonObject {
                                        put("rps", n.rps)
                                        put("write_rps", n.writeRps)
                                        put(
                                            "value_kb",
                                            n.valueBytes / 1024.0,
                                        )
                                        put("txn_ops", n.maxOperationsPerTransaction)
                                    },
                                )
                            }
                        },
                    )
                    put(
                        "cloud",
                        buildJsonObject {
                            put("rps", 4)
                            put("list_lag_s", 3)
                        },
                    )
                    put(
                        "machine_limits",
                        buildJsonObject {
                            put("core_share", 0.2)
                            put("memory_mb", 150)
                            put("max_sockets", 500)
                        },
                    )
                    put("time_bound_ms", 100)
                },
            )
        }

    init {
        rules.hangs = { hangs(it) }

        fun fixed(
            name: String,
            zone: String,
            h: suspend (String, HttpRequest) -> HttpResponse,
        ) {
            net.hosts[name] =
                SimNet.Host(name, zone).also {
                    it.scope = scope
                    it.handler = h
                }
        }
        fixed("state", "") { _, r -> state.handle(r) }
        fixed("cloud", "") { _, r -> cloud.handle(r) }
        for (i in 0 until nodes) net.hosts["n$i"] = SimNet.Host("n$i", zones[i % 3])
        net.hosts["user"] = SimNet.Host("user", "")
        scope.launch {
            while (true) {
                delay(100)
                state.expire()
            }
        }
    }

    fun startNode(i: Int) {
        if (live[i] != null) return
        val host = net.hosts.getValue("n$i")
        val thread = Stoppable(dispatcher)
        threads[i] = thread
        val s = CoroutineScope(SupervisorJob() + thread + handler)
        val plain = net.callerOf(host)
        val http =
            HttpCaller { addr, m, t, body, ms ->
                if (t == "/orders") noteRuns(body)
                val b = if (addr == "state:1" && t == "/txn") playsFormer(i, body) else body
                if (b == null && body != null) return@HttpCaller Outcome.Answer(503, ByteArray(0))
                val late =
                    if (addr == "state:1" && t == "/txn" &&
                        host.name !in stateRefuses
                    ) {
                        holdWriteOf(i, b?.decodeToString() ?: "")
                    } else {
                        null
                    }
                val isRead = addr == "state:1" && m == "GET"
                when {
                    isRead && refusesRead(i, t) -> {
                        delay(3)
                        Outcome.Answer(503, ByteArray(0))
                    }
                    addr == "state:1" && host.name in stateRefuses -> {
                        delay(3)
                        Outcome.Answer(503, ByteArray(0))
                    }
                    late != null -> withoutAnswer(HttpRequest(m, t, b ?: ByteArray(0)), ms, late)
                    addr == "state:1" && t == "/txn" && isLost(i, b) ->
                        withoutAnswer(
                            HttpRequest(m, t, b ?: ByteArray(0)),
                            ms,
                            if (luck.nextDouble() *
                                (lateWrites + lostAnswers) <
                                lateWrites
                            ) {
                                luck.nextLong(2000, 12_000)
                            } else {
                                2
                            },
                        )
                    else -> plain.call(addr, m, t, b, ms)
                }
            }
        val skew = 1.0 + random.nextDouble(0.0005)
        val base = random.nextLong(1_000_000)
        val c =
            Controller(
                s,
                Settings.parse(settingsOf(i).bytes()),
                http,
                Random(random.nextLong()),
                { base + (now * skew).toLong() },
                { now },
                operator,
            )
        host.scope = s
        host.handler = { addr, r -> if (addr.endsWith(":81")) c.handlePeer(r) else c.handle(r) }
        nodeScopes[i] = s
        live[i] = c
        c.start()
    }

    /** Hosts that play the previous version: they announce no format, so that none is raised. */
    val former = HashSet<Int>()

    private fun playsFormer(
        node: Int,
        body: ByteArray?,
    ): ByteArray? {
        val text = body?.decodeToString() ?: return body
        if (node !in former) return body
        if (Keys.version("pitbox-$node") in text) return null
        return text.replace(",\"${UpgradePlan.FORMAT_FIELD}\":${FormatVersion.CURRENT}", "").encodeToByteArray()
    }

    /** The state service takes only what is within the limits to come, from now on. */
    fun lowerLimits() {
        state.limits = nextLimits!!
    }

    private fun isLost(
        node: Int,
        body: ByteArray?,
    ) = luck.nextDouble() < lateWrites + lostAnswers || loseAnswerOf(node, body?.decodeToString() ?: "")

    /** What was sent is carried out after so long, also when its sender has died; the answer is lost. */
    private suspend fun withoutAnswer(
        r: HttpRequest,
        timeoutMs: Long,
        afterMs: Long,
    ): Outcome {
        writesWithoutAnswer++
        scope.launch {
            delay(afterMs)
            state.handle(r)
        }
        delay(timeoutMs)
        return Outcome.Silence
    }

    private fun noteRuns(body: ByteArray?) {
        val text = body?.decodeToString() ?: return
        if ("\"run\"" !in text) return
        for (c in parseObject(body).listOrNull("radio") ?: emptyList()) {
            val o = c.asObject()
            if (o.text("call") != "run") continue
            val taskIndex = o.text("lap")
            rules.runSent(taskIndex.substringBeforeLast('/'), now, !sentRuns.add("$taskIndex#${o.long("start")}"))
        }
    }

    fun crash(i: Int) {
        net.hosts.getValue("n$i").let {
            it.scope = null
            it.handler = null
        }
        nodeScopes[i]?.cancel()
        live[i] = null
    }

    private fun boot(
        name: String,
        f: MachineType,
        zone: String,
        isSpot: Boolean,
    ): WorkerEmulator {
        val host = SimNet.Host(name, zone)
        net.hosts[name] = host
        val w =
            WorkerEmulator(
                scope,
                net.callerOf(host),
                this,
                Random(random.nextLong()),
                name,
                "$name:9",
                f.label,
                zone,
                isSpot,
                f.resources,
                f.pullGbPerS,
                settings[0].heartbeatIntervalMs,
                settings[0].leaseMs,
                controllers,
            ) {
                now
            }
        host.scope = scope
        host.handler = { _, r -> w.handle(r) }
        return w
    }

    fun hangs(name: String) = cloud.workers.any { it.name == name && it.hung }

    /** A machine stops with all that is on it: connections to it hang from now on. */
    fun loseShard(w: WorkerEmulator) {
        cloud.take(w.name)
        net.hosts[w.name]?.dark = true
    }

    override fun spec(jobId: String) = rules.specs[jobId]

    override fun runMs(
        jobId: String,
        taskIndex: Int,
    ): Long? =
        if (rules.specs[jobId]?.isService ==
            true
        ) {
            null
        } else {
            runs[jobId] ?: runTimes.getOrPut(jobId to taskIndex) { random.nextLong(500, 12_000) }
        }

    /** Jobs that were submitted with a mistake. */
    val broken = HashSet<String>()

    override fun isBroken(jobId: String) = jobId in broken

    override fun completed(
        jobId: String,
        taskIndex: Int,
    ) = rules.completed[jobId]?.contains(taskIndex) == true

    private fun on(
        m: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
    ) = OnMachine(jobId, taskIndex, m.name, m.type, m.zone, m.isSpot)

    override fun started(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
    ) {
        note("start $jobId/$taskIndex on ${machine.name}")
        rules.started(on(machine, jobId, taskIndex), now)
    }

    override fun left(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
        done: Boolean,
    ) {
        note("left $jobId/$taskIndex on ${machine.name} done=$done")
        rules.left(on(machine, jobId, taskIndex), done)
    }

    private val waitingSince = HashMap<String, Long>()

    /** Whether all tasks of a gang have room at once, in one zone where they have to. */
    private fun fitsWhole(
        s: JobSpec,
        workers: List<WorkerEmulator>,
    ): Boolean {
        val allowed =
            workers.filter { w ->
                (s.types == null || w.type in s.types) && (!w.isSpot || s.isSpot) &&
                    (s.zone == null || w.zone == s.zone)
            }
        val rooms =
            allowed.groupBy { it.zone }.mapValues { (_, list) ->
                minOf(list.sumOf { s.resources.countIn(it.free).toLong() }, Placement.zoneCap(s).toLong())
            }
        return if (s.together) rooms.values.any { it >= s.taskCount } else rooms.values.sum() >= s.taskCount
    }

    /** Once the troubles are over no job waits for long while a machine that fits has room and its team is under its limit.
     * Looked at once a second, for jobs whose tasks may go anywhere that their types and zone allow. */
    fun checkWaiting(maxMs: Long = 90_000) {
        val workers =
            cloud.workers.filter {
                !it.hung && it.name !in net.deaf && it.name !in net.mute &&
                    it.spotNoticeS == null &&
                    !it.sick
            }
        for (jobId in rules.acceptedJobs) {
            val s = rules.specs.getValue(jobId)
            val there = rules.running.filter { it.jobId == jobId }
            val missing =
                s.taskCount - there.size -
                    (rules.completed[jobId]?.count { l -> there.none { it.taskIndex == l } } ?: 0)

            fun allowed(zone: String) =
                (s.zone == null || s.zone == zone) && (!s.together || there.all { it.zone == zone }) &&
                    (!s.scatter || there.count { it.zone == zone } < Placement.zoneCap(s))
            val fits =
                if (s.isGang) {
                    there.isEmpty() && missing > 0 && !rules.isFinal(jobId) &&
                        !rules.isAskedToCancel(jobId) &&
                        rules.underLimit(s, s.taskCount) &&
                        fitsWhole(s, workers)
                } else {
                    missing > 0 && !rules.isFinal(jobId) && !rules.isAskedToCancel(jobId) &&
                        rules.underLimit(s) &&
                        workers.any { w ->
                            (s.types == null || w.type in s.types) && (!w.isSpot || s.isSpot) && allowed(w.zone) &&
                                s.resources.fitsIn(w.free)
                        }
                }
            if (!fits) {
                waitingSince.remove(jobId)
            } else if (now - waitingSince.getOrPut(jobId) { now } >
                maxMs
            ) {
                throw RuleViolation(
                    "waiting",
                    "$jobId waits ${now - waitingSince.getValue(jobId)} ms beside a machine that has room",
                )
            }
        }
    }

    fun note(s: String) {
        log.addLast("$now $s")
        if (log.size > 4000) log.removeFirst()
    }

    // Users

    private val user = net.callerOf(net.hosts.getValue("user"))

    private suspend fun ask(
        method: String,
        target: String,
        body: ByteArray?,
        timeoutMs: Long,
    ): Pair<Int, String?> {
        val up = (0 until nodes).filter { live[it] != null }
        if (up.isEmpty()) {
            delay(500)
            return 0 to null
        }
        return askNode(up.random(random), method, target, body, timeoutMs)
    }

    suspend fun askNode(
        node: Int,
        method: String,
        target: String,
        body: ByteArray? = null,
        timeoutMs: Long = 5000,
    ): Pair<Int, String?> {
        val out = user.call("n$node:80", method, target, body, timeoutMs)
        return if (out is Outcome.Answer) {
            out.status to
                runCatching { parseObject(out.body).textOrNull("status") }.getOrNull()
        } else {
            0 to null
        }
    }

    /** A request to a node's address for controllers. */
    suspend fun askPeerPort(
        node: Int,
        path: String,
        body: ByteArray,
    ): ByteArray? {
        val out = user.call("n$node:81", "POST", path, body, 20_000)
        return (out as? Outcome.Answer)?.takeIf { it.status == 200 }?.body
    }

    /** Answers count in the order in which their user gets them, one question at a time. */
    fun user(
        spec: JobSpec,
        cancelAfterMs: Long?,
        nosy: Boolean = false,
    ) = scope.launch {
        rules.submitted(spec)
        while (true) {
            val (status, _) = ask("POST", "/work", spec.source.bytes(), 5000)
            note("submit ${spec.jobId} $status")
            rules.answeredSubmit(spec.jobId, status)
            if (nosy && status in 200..201) lookClosely(spec)
            if (status in 200..499 && status != 429) break
            delay(1000 + random.nextLong(500))
        }
        val cancelAt = cancelAfterMs?.let { now + it }
        while (true) {
            delay(if (nosy && !rules.isFinal(spec.jobId)) 300 + random.nextLong(1500) else 1000 + random.nextLong(4000))
            if (cancelAt != null && now >= cancelAt && !rules.isFinal(spec.jobId)) {
                rules.asksToCancel(spec.jobId)
                val (status, word) = ask("POST", "/work/${spec.jobId}/cancel", null, 5000)
                note("cancel ${spec.jobId} $status $word")
                if (status == 200) rules.told(spec.jobId, word, now)
                if (nosy && status == 200) lookClosely(spec)
                continue
            }
            val (status, word) = ask("GET", "/work/${spec.jobId}", null, 2000)
            if (rules.isFinal(spec.jobId).not() || status != 200) note("poll ${spec.jobId} $status $word")
            val fresh = !rules.isFinal(spec.jobId)
            rules.answeredPoll(spec.jobId, status, word, now)
            if (nosy && fresh && rules.isFinal(spec.jobId)) lookClosely(spec)
            if (random.nextInt(20) ==
                0
            ) {
                rules.answeredSubmit(spec.jobId, ask("POST", "/work", spec.source.bytes(), 5000).first)
            }
            if (random.nextInt(20) ==
                0
            ) {
                rules.answeredPoll("j-99999", ask("GET", "/work/j-99999", null, 2000).first, "running", now)
            }
        }
    }

    /** Asks at all nodes within milliseconds, several times over, and repeats the submission there. */
    fun lookClosely(spec: JobSpec) {
        for (i in 0 until nodes) {
            if (live[i] != null) {
                for (at in listOf(0L, 3L, 20L, 150L, 800L)) {
                    scope.launch {
                        delay(at)
                        val sentAt = now
                        val (status, word) = askNode(i, "GET", "/work/${spec.jobId}", null, 2000)
                        if (status != 200) note("look ${spec.jobId} at n$i $status $word")
                        rules.answeredPoll(spec.jobId, status, word, now, sentAt)
                    }
                    if (at == 3L || at == 150L) {
                        scope.launch {
                            delay(at)
                            val sentAt = now
                            val (status, word) = askNode(i, "POST", "/work", spec.source.bytes())
                            if (status !in 200..201) note("repeat ${spec.jobId} at n$i $status $word")
                            rules.answeredSubmit(spec.jobId, status, word, now, sentAt)
                        }
                    }
                }
            }
        }
    }

    fun job(n: Int): JobSpec {
        val gang = n >= GANGS_FROM
        val service = !gang && random.nextInt(3) == 0
        val gpus = if (random.nextInt(3) == 0) random.nextInt(1, 4).toDouble() else 0.0
        val taskCount =
            if (service) {
                random.nextInt(1, 4)
            } else if (gang) {
                random.nextInt(2, 7)
            } else {
                random.nextInt(1, 12)
            }
        return JobSpec.parse(
            buildJsonObject {
                put("ref", "j-%06d".format(n))
                put("lane", "l")
                put("crew", if (random.nextBoolean()) "vision" else "text")
                put(
                    "format",
                    if (service) {
                        "daemon"
                    } else if (gang) {
                        "gang"
                    } else {
                        "sweep"
                    },
                )
                put("grid", listOf("production", "high", "standard", "low").random(random))
                put("laps", taskCount)
                put("cores", random.nextInt(1, 5).toDouble())
                put("cards", gpus)
                put("ram_gb", 4.0)
                put("livery", "img-${random.nextInt(3)}")
                put("size_gb", 3.0)
                if (random.nextInt(4) == 0) put("chassis", JsonArray(listOf(JsonPrimitive("g8"))))
                val circuit = if (random.nextInt(6) == 0) zones.random(random) else null
                if (circuit != null) put("circuit", circuit)
                val together = if (gang) random.nextBoolean() else random.nextInt(5) == 0
                put("together", together)
                put("scatter", !together && random.nextInt(3) == 0 && !(gang && circuit != null))
                put("loaners", random.nextBoolean())
                put("lap_time_s", 5.0)
                put("sector_s", if (random.nextBoolean()) 2.0 else 0.0)
                put("pit_stop_s", 1.0)
            },
        )
    }

    private companion object {
        /** Jobs of these numbers are gangs. */
        const val GANGS_FROM = 100
    }

    /** Runs the fleet until a question is answered. */
    fun asked(
        node: Int,
        method: String,
        target: String,
        body: ByteArray? = null,
    ): Pair<Int, String?> {
        var answer: Pair<Int, String?>? = null
        scope.launch { answer = askNode(node, method, target, body) }
        while (answer == null) step(20)
        return answer
    }

    /** One step of time, then the rules. */
    fun step(ms: Long) {
        scheduler.advanceTimeBy(ms)
        scheduler.runCurrent()
        failure?.let { throw AssertionError("at $now ms: ${it.message}\n" + log.joinToString("\n"), it) }
        try {
            rules.check(now)
        } catch (b: RuleViolation) {
            throw AssertionError("at $now ms: ${b.message}\n" + log.joinToString("\n"), b)
        }
    }

    fun runFor(ms: Long) {
        val until = now + ms
        while (now < until) step(100)
    }

    fun close() {
        nodeScopes.forEach { it?.cancel() }
        scope.cancel()
        scheduler.runCurrent()
    }
}
