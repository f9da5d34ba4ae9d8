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
        val faults = RandomFaults(f)
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
                    faults.inject()
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
