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

/**
 * Records of final jobs are moved to the archive (the prefix `final/`) and back, while controllers restart and run with
 * different archive modes.
 */
class ArchiveTest {
    private fun operator(mode: ArchiveMode) =
        OperatorSettings(listOf(0.1, 1.0, 10.0), 2.0, 0.1, 1.3, archiveMode = mode)

    private fun withArchive(
        seed: Int,
        mode: ArchiveMode = ArchiveMode.ON,
        test: Scenario.() -> Unit,
    ) = scenario(seed, before = { operator = operator(mode) }, test = test)

    /** Submits short jobs at all nodes, cancels every third one, and runs the fleet until all jobs are final. */
    private fun Scenario.finishedJobs(count: Int): List<String> {
        val jobIds = List(count) { submit(it % fleet.nodes, "sweep", 2, runMs = if (it % 3 == 2) 3_600_000 else 500) }
        for ((i, jobId) in jobIds.withIndex()) if (i % 3 == 2) cancel(jobId, listOf(i % fleet.nodes))
        for (jobId in jobIds) poll(jobId)
        runUntil(fleet.lease * 12, "all jobs are final") { jobIds.all { fleet.rules.isFinal(it) } }
        return jobIds
    }

    /** Whether the job's record is in the archive and no longer among the open ones. */
    private fun Scenario.isOnlyFinal(jobId: String) =
        fleet.state.value(Keys.job(jobId)) == null && fleet.state.value(Keys.final(jobId)) != null

    /** Restarts the node with this archive mode and waits until it leads its own shard again. */
    private fun Scenario.restart(
        node: Int,
        mode: ArchiveMode,
    ) {
        fleet.crash(node)
        fleet.runFor(500)
        fleet.operator = operator(mode)
        fleet.startNode(node)
        runUntil(fleet.lease * 2, "node $node leads its shard") { isLeaderOf(node, node) }
    }

    /** Checks that each node, none of which holds these jobs in memory, answers every request about them correctly. */
    private fun Scenario.assertKnownEverywhere(jobIds: List<String>) {
        for (jobId in jobIds) {
            val word = if (fleet.rules.isCancelled(jobId)) "withdrawn" else "done"
            val body =
                fleet.rules.specs
                    .getValue(jobId)
                    .source
            for (node in 0 until fleet.nodes) {
                // The repeated submission comes first: once the node has read the record, it answers from memory.
                assertEquals(200 to word, fleet.asked(node, "POST", "/work", body.bytes()), "$jobId at $node")
                assertEquals(200 to word, fleet.asked(node, "GET", "/work/$jobId"), "$jobId at $node")
                assertEquals(200 to word, fleet.asked(node, "POST", "/work/$jobId/cancel"))
            }
        }
        assertEquals(404, fleet.asked(0, "GET", "/work/j-777777").first)
    }

    /**
     * Guards the second read of [micatally.archive.RecordLookup], and the condition on `final/` in
     * [micatally.job.JobStore].
     */
    @Test
    fun `records of final jobs are archived, and the jobs stay known after all controllers restart`() =
        withArchive(1) {
            val jobIds = finishedJobs(12)
            runUntil(fleet.lease * 20, "all jobs are archived") { jobIds.all { isOnlyFinal(it) } }
            for (node in 0 until fleet.nodes) fleet.crash(node)
            fleet.runFor(fleet.lease)
            for (node in 0 until fleet.nodes) fleet.startNode(node)
            fleet.runFor(fleet.lease)
            assertKnownEverywhere(jobIds)
            assertTrue(jobIds.all { isOnlyFinal(it) }, "a repeated submission writes nothing")
        }

    /** Guards the condition on `final/`: without it, a late write turns an archived job into an open one again. */
    @Test
    fun `a submission that is written after the job was done and archived changes nothing`() =
        withArchive(2) {
            val spec = spec("sweep", 2)
            fleet.workers.fixedRunMs[spec.jobId] = 500
            var heldWrites = 0
            fleet.stateFaults.holdWriteOf =
                { node, body -> if (node == 0 && Keys.job(spec.jobId) in body && heldWrites++ == 0) 150_000L else null }
            fleet.asked(0, "POST", "/work", spec.source.bytes())
            assertTrue(heldWrites > 0)
            runUntil(
                fleet.lease,
                "another node accepts the job",
            ) { fleet.asked(1, "POST", "/work", spec.source.bytes()).first in 200..201 }
            fleet.rules.answeredSubmit(spec.jobId, 201)
            poll(spec.jobId)
            runUntil(140_000, "the job is archived") { isOnlyFinal(spec.jobId) }
            fleet.runFor(150_000)
            assertTrue(isOnlyFinal(spec.jobId))
        }

    /**
     * Guards [micatally.archive.ArchivePlan.mayMove]: records are moved only if every host has announced that it looks
     * in both places, and if every running process states in its live key that it moves records.
     */
    @Test
    fun `no record is moved while a host has not announced, or a process does not move records`() =
        scenario(3, before = { operator = operator(ArchiveMode.ON) }) {
            fleet.crash(2)
            val jobIds = finishedJobsAt(listOf(0, 1))
            restart(2, ArchiveMode.OFF)
            fleet.runFor(fleet.lease * 8)
            assertEquals(
                emptyList<String>(),
                fleet.state.keysUnder(Keys.FINAL),
                "node 2 has not announced that it looks in both places",
            )
            restart(2, ArchiveMode.ON)
            runUntil(fleet.lease * 20, "all jobs are archived") { jobIds.all { isOnlyFinal(it) } }
            restart(2, ArchiveMode.OFF)
            val laterJobIds = finishedJobsAt(listOf(0, 1))
            fleet.runFor(fleet.lease * 8)
            assertTrue(
                laterJobIds.none { isOnlyFinal(it) },
                "one process that moves no records keeps the others from it",
            )
            assertKnownEverywhere(jobIds + laterJobIds)
        }

    /** Submits short jobs at these nodes and runs the fleet until all of them are final. */
    private fun Scenario.finishedJobsAt(nodes: List<Int>): List<String> {
        val jobIds = List(6) { submit(nodes[it % nodes.size], "sweep", 2, runMs = 500) }
        for (jobId in jobIds) poll(jobId)
        runUntil(fleet.lease * 12, "all jobs are final") { jobIds.all { fleet.rules.isFinal(it) } }
        return jobIds
    }

    @Test
    fun `no record is moved while one host has never announced`() =
        withArchive(4, ArchiveMode.OFF) {
            restart(0, ArchiveMode.ON)
            restart(1, ArchiveMode.ON)
            finishedJobs(6)
            fleet.runFor(fleet.lease * 12)
            assertEquals(emptyList<String>(), fleet.state.keysUnder(Keys.FINAL))
        }

    /** The faults: late writes, lost responses, crashes in the middle of a move, and takeovers of shards. */
    @Test
    fun `each record ends up in exactly one place despite crashes, late writes and takeovers`() {
        for (seed in 5..6) {
            withArchive(seed) {
                val jobIds = finishedJobs(18).toMutableList()
                fleet.stateFaults.lateWriteShare = 0.2
                fleet.stateFaults.lostResponseShare = 0.1
                for (round in 0..5) {
                    val node = round % fleet.nodes
                    fleet.crash(node)
                    fleet.runFor(fleet.lease * 3 / 2)
                    fleet.startNode(node)
                    fleet.runFor(fleet.lease * 2)
                }
                fleet.stateFaults.lateWriteShare = 0.0
                fleet.stateFaults.lostResponseShare = 0.0
                jobIds += finishedJobs(6)
                runUntil(fleet.lease * 30, "all jobs are archived") { jobIds.all { isOnlyFinal(it) } }
                assertKnownEverywhere(jobIds)
            }
        }
    }

    /** Restoring prepares a return to an older program, which looks for records in one place only. */
    @Test
    fun `archived records are restored unchanged, and can be archived again`() =
        withArchive(7) {
            val jobIds = finishedJobs(9)
            runUntil(fleet.lease * 20, "all jobs are archived") { jobIds.all { isOnlyFinal(it) } }
            val records = jobIds.associateWith { fleet.state.value(Keys.final(it)) }
            for (node in 0 until fleet.nodes) restart(node, ArchiveMode.RESTORE)
            runUntil(fleet.lease * 20, "all records are restored") {
                jobIds.all {
                    fleet.state.value(Keys.job(it)) !=
                        null
                }
            }
            for (jobId in jobIds) assertEquals(records[jobId], fleet.state.value(Keys.job(jobId)), jobId)
            assertKnownEverywhere(jobIds)
            for (node in 0 until fleet.nodes) restart(node, ArchiveMode.ON)
            runUntil(fleet.lease * 30, "all jobs are archived again") { jobIds.all { isOnlyFinal(it) } }
            assertKnownEverywhere(jobIds)
        }

    /**
     * Guards [micatally.job.JobShard.isUnreadable], and the handling of other shards' records in
     * [micatally.job.ShardRecords]. A record that can't be read used to end the load of a shard with an exception,
     * while the node went on accepting jobs.
     */
    @Test
    fun `a controller that can't load its shard accepts no job until it can`() {
        val damaged =
            JsonObject(mapOf("l" to JsonPrimitive("pitbox-0"), "e" to JsonPrimitive("z"), "k" to JsonPrimitive(1)))
        val repaired = JsonObject(damaged + ("e" to JsonPrimitive("d")))
        scenario(8, before = { state.preload(mapOf(Keys.job("j-000777") to damaged)) }) {
            // The node has only just started, so it must refuse because of the damaged record, not because loading
            // takes long.
            fleet.crash(0)
            fleet.runFor(500)
            fleet.startNode(0)
            runUntil(fleet.lease * 2, "node 0 leads its shard") { isLeaderOf(0, 0) }
            fleet.runFor(300)
            val spec = spec("sweep", 1)
            assertEquals(503, fleet.asked(0, "POST", "/work", spec.source.bytes()).first)
            assertEquals(503, fleet.asked(0, "GET", "/healthz").first)
            assertEquals(503, fleet.asked(1, "GET", "/work/j-000777").first)
            assertEquals(200, fleet.asked(1, "GET", "/healthz").first)
            fleet.state.preload(mapOf(Keys.job("j-000777") to repaired))
            fleet.runFor(2000)
            assertEquals(201, fleet.asked(0, "POST", "/work", spec.source.bytes()).first)
            fleet.rules.answeredSubmit(spec.jobId, 201)
        }
    }
}
