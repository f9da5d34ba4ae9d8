package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Jobs that fail on every machine exclude no machine from placement, and a faulty machine is still detected beside
 * them.
 */
class FaultIsolationTest {
    private fun Scenario.excludedMachines() =
        fleet.live.filterNotNull().flatMap { node ->
            val time =
                node.machines.byName.values
                    .maxOfOrNull { it.heardAt } ?: 0L
            node.machines.byName.values
                .filter { !it.deleted && it.health.excludedUntil > time }
                .map { it.name }
        }

    private fun Scenario.submitBroken(
        node: Int,
        format: String,
        tasks: Int,
    ): String =
        spec(
            format,
            tasks,
            "loaners" to false,
        ).let { spec ->
            fleet.workers.faultyJobs.add(spec.jobId)
            val (status, _) = fleet.asked(node, "POST", "/work", spec.source.toString().encodeToByteArray())
            assertEquals(201, status)
            fleet.rules.answeredSubmit(spec.jobId, status)
            spec.jobId
        }

    /**
     * Guards two rules: the failures of a job that fails everywhere are not held against machines
     * ([micatally.job.FaultAttribution]), and such a job is tried with one task at a time, with a longer wait after
     * each failure ([micatally.job.JobHealth]). A machine without a success used to be excluded after one failure.
     */
    @Test
    fun `jobs that always fail exclude no machine and take little of the fleet`() =
        forEachSeed {
            val services = (0..2).map { submit(it, "daemon", 2, "loaners" to false) }
            allRun(services)
            fleet.runFor(fleet.lease * 2)
            val broken = (0..2).map { submitBroken(it, "sweep", 8) } + submitBroken(0, "daemon", 2)
            fleet.runFor(fleet.lease * 3)
            val starts = fleet.rules.starts
            val machineCount = fleet.cloud.count()
            fleet.runFor(fleet.lease * 6)
            assertTrue(
                fleet.rules.starts - starts <= broken.size * 12,
                "${fleet.rules.starts - starts} starts in six leases",
            )
            assertTrue(fleet.rules.starts > starts, "the failing jobs are still tried")
            assertTrue(fleet.cloud.count() <= machineCount, "no machine is provisioned for them")
            assertTrue(excludedMachines().isEmpty(), "${excludedMachines()}")
            val laterJob = submit(1, "sweep", 2, "loaners" to false, runMs = 1000)
            runUntil(
                fleet.lease * 3,
                "another job completes beside them",
            ) { fleet.rules.completed[laterJob]?.size == 2 }
            for ((i, jobId) in broken.withIndex()) cancel(jobId, listOf((i + 1) % 3))
            fleet.runFor(fleet.lease * 4)
            assertTrue(broken.all { fleet.rules.isCancelled(it) })
            checkRecovery(services)
        }

    /**
     * Guards [micatally.worker.MachineHealth]: a machine is excluded if two jobs fail on it, or one that runs
     * elsewhere, whatever jobs that always fail do meanwhile.
     */
    @Test
    fun `a faulty machine is detected while jobs that always fail run`() =
        forEachSeed {
            submitBroken(0, "sweep", 4)
            val array = submit(0, "sweep", 8, "loaners" to false, runMs = 4000)
            runUntil(fleet.lease * 4, "two tasks are done") { (fleet.rules.completed[array]?.size ?: 0) >= 2 }
            val faulty =
                fleet.cloud.workers
                    .filter {
                        it.onMachine.isEmpty() ||
                            it.onMachine.any { task ->
                                task.jobId == array
                            }
                    }.maxBy { it.onMachine.size }
            faulty.sick = true
            val laterJobs = (1..6).map { submit(it % 3, "sweep", 6, "loaners" to false, runMs = 3000) }
            runUntil(fleet.lease * 6, "the faulty machine is excluded") { faulty.name in excludedMachines() }
            fleet.runFor(fleet.lease * 12)
            assertTrue(laterJobs.all { fleet.rules.completed[it]?.size == 6 }, "all other jobs complete")
        }
}
