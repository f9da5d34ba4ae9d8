package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.OnMachine
import micatally.state.StateLimits
import micatally.wire.JobSpec
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
            (System.getProperty("sim.seeds") ?: "1-12").split('-').map { it.toInt() }.let { (first, last) ->
                (first..last).toList()
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
        nextLimits: StateLimits?,
    ) {
        try {
            for (node in 0 until fleet.nodes) fleet.startNode(node)
            fleet.net.lateCopies = 0.05
            if (nextLimits != null) launchLimitDrop(fleet)
            val specs = (1..30).map { fleet.randomJobs.job(it) } + (100..107).map { fleet.randomJobs.job(it) }
            for (spec in specs) launchUser(fleet, spec)
            injectFaults(fleet)
            fleet.net.lateCopies = 0.0
            fleet.runFor(60_000)
            checkAfterFaults(fleet)
            assertTrue(fleet.rules.starts > 30, "tasks were started")
            for (spec in specs) assertEnded(fleet, spec)
            assertEquals(emptyList<OnMachine>(), fleet.rules.running.toList())
        } finally {
            fleet.close()
        }
    }

    private fun launchLimitDrop(fleet: SimFleet) =
        fleet.scope.launch {
            delay(fleet.random.nextLong(150_000))
            fleet.note("limits drop")
            fleet.lowerLimits()
        }

    /** A user of the job, who cancels every service and a quarter of the other jobs. */
    private fun launchUser(
        fleet: SimFleet,
        spec: JobSpec,
    ) = fleet.scope.launch {
        delay(fleet.random.nextLong(120_000))
        val cancels = spec.isService || fleet.random.nextInt(4) == 0
        val cancelAfterMs = if (cancels) fleet.random.nextLong(5000, 150_000) else null
        fleet.users.launchUser(spec, cancelAfterMs, nosy = fleet.random.nextBoolean())
    }

    private fun injectFaults(fleet: SimFleet) {
        val faults = RandomFaults(fleet)
        var nextFaultAt = 10_000L
        while (fleet.now < 180_000) {
            fleet.step(100)
            if (fleet.now >= nextFaultAt) {
                faults.inject()
                nextFaultAt = fleet.now + fleet.random.nextLong(2000, 25_000)
            }
        }
    }

    private fun checkAfterFaults(fleet: SimFleet) {
        val over = fleet.now
        while (fleet.now < over + 360_000) {
            fleet.step(100)
            fleet.rules.checkKnown(fleet.now, over)
            if (fleet.now % 1000 == 0L) fleet.checkWaiting()
        }
    }

    private fun assertEnded(
        fleet: SimFleet,
        spec: JobSpec,
    ) {
        assertTrue(fleet.rules.isAccepted(spec.jobId), "${spec.jobId} was accepted")
        assertTrue(
            fleet.rules.isFinal(spec.jobId),
            "${spec.jobId} ${spec.format} laps=${spec.taskCount} crew=${spec.team} has ended; " +
                "completed ${fleet.rules.completed[spec.jobId]}",
        )
    }
}
