package micatally.sim

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import micatally.emulator.Rehearsal
import micatally.wire.JobSpec
import micatally.wire.bytes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** One small test for each failure that was found. */
class FoundTest {
    private fun fleet(
        seed: Int,
        test: (SimFleet) -> Unit,
    ) {
        val f = SimFleet(seed)
        try {
            for (i in 0..2) f.startNode(i)
            f.runFor(3000)
            test(f)
        } finally {
            f.close()
        }
    }

    private fun SimFleet.submit(
        node: Int,
        n: Int,
        format: String,
        taskCount: Int,
    ): String {
        val spec = JobSpec.parse(Rehearsal.job(n, format, taskCount))
        rules.submitted(spec)
        assertEquals(201, asked(node, "POST", "/work", spec.source.bytes()).first)
        return spec.jobId
    }

    /** Found by the simulation (seed 159): a node that had taken over a shard, and then lost the state service, went on
     * answering from memory after the shard's own host had come back and its user had cancelled the job there. Found at size:
     * such a node, whose workers know a higher token, asked for the shared keys without pause, and users' questions hung. */
    @Test
    fun `a ledger that was taken over is not answered for from memory`() =
        fleet(1) { f ->
            val jobId = f.submit(0, 1, "daemon", 1)
            f.runFor(20_000)
            f.crash(0)
            f.runFor(15_000)
            val taker = (1..2).first { f.live[it]!!.jobManager.job(jobId) != null }
            f.stateRefuses.add("n$taker")
            f.startNode(0)
            f.runFor(1500)
            f.rules.asksToCancel(jobId)
            assertEquals(200 to "withdrawn", f.asked(0, "POST", "/work/$jobId/cancel"))
            val (status, word) = f.asked(taker, "GET", "/work/$jobId")
            assertTrue(status == 503 || word == "withdrawn", "$status $word")
        }

    /** Found on a rough day: in an outage longer than a node's right, every node stopped answering and the whole fleet lost
     * its leases, though no cancellation can be recorded while the state service is out and the nodes heard each other. */
    @Test
    fun `tasks outlive a long outage of the state service while the controllers hear each other`() =
        fleet(2) { f ->
            val jobId = f.submit(0, 1, "daemon", 2)
            f.runFor(20_000)
            assertEquals(2, f.rules.running.count { it.jobId == jobId })
            f.state.down = true
            f.runFor(45_000)
            f.state.down = false
            f.runFor(10_000)
            assertEquals(2, f.rules.running.count { it.jobId == jobId })
            assertEquals(2, f.rules.starts)
        }

    /** Found at size: a team limited in cards only never gave an allotment back, because the cores that its tasks used had none;
     * the jobs of the controllers that came last waited to the end of the day. */
    @Test
    fun `what one ledger no longer uses of a team's limit another one gets`() =
        fleet(6) { f ->
            fun submit(
                node: Int,
                n: Int,
                format: String,
                taskCount: Int,
            ): String {
                val spec =
                    JobSpec.parse(
                        JsonObject(
                            Rehearsal.job(n, format, taskCount) +
                                mapOf("crew" to JsonPrimitive("cards"), "cards" to JsonPrimitive(1.0)),
                        ),
                    )
                f.rules.submitted(spec)
                assertEquals(201, f.asked(node, "POST", "/work", spec.source.bytes()).first)
                return spec.jobId
            }
            submit(0, 1, "daemon", 1)
            for ((node, n) in listOf(0 to 2, 1 to 3)) {
                val jobId = submit(node, n, "sweep", 7)
                f.runFor(120_000)
                assertEquals(7, f.rules.completed[jobId]?.size, jobId)
            }
        }

    /** Found on a day apart: users were sent for half a minute to a node that the state service refused alone. */
    @Test
    fun `a node refused alone is not healthy, in an outage for all every node is`() =
        fleet(7) { f ->
            f.stateRefuses.add("n0")
            f.runFor(5000)
            assertEquals(listOf(503, 200, 200), (0..2).map { f.asked(it, "GET", "/healthz").first })
            f.stateRefuses.clear()
            f.runFor(5000)
            f.state.down = true
            f.runFor(6000)
            assertEquals(listOf(200, 200, 200), (0..2).map { f.asked(it, "GET", "/healthz").first })
        }

    /** The other side of it: a node that hears neither the state service nor a peer must stop answering in time. */
    @Test
    fun `a node alone without the state service stops answering workers`() =
        fleet(3) { f ->
            f.runFor(3000)
            f.crash(1)
            f.crash(2)
            f.state.down = true
            f.runFor(f.settings[0].leadershipMs + 3000)
            assertEquals(micatally.membership.LeadershipState.EXPIRED, f.live[0]!!.membership.leadership)
        }

    /** Found at size: a summary of hundreds of machines was larger than a value may be, and was never published again. */
    @Test
    fun `summaries of many machines fit the state service's values`() =
        fleet(5) { f ->
            for (n in 0 until 500) {
                val m = f.live[0]!!.machines.findOrAdd("m-%06d".format(n), "10.0.0.1:9", "g8", "a", false)
                m.reserve("j-1", n, micatally.wire.Resources(1.0, 0.0, 1.0), Long.MAX_VALUE)
            }
            f.runFor(15_000)
            assertTrue(f.state.keysUnder("s/room/pitbox-0/").size > 1)
            assertTrue(f.state.largestValue <= 16 * 1024)
            for (n in 0 until 500) {
                assertEquals(
                    1.0,
                    f.live[1]!!
                        .machines
                        .findOrAdd("m-%06d".format(n), "10.0.0.1:9", "g8", "a", false)
                        .used.cores,
                )
            }
        }

    /** Found on the days of the fleets: a zone was cut off for longer than a lease, and all its tasks were lost a few seconds
     * before the cut ended, though its controller heard the workers all the time. */
    @Test
    fun `tasks in a zone that is cut off outlive the cut while its controller answers`() =
        fleet(8) { f ->
            val jobIds = (1..3).map { f.submit(1, it, "daemon", 3) }
            f.runFor(25_000)
            val before = f.rules.running.toSet()
            assertEquals(9, before.size)
            val cut = SimNet.Cut({ x, y -> x.zone == "a" && y.zone != "a" }, CutMode.HOLD)
            f.net.cuts.add(cut)
            f.runFor(f.settings[0].leaseMs + 25_000)
            f.net.cuts.remove(cut)
            cut.over.complete(Unit)
            f.runFor(10_000)
            assertEquals(before, f.rules.running.toSet())
            assertEquals(9, f.rules.starts, jobIds.toString())
        }

    /** The other side of it: a cancellation is not told while a controller that may answer workers has not heard of it, nor
     * by a node that reads it from the state service. */
    @Test
    fun `a cancellation is told when all controllers know of it, or a lease after it was published`() =
        fleet(9) { f ->
            val jobId = f.submit(0, 1, "daemon", 3)
            f.runFor(20_000)
            f.rules.asksToCancel(jobId)
            f.net.cuts.add(SimNet.Cut({ x, _ -> x.name == "n1" }, CutMode.HOLD))
            // The tasks' machines don't answer their owner, so that their end is not proven at once.
            for (m in f.rules.running
                .map { it.machine }
                .toSet()) {
                f.net.deaf.add(m)
            }
            val asked = f.now
            assertEquals(503, f.asked(0, "POST", "/work/$jobId/cancel").first)
            f.runFor(3000)
            assertEquals(503, f.asked(2, "GET", "/work/$jobId").first)
            var status = 0
            while (status != 200 &&
                f.now < asked + 60_000
            ) {
                f.runFor(1000)
                status = f.asked(0, "POST", "/work/$jobId/cancel").first
            }
            assertEquals(200, status)
            assertTrue(f.rules.running.isEmpty() || f.now - asked >= f.settings[0].cancellationDelayMs)
        }

    /** Found on a day of losses: replicas of machines that had stopped stayed away for a lease before their machines were deleted. */
    @Test
    fun `a machine without power is deleted before its lease would end, one that hangs is not`() =
        fleet(10) { f ->
            // Three machines of one zone: if the whole zone were silent it would look like a cut.
            val spec =
                JobSpec.parse(
                    JsonObject(
                        Rehearsal.job(
                            1,
                            "daemon",
                            4,
                        ) + mapOf("circuit" to JsonPrimitive("a"), "cores" to JsonPrimitive(5.0)),
                    ),
                )
            f.rules.submitted(spec)
            assertEquals(201, f.asked(0, "POST", "/work", spec.source.bytes()).first)
            f.runFor(25_000)
            val (lost, hung) =
                f.cloud.workers
                    .filter { w -> f.rules.running.any { it.machine == w.name } }
                    .take(2)
            withoutPower(f, lost.name)
            f.runFor(f.settings[0].leaseMs * 9 / 10)
            assertTrue(f.live.any { it!!.machines.of(lost.name)?.deleted == true })
            hung.hung = true
            f.runFor(f.settings[0].leaseMs * 3 / 2)
            hung.hung = false
            f.runFor(3000)
            assertTrue(f.live.none { it!!.machines.of(hung.name)?.deleted == true })
        }

    /** The cloud's list goes on naming a machine that stopped, for a while. */
    private fun withoutPower(
        f: SimFleet,
        name: String,
    ) {
        f.net.hosts
            .getValue(name)
            .dark = true
        f.cloud.workers
            .first {
                it.name ==
                    name
            }.hung =
            true
        f.net.deaf.add(name)
    }
}
