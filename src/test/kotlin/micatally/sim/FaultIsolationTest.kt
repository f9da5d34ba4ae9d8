package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Jobs that fail everywhere take no machine out of service, and a faulty machine is still found beside them. */
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
     * Guard: a job that fails everywhere accuses no machine ([micatally.job.FaultJudgement]); it is tried with one
     * task at a time and waits longer after each failure ([micatally.job.JobHealth]). Before, any machine without a
     * success was excluded after one failure.
     */
    @Test
    fun `jobs with a mistake take no machine out of service and little of the fleet`() =
        forEachSeed {
            val good = (0..2).map { submit(it, "daemon", 2, "loaners" to false) }
            allRun(good)
            fleet.runFor(fleet.lease * 2)
            val broken = (0..2).map { submitBroken(it, "sweep", 8) } + submitBroken(0, "daemon", 2)
            fleet.runFor(fleet.lease * 3)
            val starts = fleet.rules.starts
            val rented = fleet.cloud.count()
            fleet.runFor(fleet.lease * 6)
            assertTrue(
                fleet.rules.starts - starts <= broken.size * 12,
                "${fleet.rules.starts - starts} starts in six leases",
            )
            assertTrue(fleet.rules.starts > starts, "they are still tried")
            assertTrue(fleet.cloud.count() <= rented, "nothing is rented for them")
            assertTrue(excludedMachines().isEmpty(), "${excludedMachines()}")
            val late = submit(1, "sweep", 2, "loaners" to false, runMs = 1000)
            runUntil(fleet.lease * 3, "another job is done beside them") { fleet.rules.completed[late]?.size == 2 }
            for ((i, jobId) in broken.withIndex()) cancel(jobId, listOf((i + 1) % 3))
            fleet.runFor(fleet.lease * 4)
            assertTrue(broken.all { fleet.rules.isCancelled(it) })
            checkRecovery(good)
        }

    /**
     * Guard: two failing jobs, or one that runs elsewhere, exclude a machine ([micatally.worker.MachineHealth]),
     * whatever faulty jobs do meanwhile.
     */
    @Test
    fun `a faulty machine is found while jobs with a mistake run`() =
        forEachSeed {
            submitBroken(0, "sweep", 4)
            val array = submit(0, "sweep", 8, "loaners" to false, runMs = 4000)
            runUntil(fleet.lease * 4, "some tasks are done") { (fleet.rules.completed[array]?.size ?: 0) >= 2 }
            val faulty =
                fleet.cloud.workers
                    .filter {
                        it.onMachine.isEmpty() ||
                            it.onMachine.any { task ->
                                task.jobId == array
                            }
                    }.maxBy { it.onMachine.size }
            faulty.sick = true
            val more = (1..6).map { submit(it % 3, "sweep", 6, "loaners" to false, runMs = 3000) }
            runUntil(fleet.lease * 6, "the faulty machine is left alone") { faulty.name in excludedMachines() }
            fleet.runFor(fleet.lease * 12)
            assertTrue(more.all { fleet.rules.completed[it]?.size == 6 }, "all others are done beside it")
        }
}
