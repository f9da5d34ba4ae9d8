package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.OnMachine
import micatally.state.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource

/** Days with seeded luck: troubles of all kinds, alone and together, with the rules looked at after every step. */
class RandomFaultsTest {
    private fun SimFleet.trouble() {
        val n = random.nextInt(nodes)
        when (random.nextInt(30)) {
            0 -> {
                note("crash $n")
                crash(n)
                scope.launch {
                    delay(random.nextLong(4000, 8000))
                    startNode(n)
                }
            }
            1 -> {
                note("quick restart $n")
                crash(n)
                scope.launch {
                    delay(random.nextLong(100, 600))
                    startNode(n)
                }
            }
            2 -> {
                note("crash all")
                for (i in 0 until nodes) {
                    crash(i)
                    scope.launch {
                        delay(random.nextLong(4000, 7000))
                        startNode(i)
                    }
                }
            }
            3 -> {
                note("state outage")
                state.down = true
                scope.launch {
                    delay(random.nextLong(3000, 15_000))
                    state.down =
                        false
                }
            }
            4 -> {
                note("state refuses $n")
                stateFaults.refusedHosts.add("n$n")
                scope.launch {
                    delay(random.nextLong(5000, 40_000))
                    stateFaults.refusedHosts.remove("n$n")
                }
            }
            5 -> {
                note("cloud outage")
                cloud.down = true
                scope.launch {
                    delay(20_000)
                    cloud.down = false
                }
            }
            6 ->
                cloud.workers.randomOrNull(random)?.let { w ->
                    note("hang ${w.name}")
                    w.hung = true
                    scope.launch {
                        delay(random.nextLong(3000, 30_000))
                        w.hung =
                            false
                    }
                }
            7 -> for (w in cloud.workers.filter { it.spot }.take(3)) {
                note("taken ${w.name}")
                workers.loseMachine(w)
            }
            8 ->
                cloud.workers.randomOrNull(random)?.let { w ->
                    note("deaf ${w.name}")
                    net.deaf.add(w.name)
                    scope.launch {
                        delay(random.nextLong(3000, 25_000))
                        net.deaf.remove(w.name)
                    }
                }
            9 -> cut("n$n", null, random.nextLong(5000, 40_000))
            10 -> cut("n$n", "state", random.nextLong(5000, 40_000))
            11 -> {
                val z = listOf("a", "b", "c").random(random)
                note("zone $z cut")
                cutIf(random.nextLong(5000, 30_000)) { x, y ->
                    x.zone ==
                        z &&
                        y.zone != z
                }
            }
            13 -> {
                note("state slow")
                net.slowMs["state"] = random.nextLong(20, 200)
                scope.launch {
                    delay(random.nextLong(5000, 40_000))
                    net.slowMs.remove("state")
                }
            }
            14 -> {
                note("peers refuse")
                net.peersRefuse = true
                scope.launch {
                    delay(random.nextLong(5000, 40_000))
                    net.peersRefuse =
                        false
                }
            }
            15 -> {
                note("freeze $n")
                freeze(n)
                val c = live[n]
                scope.launch {
                    delay(random.nextLong(3000, 28_000))
                    if (live[n] ===
                        c
                    ) {
                        unfreeze(n)
                    }
                }
            }
            16 -> {
                val z = listOf("a", "b", "c").random(random)
                note("zone $z lost")
                for (w in cloud.workers.filter {
                    it.zone ==
                        z
                }) {
                    workers.loseMachine(w)
                }
            }
            17 -> {
                val z = listOf("a", "b", "c").random(random)
                note("zone $z cut for long")
                cutIf(random.nextLong(30_000, 45_000)) { x, y ->
                    x.zone ==
                        z &&
                        y.zone != z
                }
            }
            18 -> {
                note("late writes")
                stateFaults.lateWrites = 0.15
                scope.launch {
                    delay(random.nextLong(10_000, 40_000))
                    stateFaults.lateWrites =
                        0.0
                }
            }
            19 -> {
                note("lost answers")
                stateFaults.lostAnswers = 0.15
                scope.launch {
                    delay(random.nextLong(10_000, 40_000))
                    stateFaults.lostAnswers =
                        0.0
                }
            }
            20 -> {
                note("late reports")
                net.lateCopies = 0.3
                net.lateCopyMs = 2000L..25_000L
                scope.launch {
                    delay(30_000)
                    net.lateCopies =
                        0.05
                }
            }
            21 -> {
                note("reports kept, $n ends")
                net.keepReports = true
                scope.launch {
                    delay(3000)
                    net.keepReports =
                        false
                    crash(n)
                    delay(random.nextLong(100, 9000))
                    startNode(n)
                    delay(random.nextLong(50, 1500))
                    net.deliverKept(
                        (
                            0 until
                                nodes
                        ).filter { live[it] != null }.map { "n$it" },
                    )
                }
            }
            22 ->
                cloud.workers.shuffled(random).take(2).forEach { w ->
                    note("mute ${w.name}")
                    net.mute.add(w.name)
                    scope.launch {
                        delay(random.nextLong(3000, 25_000))
                        net.mute.remove(w.name)
                    }
                }
            23 ->
                cloud.workers.shuffled(random).take(3).forEach { w ->
                    note("commands held ${w.name}")
                    val held = if (random.nextBoolean()) net.heldCommandsMs else net.heldAnswersMs
                    held[w.name] = random.nextLong(2000, 9000)
                    scope.launch {
                        delay(random.nextLong(5000, 25_000))
                        held.remove(w.name)
                    }
                }
            24 -> {
                note("$n cut from state and peers")
                cutIf(random.nextLong(10_000, 45_000)) { x, y ->
                    x.name ==
                        "n$n" &&
                        (y.name == "state" || y.name.startsWith("n") && y.name != "n$n")
                }
            }
            25 -> {
                note("$n refused, then an outage")
                stateFaults.refusedHosts.add("n$n")
                scope.launch {
                    delay(random.nextLong(500, 12_000))
                    state.down =
                        true
                    delay(random.nextLong(1000, 40_000))
                    state.down = false
                    stateFaults.refusedHosts.remove("n$n")
                }
            }
            26 -> {
                note("leaders change")
                scope.launch {
                    repeat(5) {
                        val k = random.nextInt(nodes)
                        crash(k)
                        delay(random.nextLong(50, 6000))
                        startNode(k)
                        delay(random.nextLong(200, 6000))
                    }
                }
            }
            27 -> {
                note("all end, $n returns")
                for (i in 0 until nodes) crash(i)
                scope.launch {
                    delay(random.nextLong(100, 1000))
                    startNode(n)
                    delay(random.nextLong(2000, 14_000))
                    for (i in 0 until
                        nodes) {
                        startNode(i)
                    }
                }
            }
            28 -> {
                note("hung while cancelled")
                cloud.workers.shuffled(random).take(3).forEach { w ->
                    w.hung = true
                    scope.launch {
                        delay(random.nextLong(4000, 20_000))
                        w.hung =
                            false
                    }
                }
            }
            29 -> {
                note("instant boots")
                cloud.bootMs = { random.nextLong(200, 2000) }
                scope.launch {
                    delay(40_000)
                    cloud.bootMs =
                        { (it.readyS * 1000).toLong() }
                }
            }
            12 ->
                cloud.workers.randomOrNull(random)?.let { w ->
                    note("sick ${w.name}")
                    w.sick = true
                    scope.launch {
                        delay(30_000)
                        w.sick =
                            false
                    }
                }
        }
    }

    private fun SimFleet.cut(
        a: String,
        b: String?,
        ms: Long,
    ) {
        note("cut $a from ${b ?: "all"}")
        cutIf(ms) { x, y ->
            x.name ==
                a &&
                (b == null || y.name == b)
        }
    }

    private fun SimFleet.cutIf(
        ms: Long,
        between: (SimNet.Host, SimNet.Host) -> Boolean,
    ) {
        val c = SimNet.Cut(between, if (random.nextBoolean()) CutMode.HOLD else CutMode.RESET)
        net.cuts.add(c)
        scope.launch {
            delay(ms)
            net.cuts.remove(c)
            c.over.complete(Unit)
        }
    }

    companion object {
        private val FEW_CHANGES = StateLimits(150.0, 15.0, 8 * 1024, 12)

        /** A dozen days, a third of them with five controllers; -Dsim.seeds=100-160 plays others. */
        @JvmStatic
        fun seeds(): List<Int> =
            (System.getProperty("sim.seeds") ?: "1-12").split('-').map { it.toInt() }.let { (a, b) ->
                (a..b).toList()
            }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no rule breaks, and every accepted job ends or stays known`(seed: Int) {
        val next = if (seed % 2 == 0) StateLimits(250.0, 60.0, 2 * 1024, 6) else null
        play(SimFleet(seed, if (seed % 3 == 0) 5 else 3, nextLimits = next), next)
    }

    /** The ratios of a deployment whose workers report every fifth of their lease to controllers with five changes a second each. */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4])
    fun `the same where reports are slow and changes few`(seed: Int) =
        play(SimFleet(seed, timing = Timing.DEPLOYMENTS.getValue("motor"), limits = FEW_CHANGES), null)

    private fun play(
        f: SimFleet,
        next: StateLimits?,
    ) {
        try {
            for (i in 0 until f.nodes) f.startNode(i)
            f.net.lateCopies = 0.05
            if (next !=
                null
            ) {
                f.scope.launch {
                    delay(f.random.nextLong(150_000))
                    f.note("limits drop")
                    f.lowerLimits()
                }
            }
            val specs = (1..30).map { f.randomJobs.job(it) } + (100..107).map { f.randomJobs.job(it) }
            val cancelled = HashSet<String>()
            for (s in specs) {
                f.scope.launch {
                    delay(f.random.nextLong(120_000))
                    val cancel = if (s.isService || f.random.nextInt(4) == 0) f.random.nextLong(5000, 150_000) else null
                    if (cancel != null) cancelled.add(s.jobId)
                    f.users.launchUser(s, cancel, nosy = f.random.nextBoolean())
                }
            }
            var next = 10_000L
            while (f.now < 180_000) {
                f.step(100)
                if (f.now >= next) {
                    f.trouble()
                    next = f.now + f.random.nextLong(2000, 25_000)
                }
            }
            f.net.lateCopies = 0.0
            f.runFor(60_000)
            val over = f.now
            while (f.now <
                over + 360_000
            ) {
                f.step(100)
                f.rules.checkKnown(f.now, over)
                if (f.now % 1000 ==
                    0L
                ) {
                    f.checkWaiting()
                }
            }
            assertTrue(f.rules.starts > 30, "tasks were started")
            for (s in specs) {
                assertTrue(f.rules.isAccepted(s.jobId), "${s.jobId} was accepted")
                assertTrue(
                    f.rules.isFinal(s.jobId),
                    "${s.jobId} ${s.format} laps=${s.taskCount} crew=${s.team} has ended; completed ${f.rules.completed[s.jobId]}",
                )
            }
            assertEquals(emptyList<OnMachine>(), f.rules.running.toList())
        } finally {
            f.close()
        }
    }
}
