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

/** Random faults of all kinds, alone and together, in simulated days; the rules are checked after every step. */
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

    /**
     * Guard: all rules of [micatally.emulator.RuleChecker] under random faults of all kinds; every accepted job ends
     * or stays known.
     */
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
        fleet: SimFleet,
        next: StateLimits?,
    ) {
        val faults = RandomFaults(fleet)
        try {
            for (i in 0 until fleet.nodes) fleet.startNode(i)
            fleet.net.lateCopies = 0.05
            if (next !=
                null
            ) {
                fleet.scope.launch {
                    delay(fleet.random.nextLong(150_000))
                    fleet.note("limits drop")
                    fleet.lowerLimits()
                }
            }
            val specs = (1..30).map { fleet.randomJobs.job(it) } + (100..107).map { fleet.randomJobs.job(it) }
            val cancelled = HashSet<String>()
            for (spec in specs) {
                fleet.scope.launch {
                    delay(fleet.random.nextLong(120_000))
                    val cancel =
                        if (spec.isService ||
                            fleet.random.nextInt(4) == 0
                        ) {
                            fleet.random.nextLong(5000, 150_000)
                        } else {
                            null
                        }
                    if (cancel != null) cancelled.add(spec.jobId)
                    fleet.users.launchUser(spec, cancel, nosy = fleet.random.nextBoolean())
                }
            }
            var next = 10_000L
            while (fleet.now < 180_000) {
                fleet.step(100)
                if (fleet.now >= next) {
                    faults.inject()
                    next = fleet.now + fleet.random.nextLong(2000, 25_000)
                }
            }
            fleet.net.lateCopies = 0.0
            fleet.runFor(60_000)
            val over = fleet.now
            while (fleet.now <
                over + 360_000
            ) {
                fleet.step(100)
                fleet.rules.checkKnown(fleet.now, over)
                if (fleet.now % 1000 ==
                    0L
                ) {
                    fleet.checkWaiting()
                }
            }
            assertTrue(fleet.rules.starts > 30, "tasks were started")
            for (spec in specs) {
                assertTrue(fleet.rules.isAccepted(spec.jobId), "${spec.jobId} was accepted")
                assertTrue(
                    fleet.rules.isFinal(spec.jobId),
                    "${spec.jobId} ${spec.format} laps=${spec.taskCount} crew=${spec.team} has ended; completed ${fleet.rules.completed[spec.jobId]}",
                )
            }
            assertEquals(emptyList<OnMachine>(), fleet.rules.running.toList())
        } finally {
            fleet.close()
        }
    }
}
