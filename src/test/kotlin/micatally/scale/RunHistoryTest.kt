package micatally.scale

import kotlinx.coroutines.test.TestScope
import micatally.emulator.GangTable
import micatally.emulator.GangTimes
import micatally.emulator.WorkerEmulator
import micatally.emulator.WorkerWorld
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.settings.Team
import micatally.wire.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Breaks some of the rules that [RunHistory] checks during a scale run, one in each test, and expects the violation.
 */
class RunHistoryTest {
    private val scenario = ScenarioFile.load("smoke")
    private val jobs = JobPlan.of(scenario)
    private val sweep = jobs.first { !it.spec.isService }.spec
    private val service = jobs.first { it.spec.isService }.spec
    private var nowMs = 0L
    private val cancelMs = 1000L

    private fun history(coresMax: Double = 0.0) =
        RunHistory(jobs, { Team(it, 0.0, coresMax, 0.0, 0.0) }, cancelMs, Latencies()) { nowMs }.also {
            it.submitted(sweep)
            it.submitted(service)
        }

    private fun machine(name: String): WorkerEmulator {
        val scope = TestScope()
        val world =
            object : WorkerWorld {
                override fun spec(jobId: String) = null

                override fun runMs(
                    jobId: String,
                    taskIndex: Int,
                ) = null

                override fun completed(
                    jobId: String,
                    taskIndex: Int,
                ) = false

                override val gangs = GangTable(scope, GangTimes(1, 1), Random(1)) { nowMs }

                override fun started(
                    machine: WorkerEmulator,
                    jobId: String,
                    taskIndex: Int,
                ) {}

                override fun left(
                    machine: WorkerEmulator,
                    jobId: String,
                    taskIndex: Int,
                    done: Boolean,
                ) {}
            }
        return WorkerEmulator(
            scope,
            HttpCaller { _, _, _, _, _ -> Outcome.NotSent },
            world,
            Random(1),
            name,
            "$name:1",
            "box",
            "a",
            false,
            Resources(8.0, 0.0, 8.0),
            1.0,
            1000,
            10_000,
            mapOf("c" to "c:1"),
        ) { nowMs }
    }

    private fun RunHistory.rule() = violation?.violation?.rule

    @Test
    fun `a task that starts on a second machine is a violation, reported with the history of its job`() {
        val history = history()
        history.started(machine("m-1"), sweep.jobId, 0)
        assertNull(history.violation)
        history.started(machine("m-2"), sweep.jobId, 0)
        assertEquals("ran_twice", history.rule())
        assertTrue(history.violation!!.history.any { "starts on m-1" in it })
    }

    @Test
    fun `a team that uses more than its limit in force is a violation`() {
        val history = history(coresMax = sweep.resources.cores)
        history.started(machine("m-1"), sweep.jobId, 0)
        assertNull(history.violation)
        history.started(machine("m-1"), sweep.jobId, 1)
        assertEquals("quota", history.rule())
    }

    @Test
    fun `a task that still runs when the time for its cancellation is over is a violation`() {
        val history = history()
        history.started(machine("m-1"), service.jobId, 0)
        history.cancellationRequested(service.jobId)
        history.cancellationAnswered(service.jobId, 200, "withdrawn", nowMs)
        nowMs += cancelMs
        history.checkCancelledTasks()
        assertNull(history.violation)
        nowMs++
        history.checkCancelledTasks()
        assertEquals("ran_cancelled", history.rule())
    }

    @Test
    fun `an accepted job that has not ended at the end of the run is a violation`() {
        val history = history()
        history.submissionAnswered(sweep.jobId, 201, "pending", nowMs)
        history.checkAllEnded()
        assertEquals("not_ended", history.rule())
    }

    @Test
    fun `a job reported as done before its last task has completed is a violation`() {
        val history = history()
        history.submissionAnswered(sweep.jobId, 201, "pending", nowMs)
        history.pollAnswered(sweep.jobId, 200, "done", nowMs)
        assertEquals("not_done", history.rule())
    }
}
