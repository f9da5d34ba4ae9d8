package micatally.sim

import kotlinx.coroutines.launch
import micatally.emulator.WorkerEmulator
import micatally.http.HttpRequest
import micatally.settings.OperatorSettings
import micatally.wire.Command
import micatally.wire.CommandType
import micatally.wire.bytes
import micatally.wire.commandRequest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import java.util.Properties

/** A task on a machine that no job's record wants is stopped, whoever leads its job. */
internal class UnownedTaskTest {
    /** Starts an attempt that no controller has placed, as a start command under the present token would. */
    private fun Scenario.startUnplaced(
        machine: WorkerEmulator,
        jobId: String,
        attempt: Long = 99,
    ) {
        val run = Command(CommandType.RUN, jobId, taskIndex = 0, attempt)
        val body = commandRequest(machine.token, machine.incarnation, listOf(run)).bytes()
        fleet.scope.launch { machine.handle(HttpRequest("POST", "/orders", body)) }
        runUntil(5000, "the task runs") { tasks(jobId).isNotEmpty() }
    }

    private fun Scenario.assertStopped(jobId: String) =
        runUntil(fleet.cancelMs / 2, "the task is stopped") { tasks(jobId).isEmpty() }

    private fun Scenario.assertEntriesCleared(jobId: String) =
        runUntil(fleet.lease * 14, "the entries are cleared") {
            fleet.cloud.workers.none { worker -> worker.tasks.any { it.jobId == jobId } }
        }

    /**
     * A cancelled job whose tasks are gone, and a machine that stays in use. The rules do not hear of the cancellation,
     * since they forbid what these tests let happen: that a task of the job starts long after it.
     */
    private fun Scenario.cancelledJob(): Pair<String, WorkerEmulator> {
        val anchor = submit(1, "daemon", 1)
        val jobId = submit(0, "daemon", 1)
        allRun(listOf(anchor, jobId))
        val machine = worker(tasks(anchor).single().machine)
        assertEquals(200 to "withdrawn", fleet.asked(0, "POST", "/work/$jobId/cancel"))
        runUntil(fleet.lease, "the task of the cancelled job is gone") { tasks(jobId).isEmpty() }
        return jobId to machine
    }

    @ParameterizedTest
    @EnumSource
    fun `a task of a cancelled job is stopped and its entry cleared`(interlude: Interlude) =
        forEachSeed(largeDeployment) {
            val (jobId, machine) = cancelledJob()
            interlude.run(this)
            startUnplaced(machine, jobId)
            assertStopped(jobId)
            assertEntriesCleared(jobId)
        }

    @ParameterizedTest
    @ValueSource(strings = ["addis", "hcmc", "addis at size", "hcmc at size", "motor"])
    fun `a task is stopped within half of the bound of each deployment`(deployment: String) =
        forEachSeed(Timing.DEPLOYMENTS.getValue(deployment)) {
            val (jobId, machine) = cancelledJob()
            restart(0, 1, 2)
            startUnplaced(machine, jobId)
            assertStopped(jobId)
        }

    @Test
    fun `a task is stopped whose job's record is in the archive`() =
        forEachSeed(largeDeployment, before = { operator = archiving }) {
            val (jobId, machine) = cancelledJob()
            runUntil(fleet.lease * 20, "the record is in the archive") { fleet.state.value("final/$jobId") != null }
            fleet.runFor(fleet.lease * 3)
            startUnplaced(machine, jobId)
            assertStopped(jobId)
        }

    @Test
    fun `a task is stopped while its leader and the machine can't reach each other`() =
        forEachSeed(largeDeployment) {
            val (jobId, machine) = cancelledJob()
            restart(0, 1, 2)
            fleet.runFor(fleet.lease)
            val hearing =
                fleet.live.indices.first { node ->
                    checkNotNull(checkNotNull(fleet.live[node]).machines.of(machine.name)).heardHereAt > 0
                }
            cut(CutMode.RESET) { from, to ->
                from.name.startsWith("n") && from.name != "n$hearing" &&
                    to.name == machine.name
            }
            startUnplaced(machine, jobId)
            assertStopped(jobId)
        }

    @Test
    fun `a task is stopped although its job is submitted again at that moment`() =
        forEachSeed(largeDeployment) {
            val (jobId, machine) = cancelledJob()
            restart(0, 1, 2)
            startUnplaced(machine, jobId)
            val body =
                fleet.rules.specs
                    .getValue(jobId)
                    .source
                    .bytes()
            for (node in 0..2) {
                val (status, word) = fleet.asked(node, "POST", "/work", body)
                assertTrue(status == 503 || status == 200 && word == "withdrawn", "$status $word")
            }
            assertStopped(jobId)
        }

    @Test
    fun `a task is stopped once the state store is back`() =
        forEachSeed(largeDeployment) {
            val (jobId, machine) = cancelledJob()
            fleet.runFor(fleet.lease * 8)
            fleet.state.down = true
            startUnplaced(machine, jobId)
            fleet.runFor(fleet.lease / 2)
            fleet.state.down = false
            assertStopped(jobId)
        }

    @Test
    fun `wanted tasks go on while leaders restart, are replaced and can't be asked`() =
        forEachSeed(largeDeployment) {
            val jobIds =
                (0..2).flatMap {
                    listOf(submit(it, "daemon", 2), submitLongArray(it, 3), submit(it, "gang", 2, runMs = 3_600_000))
                }
            allRun(jobIds)
            val starts = fleet.rules.starts
            fleet.net.peersRefuse = true
            fleet.runFor(fleet.lease * 2)
            restart(0, 1, 2)
            fleet.runFor(fleet.lease * 2)
            fleet.net.peersRefuse = false
            fleet.crash(0)
            fleet.runFor(fleet.lease * 6)
            fleet.startNode(0)
            fleet.runFor(fleet.lease * 6)
            assertAllTasksRun(jobIds)
            assertEquals(starts, fleet.rules.starts)
            assertTrue(fleet.live.all { it?.unownedTasks?.unwantedCount == 0 })
        }

    private companion object {
        val archiving = OperatorSettings.parse(Properties().also { it["recovery.archive"] = "on" })
    }
}
