package micatally.scale

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.math.pow

/** Tests the lines fitted by [Sweep], the scaling of scenarios, and the sums of [CpuUsageLines]. */
class SweepTest {
    private fun report(
        size: SweepSize,
        coreShare: Double,
        reports: Double,
    ) = ScaleReport(
        RunParameters("target", 1, size.workers, size.controllers, size.teams, 60.0),
        LoadFigures(1.0, 1, 1, 0, size.workers),
        listOf(ControllerFigures("c", coreShare, 60.0, 60.0, 0)),
        listOf(MessageFigures("report", "report", reports, 0.0, 0.0, 0.0)),
        emptyList(),
        emptyList(),
        emptyList(),
        PeerFigures(0.0, 0.0, 0.0),
        emptyList(),
        emptyList(),
    )

    @Test
    fun `a slope is fitted to the runs that differ from the base in one axis only`() {
        val base = SweepSize(100, 3, 6)
        val sizes = listOf(base, base.copy(workers = 200), base.copy(workers = 400), base.copy(teams = 60))
        val reports = sizes.associateWith { report(it, 0.1 * (it.workers / 100.0).pow(2), 0.25 * it.workers) }
        val slopes = Sweep.fit(reports, base, SweepAxis.WORKERS).associateBy { it.figure }
        val linear = slopes.getValue("reports a second")
        assertEquals(0.25, linear.slope, 1e-9)
        assertEquals(1.0, linear.goodness, 1e-9)
        assertFalse(linear.growsFaster)
        val square = slopes.getValue("controller, share of a core")
        assertEquals(2.0, square.exponent, 1e-9)
        assertTrue(square.growsFaster)
        assertTrue(Sweep.fit(reports, base, SweepAxis.TEAMS).isEmpty(), "two runs make no line")
    }

    @Test
    fun `a scenario scaled to another size keeps its load per worker`() {
        val target = ScenarioFile.load("target")
        val half = Sweep.scaled(target, SweepSize(850, 5, 60))
        assertEquals(850.0, half.workerCount.toDouble(), 2.0)
        assertEquals(5, half.controllers)
        assertEquals(60, half.teams.count)
        val rates = listOf(target, half).map { scenario -> scenario.jobs.first { it.name == "sweep" }.perSecond }
        assertEquals(rates[0] / 2, rates[1], 1e-9)
        assertThrows(ScenarioError::class.java) { Sweep.scaled(target, SweepSize(850, 12, 60)) }
    }

    @Test
    fun `cpu usage lines are summed by kind of work and by urgency`() {
        val line =
            "[x] INFO micatally.cpu - cpu usage heartbeats=10x/20ms/3ms shared keys=4x/8ms/5ms machines=20 waiting=0 " +
                "deltaBytesReceived=100 deltaBytesAnswered=7 writes=lease:2x/0ms/1ms,intent:6x/1ms/9ms requests=lease:30x/0ms/0ms"
        val usageLines = CpuUsageLines(listOf(line, line, "something else"))
        assertEquals(2, usageLines.lineCount)
        assertEquals(20, usageLines.work.getValue("heartbeats").count)
        assertEquals(16, usageLines.work.getValue("shared keys").totalMs)
        assertEquals(12, usageLines.writes.getValue("intent").count)
        assertEquals(9, usageLines.writes.getValue("intent").longestMs)
        assertEquals(200, usageLines.deltaBytesReceived)
        assertEquals(14, usageLines.deltaBytesAnswered)
    }
}
