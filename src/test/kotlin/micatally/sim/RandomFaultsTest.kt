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

/** Runs fleets with random faults of all kinds, alone and combined. The rules are checked after every step. */
class RandomFaultsTest {
    companion object {
        /** Limits of a state store that takes only 15 writes per second. */
        private val LOW_WRITE_RATE = StateLimits(150.0, 15.0, 8 * 1024, 12)

        /** Four seeds; `-Dcopies.seeds=100-160` runs others. */
        @JvmStatic
        fun copySeeds(): List<Int> =
            (System.getProperty("copies.seeds") ?: "1-4").split('-').map { it.toInt() }.let { (first, last) ->
                (first..last).toList()
            }

        /** Twelve seeds, a third of them with five controllers; `-Dsim.seeds=100-160` runs others. */
        @JvmStatic
        fun seeds(): List<Int> =
            (System.getProperty("sim.seeds") ?: "1-12").split('-').map { it.toInt() }.let { (first, last) ->
                (first..last).toList()
            }
    }

    /**
     * Guards all rules of [micatally.emulator.RuleChecker] under random faults. Every accepted job also stays known,
     * and is done or cancelled in the end.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    fun `no rule is broken, and every accepted job stays known and ends`(seed: Int) {
        val next = if (seed % 2 == 0) StateLimits(250.0, 60.0, 2 * 1024, 6) else null
        runWithFaults(SimFleet(seed, if (seed % 3 == 0) 5 else 3, nextLimits = next), next)
    }

    /**
     * As with the other test, but with the ratios of a deployment whose workers send a heartbeat about every fifth of
     * their lease, and whose three controllers share 15 writes per second.
     */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4])
    fun `no rule is broken with slow heartbeats and few writes per second`(seed: Int) =
        runWithFaults(SimFleet(seed, timing = Timing.DEPLOYMENTS.getValue("motor"), limits = LOW_WRITE_RATE), null)

    /**
     * As with the first test, while a fifth of the answered commands arrive once more up to a minute later, and others are
     * held until a controller ends or returns or their job is over.
     */
    @ParameterizedTest
    @MethodSource("copySeeds")
    fun `no rule is broken while answered commands arrive once more`(seed: Int) {
        val fleet = SimFleet(seed, if (seed % 3 == 0) 5 else 3, timing = largeDeployment)
        fleet.net.answeredCopyShare = 0.2
        fleet.users.hostileShare = 0.1
        fleet.net.keepsCommands = true
        HeldCommands(fleet).launch()
        runWithFaults(fleet, null) {
            val controllers = fleet.live.filterNotNull()
            assertEquals(0, controllers.sumOf { it.endedAttempts.count }, "attempts go on after their end")
            assertEquals(0, fleet.workers.repeatedStarts, "attempts that started once more")
        }
    }

    private fun runWithFaults(
        fleet: SimFleet,
        nextLimits: StateLimits?,
        checkEnd: () -> Unit = {},
    ) {
        try {
            for (node in 0 until fleet.nodes) fleet.startNode(node)
            fleet.net.lateCopyShare = 0.05
            if (nextLimits != null) launchLimitDrop(fleet)
            val specs = (1..30).map { fleet.randomJobs.job(it) } + (100..107).map { fleet.randomJobs.job(it) }
            for (spec in specs) launchUser(fleet, spec)
            injectFaults(fleet)
            fleet.net.lateCopyShare = 0.0
            fleet.runFor(60_000)
            checkAfterFaults(fleet)
            assertTrue(fleet.rules.starts > 30, "tasks were started")
            for (spec in specs) assertEnded(fleet, spec)
            assertEquals(emptyList<OnMachine>(), fleet.rules.running.toList())
            checkEnd()
        } finally {
            fleet.close()
        }
    }

    /** Lowers the limits of the state store at a random time. */
    private fun launchLimitDrop(fleet: SimFleet) =
        fleet.scope.launch {
            delay(fleet.random.nextLong(150_000))
            fleet.note("limits of the state store lowered")
            fleet.lowerLimits()
        }

    /** Launches a user of the job, who cancels it if it is a service and else with a probability of one quarter. */
    private fun launchUser(
        fleet: SimFleet,
        spec: JobSpec,
    ) = fleet.scope.launch {
        delay(fleet.random.nextLong(120_000))
        val cancels = spec.isService || fleet.random.nextInt(4) == 0
        val cancelAfterMs = if (cancels) fleet.random.nextLong(5000, 150_000) else null
        fleet.users.launchUser(spec, cancelAfterMs, pollAll = fleet.random.nextBoolean())
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
        val faultsEndedAt = fleet.now
        while (fleet.now < faultsEndedAt + 360_000) {
            fleet.step(100)
            fleet.rules.checkKnown(fleet.now, faultsEndedAt)
            if (fleet.now % 1000 == 0L) fleet.checkStarvation()
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
