package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.http.HttpRequest
import micatally.membership.Keys
import micatally.state.StateLimits
import micatally.wire.bytes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Upgrades of running fleets, and lower limits of the state store that take effect at any time after an upgrade. A node
 * in [StateStoreFaults.formerVersionNodes] announces no format, like the previous version. What that version stores and
 * reads is checked by `FormatTest`.
 */
class RolloutTest {
    /** The limits that the state store enforces after [SimFleet.lowerLimits]. */
    private val smallLimits = StateLimits(250.0, 60.0, 2 * 1024, 6)

    /** Limits with such small values that a compressed record takes several of them. */
    private val tinyLimits = StateLimits(250.0, 60.0, 1024, 6)

    /** Runs the test on a fleet whose controllers all start as the previous version. */
    private fun rollout(
        seed: Int,
        nodes: Int = 3,
        nextLimits: StateLimits = this.smallLimits,
        test: Scenario.() -> Unit,
    ) = scenario(seed, nodes = nodes, nextLimits = nextLimits, before = {
        stateFaults.formerVersionNodes.addAll(0 until nodes)
    }, test = test)

    /** Restarts the node with the present version; it is down for 4 s. */
    private fun Scenario.upgrade(node: Int) {
        fleet.crash(node)
        fleet.stateFaults.formerVersionNodes.remove(node)
        fleet.runFor(4000)
        fleet.startNode(node)
        fleet.runFor(fleet.lease)
    }

    private val Scenario.format get() = fleet.state.value(Keys.FORMAT)

    /** Guards [micatally.upgrade.UpgradePlan.nextStep]: the format is raised only once every host has announced it. */
    @Test
    fun `the format is raised once all hosts have announced it, also if one restarted with the old version`() =
        rollout(1) {
            upgrade(0)
            fleet.crash(1)
            fleet.runFor(500)
            fleet.startNode(1)
            upgrade(2)
            assertNull(format, "pitbox-1 restarted with the old version")
            fleet.crash(0)
            upgrade(1)
            assertTrue(format != null, "a host that has announced the format and is down does not delay it")
        }

    @Test
    fun `the format is raised within two seconds if all controllers start with the new version`() =
        scenario(2) {
            fleet.runFor(2000)
            assertTrue(format != null)
        }

    /** Guards [micatally.api.AdmissionRules.check], which accepts gangs only once the upgrade is finished. */
    @Test
    fun `a gang is refused with 503 before the upgrade is finished, and accepted afterwards`() =
        rollout(3) {
            upgrade(0)
            val spec = spec("gang", 3)
            assertEquals(503, fleet.asked(0, "POST", "/work", spec.source.bytes()).first)
            upgrade(1)
            upgrade(2)
            assertEquals(201, fleet.asked(0, "POST", "/work", spec.source.bytes()).first)
            fleet.rules.answeredSubmit(spec.jobId, 201)
            runUntil(60_000, "the gang is done") { fleet.rules.completed[spec.jobId]?.size == 3 }
        }

    /** Shards move between old and new versions during cancellations, an outage of the state store and a crash. */
    @Test
    fun `jobs survive an upgrade with takeovers, an outage and a restart with the old version`() =
        rollout(4) {
            val services = (0..2).map { submit(it, "daemon", 2) }
            val toCancel = (0..2).map { submit(it, "sweep", 4, runMs = 3_600_000) }
            allRun(services + toCancel)
            fleet.crash(0)
            fleet.stateFaults.formerVersionNodes.remove(0)
            runUntil(
                fleet.lease * 3,
                "a node of the old version takes over the shard",
            ) { otherNodes.any { isLeaderOf(it, 0) } }
            fleet.startNode(0)
            runUntil(fleet.lease * 3, "node 0 leads its shard with the new version") { isLeaderOf(0, 0) }
            cancel(toCancel[0], listOf(0, 1, 2))
            fleet.state.down = true
            fleet.runFor(fleet.lease / 2)
            fleet.crash(1)
            fleet.state.down = false
            fleet.runFor(300)
            fleet.startNode(1)
            cancel(toCancel[1], listOf(0, 2))
            fleet.runFor(1000)
            upgrade(1)
            cancel(toCancel[2], listOf(0, 1, 2))
            fleet.runFor(50)
            upgrade(2)
            fleet.lowerLimits()
            fleet.runFor(fleet.lease * 2)
            checkRecovery(services + toCancel)
            assertTrue(toCancel.all { fleet.rules.isCancelled(it) })
            assertTrue(format != null)
        }

    /**
     * Submits a job whose record is close to the largest value that the previous version may store. The nodes run
     * without settings for lower limits meanwhile, since they would keep to those.
     */
    private fun Scenario.largeJob(): String {
        val nextLimits = fleet.nextLimits!!
        fleet.nextLimits = null
        for (i in 0 until fleet.nodes) fleet.crash(i)
        fleet.runFor(500)
        for (i in 0 until fleet.nodes) fleet.startNode(i)
        fleet.runFor(fleet.lease)
        val jobId = submit(0, "sweep", 390, "cores" to 0.1, "ram_gb" to 0.1, runMs = 3_600_000)
        allRun(listOf(jobId))
        assertTrue(
            fleet.state
                .value(Keys.job(jobId))
                .toString()
                .length > nextLimits.valueBytes * 3 / 2,
            "the record is larger than the lower limit",
        )
        fleet.nextLimits = nextLimits
        return jobId
    }

    /**
     * Guards [micatally.job.RecordPacking]: without it the record can't be written, and the cancellation is never
     * confirmed.
     */
    @Test
    fun `a job whose record is larger than the new limit can be cancelled`() {
        for (limits in listOf(smallLimits, tinyLimits)) rollout(5, nextLimits = limits) { cancelAfterDrop() }
    }

    private fun Scenario.cancelAfterDrop() {
        val jobId = largeJob()
        for (i in 0..2) upgrade(i)
        fleet.lowerLimits()
        cancel(jobId, listOf(0, 1, 2))
        runUntil(fleet.lease * 2, "the cancellation is confirmed") { fleet.rules.isCancelled(jobId) }
        fleet.runFor(fleet.cancelMs)
        assertEquals(0, tasks(jobId).size)
        checkRecovery(listOf(jobId))
    }

    /**
     * Guards [micatally.job.JobManager]: the further values of a record are read with it. Without them, the tasks of
     * the job are started again.
     */
    @Test
    fun `a job whose record is larger than the new limit is taken over with its tasks`() {
        for (limits in listOf(smallLimits, tinyLimits)) rollout(6, nextLimits = limits) { takeOverAfterDrop(limits) }
    }

    private fun Scenario.takeOverAfterDrop(limits: StateLimits) {
        val jobId = largeJob()
        for (i in 0..2) upgrade(i)
        fleet.lowerLimits()
        val lost = tasks(jobId).first().machine
        fleet.workers.loseMachine(worker(lost))
        fleet.runFor(fleet.lease * 3)
        assertTrue("z" in fleet.state.value(Keys.job(jobId))!!, "the record is compressed")
        assertEquals(
            limits === tinyLimits,
            fleet.state.keysUnder(Keys.JOB_PART).isNotEmpty(),
            "the record takes several values where one is too small",
        )
        val running = tasks(jobId).toSet()
        fleet.crash(0)
        runUntil(fleet.lease * 3, "another node takes over the shard") { otherNodes.any { isLeaderOf(it, 0) } }
        fleet.runFor(fleet.lease)
        assertTrue(tasks(jobId).containsAll(running), "running tasks are not stopped")
        fleet.startNode(0)
        fleet.runFor(fleet.lease)
        cancel(jobId, listOf(0, 1, 2))
        runUntil(fleet.lease * 2, "the cancellation is confirmed") { fleet.rules.isCancelled(jobId) }
        checkRecovery(listOf(jobId))
    }

    /**
     * Guards [micatally.settings.Settings.watchEveryMs]: without it, watches of shared keys that change all the time
     * use up the controllers' requests to the state store, and nothing is stored any more.
     */
    @Test
    fun `controllers store and run jobs while shared keys change all the time`() =
        scenario(8, nodes = 5, nextLimits = StateLimits(80.0, 50.0, 16 * 1024, 20)) {
            fleet.runFor(5000)
            fleet.scope.launch {
                while (true) {
                    delay(33)
                    fleet.state.handle(
                        HttpRequest(
                            "POST",
                            "/txn",
                            "{\"when\":[],\"then\":[{\"put\":\"c/team/nobody\",\"value\":{}}]}".toByteArray(),
                        ),
                    )
                }
            }
            fleet.runFor(fleet.lease * 2)
            val jobIds = (0..4).map { submit(it, "sweep", 4, runMs = 2000) }
            runUntil(fleet.lease * 5, "all jobs are done") { jobIds.all { fleet.rules.completed[it]?.size == 4 } }
            assertTrue((0..4).all { isLeaderOf(it, it) }, "no node lost its shard")
        }

    /**
     * Guards [micatally.state.RateBudget]: controllers keep to the lower write rate before it takes effect, and a
     * refusal by the state store empties the budget.
     */
    @Test
    fun `leases are renewed and a cancellation is confirmed when the limits drop under load`() =
        rollout(7) {
            for (i in 0..2) upgrade(i)
            val jobIds =
                (0..2).flatMap { node ->
                    (1..8).map { submit(node, "sweep", 6, "cores" to 0.2, runMs = 4000) }
                }
            fleet.lowerLimits()
            val toCancel = submit(1, "daemon", 2)
            allRun(listOf(toCancel))
            fleet.scope.launch { delay(500) }
            cancel(toCancel, listOf(0, 2))
            runUntil(fleet.lease, "the cancellation is confirmed") { fleet.rules.isCancelled(toCancel) }
            runUntil(120_000, "all jobs are done") { jobIds.all { fleet.rules.completed[it]?.size == 6 } }
            assertTrue((0..2).all { isLeaderOf(it, it) }, "no node lost its shard")
        }
}
