package micatally.sim

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import micatally.archive.ArchiveMode
import micatally.membership.Keys
import micatally.settings.OperatorSettings
import micatally.wire.bytes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Records of jobs that are over move away from the open ones, and back, while controllers come, go and differ. */
class ArchiveTest {
    private fun operator(mode: ArchiveMode) =
        OperatorSettings(listOf(0.1, 1.0, 10.0), 2.0, 0.1, 1.3, archiveMode = mode)

    private fun archived(
        seed: Int,
        mode: ArchiveMode = ArchiveMode.ON,
        test: Scenario.() -> Unit,
    ) = scenario(seed, before = { operator = operator(mode) }, test = test)

    /** Short jobs at all nodes, every third of them cancelled; waits until all are over. */
    private fun Scenario.finishedJobs(count: Int): List<String> {
        val jobIds = List(count) { submit(it % fleet.nodes, "sweep", 2, runMs = if (it % 3 == 2) 3_600_000 else 500) }
        for ((i, jobId) in jobIds.withIndex()) if (i % 3 == 2) cancel(jobId, listOf(i % fleet.nodes))
        for (jobId in jobIds) poll(jobId)
        runUntil(fleet.lease * 12, "all are over") { jobIds.all { fleet.rules.isFinal(it) } }
        return jobIds
    }

    private fun Scenario.isOnlyFinal(jobId: String) =
        fleet.state.value(Keys.job(jobId)) == null && fleet.state.value(Keys.final(jobId)) != null

    private fun Scenario.restart(
        node: Int,
        mode: ArchiveMode,
    ) {
        fleet.crash(node)
        fleet.runFor(500)
        fleet.operator = operator(mode)
        fleet.startNode(node)
        runUntil(fleet.lease * 2, "node $node has its shard") { isLeaderOf(node, node) }
    }

    /** Everybody asks about every job at every node, which has nothing of it in memory. */
    private fun Scenario.assertKnownEverywhere(jobIds: List<String>) {
        for (jobId in jobIds) {
            val word = if (fleet.rules.isCancelled(jobId)) "withdrawn" else "done"
            val body =
                fleet.rules.specs
                    .getValue(jobId)
                    .source
            for (node in 0 until fleet.nodes) {
                // The repeat first: once the node has read the record it answers from memory.
                assertEquals(200 to word, fleet.asked(node, "POST", "/work", body.bytes()), "$jobId at $node")
                assertEquals(200 to word, fleet.asked(node, "GET", "/work/$jobId"), "$jobId at $node")
                assertEquals(200 to word, fleet.asked(node, "POST", "/work/$jobId/cancel"))
            }
        }
        assertEquals(404, fleet.asked(0, "GET", "/work/j-777777").first)
    }

    /** Guards: the second read of [micatally.archive.RecordLookup]; the condition on `final/` in [micatally.job.JobStore]. */
    @Test
    fun `jobs that are over leave the list of open ones and are known for good`() =
        archived(1) {
            val jobIds = finishedJobs(12)
            runUntil(fleet.lease * 20, "all are archived") { jobIds.all { isOnlyFinal(it) } }
            for (node in 0 until fleet.nodes) fleet.crash(node)
            fleet.runFor(fleet.lease)
            for (node in 0 until fleet.nodes) fleet.startNode(node)
            fleet.runFor(fleet.lease)
            assertKnownEverywhere(jobIds)
            assertTrue(jobIds.all { isOnlyFinal(it) }, "a repeat writes nothing")
        }

    /** Guard: the condition on `final/`. Without it the write makes a finished job an open one again. */
    @Test
    fun `a submission that is carried out after the job was done and archived elsewhere changes nothing`() =
        archived(2) {
            val spec = spec("sweep", 2)
            fleet.workers.fixedRunMs[spec.jobId] = 500
            var held = 0
            fleet.stateFaults.holdWriteOf =
                { node, body -> if (node == 0 && Keys.job(spec.jobId) in body && held++ == 0) 150_000L else null }
            fleet.asked(0, "POST", "/work", spec.source.bytes())
            assertTrue(held > 0)
            runUntil(
                fleet.lease,
                "another node takes it",
            ) { fleet.asked(1, "POST", "/work", spec.source.bytes()).first in 200..201 }
            fleet.rules.answeredSubmit(spec.jobId, 201)
            poll(spec.jobId)
            runUntil(140_000, "it is archived") { isOnlyFinal(spec.jobId) }
            fleet.runFor(150_000)
            assertTrue(isOnlyFinal(spec.jobId))
        }

    /** Guards: announcements of all hosts, and the field in the live keys, in [micatally.archive.ArchivePlan.mayMove]. */
    @Test
    fun `nothing moves while a host is not ready, or one of its processes is of another mind`() =
        scenario(3, before = { operator = operator(ArchiveMode.ON) }) {
            fleet.crash(2)
            val jobIds = finishedJobsAt(listOf(0, 1))
            restart(2, ArchiveMode.OFF)
            fleet.runFor(fleet.lease * 8)
            assertEquals(emptyList<String>(), fleet.state.keysUnder(Keys.FINAL), "the host has not announced")
            restart(2, ArchiveMode.ON)
            runUntil(fleet.lease * 20, "all are archived") { jobIds.all { isOnlyFinal(it) } }
            restart(2, ArchiveMode.OFF)
            val later = finishedJobsAt(listOf(0, 1))
            fleet.runFor(fleet.lease * 8)
            assertTrue(later.none { isOnlyFinal(it) }, "a process that moves nothing stops the others")
            assertKnownEverywhere(jobIds + later)
        }

    private fun Scenario.finishedJobsAt(nodes: List<Int>): List<String> {
        val jobIds = List(6) { submit(nodes[it % nodes.size], "sweep", 2, runMs = 500) }
        for (jobId in jobIds) poll(jobId)
        runUntil(fleet.lease * 12, "all are over") { jobIds.all { fleet.rules.isFinal(it) } }
        return jobIds
    }

    @Test
    fun `a host that has never announced keeps all records where they are`() =
        archived(4, ArchiveMode.OFF) {
            restart(0, ArchiveMode.ON)
            restart(1, ArchiveMode.ON)
            finishedJobs(6)
            fleet.runFor(fleet.lease * 12)
            assertEquals(emptyList<String>(), fleet.state.keysUnder(Keys.FINAL))
        }

    /** Moves that come late, answers that are lost, processes that end in the middle, shards that change hands. */
    @Test
    fun `each record stays in exactly one place through ends, late writes and takeovers`() {
        for (seed in 5..6) {
            archived(seed) {
                val jobIds = finishedJobs(18).toMutableList()
                fleet.stateFaults.lateWrites = 0.2
                fleet.stateFaults.lostAnswers = 0.1
                for (round in 0..5) {
                    val node = round % fleet.nodes
                    fleet.crash(node)
                    fleet.runFor(fleet.lease * 3 / 2)
                    fleet.startNode(node)
                    fleet.runFor(fleet.lease * 2)
                }
                fleet.stateFaults.lateWrites = 0.0
                fleet.stateFaults.lostAnswers = 0.0
                jobIds += finishedJobs(6)
                runUntil(fleet.lease * 30, "all are archived") { jobIds.all { isOnlyFinal(it) } }
                assertKnownEverywhere(jobIds)
            }
        }
    }

    /** The way back to a program that looks in one place only, and forward again. */
    @Test
    fun `archived records are copied back whole, and archived again`() =
        archived(7) {
            val jobIds = finishedJobs(9)
            runUntil(fleet.lease * 20, "all are archived") { jobIds.all { isOnlyFinal(it) } }
            val records = jobIds.associateWith { fleet.state.value(Keys.final(it)) }
            for (node in 0 until fleet.nodes) restart(node, ArchiveMode.RESTORE)
            runUntil(fleet.lease * 20, "all are back") { jobIds.all { fleet.state.value(Keys.job(it)) != null } }
            for (jobId in jobIds) assertEquals(records[jobId], fleet.state.value(Keys.job(jobId)), jobId)
            assertKnownEverywhere(jobIds)
            for (node in 0 until fleet.nodes) restart(node, ArchiveMode.ON)
            runUntil(fleet.lease * 30, "all are archived again") { jobIds.all { isOnlyFinal(it) } }
            assertKnownEverywhere(jobIds)
        }

    /** Guards: [micatally.job.JobShard.isUnreadable]; other shards' records in [micatally.job.ShardRecords].
     * A record that can't be read used to end the loading with an exception, while the node went on accepting jobs. */
    @Test
    fun `a controller that can't load its shard accepts nothing until it can`() {
        val damaged =
            JsonObject(mapOf("l" to JsonPrimitive("pitbox-0"), "e" to JsonPrimitive("z"), "k" to JsonPrimitive(1)))
        val mended = JsonObject(damaged + ("e" to JsonPrimitive("d")))
        scenario(8, before = { state.preload(mapOf(Keys.job("j-000777") to damaged)) }) {
            // Just started: it is told by the record, not by the time that the loading takes.
            fleet.crash(0)
            fleet.runFor(500)
            fleet.startNode(0)
            runUntil(fleet.lease * 2, "node 0 has its shard") { isLeaderOf(0, 0) }
            fleet.runFor(300)
            val spec = spec("sweep", 1)
            assertEquals(503, fleet.asked(0, "POST", "/work", spec.source.bytes()).first)
            assertEquals(503, fleet.asked(0, "GET", "/healthz").first)
            assertEquals(503, fleet.asked(1, "GET", "/work/j-000777").first)
            assertEquals(200, fleet.asked(1, "GET", "/healthz").first)
            fleet.state.preload(mapOf(Keys.job("j-000777") to mended))
            fleet.runFor(2000)
            assertEquals(201, fleet.asked(0, "POST", "/work", spec.source.bytes()).first)
            fleet.rules.answeredSubmit(spec.jobId, 201)
        }
    }
}
