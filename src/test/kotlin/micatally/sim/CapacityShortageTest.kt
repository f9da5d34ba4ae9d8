package micatally.sim

import micatally.emulator.CapacityPool
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/**
 * The cloud runs out of machines of a zone, a type or a kind while it has others. Jobs whose tasks must share a zone
 * start all the same, in another zone if need be, and nothing is provisioned for them twice.
 */
class CapacityShortageTest {
    /** Runs the test on a fleet that has two machines in zone a, on each of which two cores are free. */
    private fun withTwoMachinesInZoneA(
        bootMs: Long = BOOT_MS,
        test: Scenario.() -> Unit,
    ) = forEachSeed(before = {
        workers.addRunning("small", "a", 2)
        cloud.bootMs = { bootMs }
    }) {
        val service = submit(0, "daemon", 2, "cores" to 6.0, "circuit" to "a", "loaners" to false)
        allRun(listOf(service))
        fleet.runFor(fleet.lease / 5)
        assertEquals(0, provisioned { true }, "machines provisioned before the shortage")
        test()
    }

    private fun Scenario.provisioned(isCounted: (CapacityPool) -> Boolean) = fleet.cloud.provisionedCount(isCounted)

    /** Submits a job whose tasks of one core must share a zone. */
    private fun Scenario.submitTogether(
        node: Int,
        format: String,
        taskCount: Int,
        vararg more: Pair<String, Any>,
    ) = submit(node, format, taskCount, "together" to true, "loaners" to false, *more, runMs = TASK_RUN_MS)

    private fun Scenario.isRunning(jobId: String) =
        tasks(jobId).size ==
            fleet.rules.specs
                .getValue(jobId)
                .taskCount

    private fun Scenario.runUntilRunning(
        jobIds: List<String>,
        boots: Int,
    ) = runUntil(boots * BOOT_MS + fleet.lease / 2, "all tasks of $jobIds run at once") { jobIds.all { isRunning(it) } }

    /**
     * Guards [micatally.fleet.ZoneChoices]: only the zone with the most free capacity used to be asked for machines,
     * also while the cloud refused it, so the job never ran.
     */
    @ParameterizedTest
    @ValueSource(strings = ["gang", "daemon"])
    fun `a zone without machines is given up for one that has machines`(format: String) =
        withTwoMachinesInZoneA {
            fleet.cloud.limitCapacity(0) { it.zone == "a" }
            val jobId = submitTogether(1, format, 6)
            runUntilRunning(listOf(jobId), boots = 2)
            assertEquals(1, tasks(jobId).map { it.zone }.distinct().size, "zones of ${tasks(jobId)}")
            assertEquals(1, provisioned { true }, "machines")
        }

    /** Guards against spreading the requests: while the zone with the most free capacity has machines, it gets all. */
    @ParameterizedTest
    @ValueSource(strings = ["gang", "daemon"])
    fun `a zone that has machines is not given up`(format: String) =
        withTwoMachinesInZoneA {
            val jobId = submitTogether(1, format, 6)
            runUntilRunning(listOf(jobId), boots = 2)
            assertEquals(setOf("a"), tasks(jobId).mapTo(HashSet()) { it.zone })
            assertEquals(1, provisioned { it.zone == "a" }, "machines in zone a")
            assertEquals(0, provisioned { it.zone != "a" }, "machines in other zones")
        }

    /** Guards the choice of a zone by the price of what can be had: a dear type in the first zone is no substitute. */
    @Test
    fun `while a zone has no machine of the cheap type, that type is provisioned in another zone`() =
        withTwoMachinesInZoneA {
            fleet.cloud.limitCapacity(0) { it.zone == "a" && it.type == "small" }
            val jobId = submitTogether(1, "gang", 6)
            runUntilRunning(listOf(jobId), boots = 2)
            assertEquals(1, provisioned { it.type == "small" }, "cheap machines")
            assertEquals(0, provisioned { it.type != "small" }, "dear machines")
        }

    @Test
    fun `while the cloud has no spot instance, an on-demand instance is provisioned`() =
        withTwoMachinesInZoneA {
            fleet.cloud.limitCapacity(0) { it.isSpot }
            val jobId = submitTogether(1, "gang", 6, "loaners" to true)
            runUntilRunning(listOf(jobId), boots = 3)
            assertEquals(1, provisioned { true }, "machines")
        }

    /** Guards against a request that is partly filled: the rest is refused, and the other zone needs all machines. */
    @Test
    fun `a zone with too few machines is given up for one that has all`() =
        withTwoMachinesInZoneA {
            fleet.cloud.limitCapacity(1) { it.zone == "a" }
            val jobId = submitTogether(1, "gang", 20)
            runUntilRunning(listOf(jobId), boots = 3)
            assertEquals(1, provisioned { it.zone == "a" }, "machines in zone a")
            assertEquals(3, provisioned { it.zone != "a" }, "machines in other zones")
        }

    /** Guards the zones' turns: zones without machines used to have their turns, each of four boot times. */
    @Test
    fun `if none of the tasks fits anywhere, zones without machines don't delay the job`() =
        forEachSeed {
            fleet.cloud.limitCapacity(0) { it.zone != "c" }
            val jobId = submitTogether(1, "gang", 6)
            runUntilRunning(listOf(jobId), boots = 3)
            assertEquals(1, provisioned { true }, "machines")
        }

    /** Guards what is left of a choice when the fleet manager changes: what is booting counts, wherever it is. */
    @Test
    fun `a new fleet manager keeps to the zone in which machines are booting`() =
        withTwoMachinesInZoneA(BOOT_MS * SLOW_BOOTS) {
            fleet.cloud.limitCapacity(0) { it.zone == "a" }
            val jobId = submitTogether(1, "gang", 6)
            runUntil(fleet.lease * 2, "a machine is provisioned") { provisioned { it.zone != "a" } > 0 }
            fleet.runFor(fleet.lease / 5)
            fleet.crash(fleetManager()!!)
            fleet.cloud.limitCapacity(8) { it.zone == "a" }
            runUntil(fleet.lease * 3, "another node is fleet manager") { fleetManager() != null }
            for (node in 0 until fleet.nodes) fleet.startNode(node)
            runUntilRunning(listOf(jobId), boots = SLOW_BOOTS + 2)
            assertEquals(1, provisioned { true }, "machines")
        }

    /**
     * Guards against a zone whose machines are provisioned and never come up: it was chosen again each time that they
     * counted as late, since all others need three times as many machines.
     */
    @Test
    fun `a zone whose machines don't come up is given up, also for one that needs more machines`() =
        forEachSeed(before = {
            workers.addRunning("small", "a", 4)
            cloud.neverBoots = { it.zone == "a" }
        }) {
            allRun(listOf(submit(0, "daemon", 4, "cores" to 4.0, "circuit" to "a", "loaners" to false)))
            val jobId = submitTogether(1, "gang", 9, "cores" to 2.0)
            runUntilRunning(listOf(jobId), boots = LATE_BOOTS + 2)
            assertEquals(1, provisioned { it.zone == "a" }, "machines in zone a")
        }

    /**
     * Guards [micatally.fleet.GracefulEviction]: machines that a gang waits for were evicted as idle while the others that
     * it needs were booting, and then provisioned again.
     */
    @Test
    fun `machines that wait for others of the same job are not evicted as idle`() =
        forEachSeed(before = {
            workers.addRunning("small", "a", 2)
            cloud.bootMs = { BOOT_MS * SLOW_BOOTS }
        }) {
            val jobId = submitTogether(1, "gang", 18)
            runUntilRunning(listOf(jobId), boots = SLOW_BOOTS + 1)
            assertEquals(1, provisioned { true }, "machines")
        }

    /** Guards the next run of a gang: once the tasks of the former one are gone, it may go to another zone. */
    @Test
    fun `a gang that loses a machine in a zone without machines runs in another zone`() =
        withTwoMachinesInZoneA {
            val jobId = submitTogether(1, "gang", 6)
            runUntilRunning(listOf(jobId), boots = 2)
            fleet.workers.loseMachine(worker(tasks(jobId).first { it.machine > "m-000002" }.machine))
            fleet.cloud.limitCapacity(0) { it.zone == "a" }
            runUntil(fleet.lease * 8, "the gang runs in another zone") {
                isRunning(jobId) &&
                    tasks(jobId).none { it.zone == "a" }
            }
        }

    @Test
    fun `several jobs at once get one machine each`() =
        withTwoMachinesInZoneA {
            fleet.cloud.limitCapacity(0) { it.zone == "a" }
            val jobIds = (0..2).map { node -> submitTogether(node, "gang", 6) }
            runUntilRunning(jobIds, boots = 3)
            assertTrue(provisioned { it.zone != "a" } <= 3, "${provisioned { it.zone != "a" }} machines in other zones")
        }

    /**
     * Guards [micatally.fleet.ScaleOut] against requests that are older than a machine: one that had just come up was
     * not counted any more, while the tasks that it was meant for were still reported as waiting.
     */
    @Test
    fun `a machine that has come up is not provisioned again before its tasks are placed`() =
        forEachSeed {
            val jobIds = (0..2).map { submit(it, "daemon", 2, "cores" to 6.0, "loaners" to false) }
            allRun(jobIds)
            assertEquals(6, provisioned { true }, "machines, one for each task")
        }

    private companion object {
        /** The nominal boot time of the simulated machine types. */
        const val BOOT_MS = 6000L

        /** How many times slower than nominal machines boot where that is said; they are not late yet. */
        const val SLOW_BOOTS = 2

        /** After this many boot times a machine that is not up counts as late. */
        const val LATE_BOOTS = 4

        const val TASK_RUN_MS = 60_000L
    }
}
