package micatally.sim

import micatally.standin.Rehearsal
import micatally.wire.JobSpec
import micatally.wire.bytes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** One small test for each failure that was found. */
class FoundTest {
    private fun fleet(seed: Int, test: (SimFleet) -> Unit) {
        val f = SimFleet(seed)
        try { for (i in 0..2) f.startNode(i); f.runFor(3000); test(f) } finally { f.close() }
    }

    private fun SimFleet.submit(node: Int, n: Int, format: String, laps: Int): String {
        val spec = JobSpec.parse(Rehearsal.job(n, format, laps))
        rules.submitted(spec)
        assertEquals(201, asked(node, "POST", "/work", spec.source.bytes()).first)
        return spec.ref
    }

    /** Found by the simulation (seed 159): a node that had taken over a ledger, and then lost the state service, went on
     * answering from memory after the ledger's own host had come back and its user had cancelled the job there. */
    @Test
    fun `a ledger that was taken over is not answered for from memory`() = fleet(1) { f ->
        val ref = f.submit(0, 1, "daemon", 1)
        f.runFor(20_000)
        f.crash(0)
        f.runFor(15_000)
        val taker = (1..2).first { f.live[it]!!.owner.job(ref) != null }
        f.stateRefuses.add("n$taker")
        f.startNode(0)
        f.runFor(1500)
        f.rules.asksToCancel(ref)
        assertEquals(200 to "withdrawn", f.asked(0, "POST", "/work/$ref/cancel"))
        val (status, word) = f.asked(taker, "GET", "/work/$ref")
        assertTrue(status == 503 || word == "withdrawn", "$status $word")
    }
}
