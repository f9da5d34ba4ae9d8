package micatally.sim

import kotlinx.coroutines.launch
import micatally.membership.Keys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Controllers crash, restart and take over each other's shards. Every task keeps running or starts again, and none runs
 * twice. [SimFleet] checks the rules after every step; each test also asserts that its fault did occur.
 */
class FailoverSafetyTest {
    /**
     * Guards two rules: an intent is durable before its start command is sent, and its write is conditional on the
     * shard being led in the same term; and a new leader first asks the machine with its own fencing token
     * ([micatally.worker.CommandDispatcher]).
     */
    @Test
    fun `tasks on newly booted machines survive late writes and crashes of their leader`() =
        forEachSeed(largeDeployment) {
            fleet.cloud.bootMs = { fleet.random.nextLong(200, 2000) }
            fleet.stateFaults.lateWriteShare = 0.3
            val jobIds = ArrayList<String>()
            repeat(6) {
                fleet.scope.launch {
                    fleet.users.launchUser(
                        spec("sweep", 4).also { spec ->
                            fleet.workers.fixedRunMs[spec.jobId] = 30_000
                            jobIds.add(spec.jobId)
                        },
                        null,
                    )
                }
                fleet.runFor(1500)
            }
            runUntil(fleet.lease * 2, "tasks run on new machines") { fleet.rules.running.isNotEmpty() }
            val before = fleet.stateFaults.writesWithoutResponse
            fleet.crash(0)
            fleet.runFor(200)
            fleet.startNode(0)
            fleet.runFor(2500)
            fleet.crash(1)
            fleet.runFor(fleet.lease)
            fleet.startNode(1)
            fleet.runFor(fleet.lease)
            assertTrue(fleet.stateFaults.writesWithoutResponse > before, "some writes were late")
            fleet.stateFaults.lateWriteShare = 0.0
            fleet.runFor(fleet.lease * 6)
            for (jobId in jobIds) {
                assertTrue(
                    fleet.rules.isAccepted(jobId) && fleet.rules.isDone(jobId),
                    "$jobId is done",
                )
            }
        }

    /**
     * Guards [micatally.job.JobManager.terminate]: only termination evidence ends an attempt, so tasks on a machine
     * that cannot be reached are not started elsewhere.
     */
    @Test
    fun `tasks survive a crash of their leader while their machines are cut off in one direction`() =
        forEachSeed(largeDeployment) {
            val jobIds = (1..3).map { submitLongArray(0, 3) }
            allRun(jobIds)
            val machines =
                fleet.rules.running
                    .mapTo(HashSet()) { it.machine }
                    .sorted()
            for ((i, machine) in machines.withIndex()) if (i % 2 == 0) fleet.net.inboundBlocked.add(machine)
            val partition =
                cut(CutMode.HOLD) { from, to ->
                    machines.indexOf(from.name) % 2 == 1 &&
                        to.name.startsWith("n")
                }
            fleet.crash(0)
            runUntil(fleet.lease * 2, "another node takes over the shard") { otherNodes.any { isLeaderOf(it, 0) } }
            fleet.runFor(fleet.lease / 4)
            fleet.startNode(0)
            fleet.runFor(fleet.lease * 3 / 4)
            fleet.net.inboundBlocked.clear()
            heal(partition)
            fleet.runFor(fleet.lease * 5)
            for (jobId in jobIds) assertEquals(3, tasks(jobId).size, "all tasks of $jobId run")
        }

    /**
     * Guards two rules: a newer incarnation is termination evidence while the expiry of a lease alone is none, and a
     * new leader asks the machines before it places tasks.
     */
    @Test
    fun `jobs survive when all controllers are down for longer than a lease`() =
        forEachSeed(largeDeployment) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 2), submitLongArray(it, 3)) }
            allRun(jobIds)
            cancel(jobIds[1], listOf(0, 1, 2))
            fleet.runFor(30)
            for (i in 0..2) fleet.crash(i)
            fleet.runFor(fleet.lease * 5 / 4)
            assertTrue(fleet.rules.running.isEmpty(), "the workers' leases expired")
            for (i in 0..2) {
                fleet.startNode(i)
                fleet.runFor(300)
            }
            fleet.runFor(fleet.lease * 5)
            assertAllTasksRun(jobIds.drop(2))
            checkRecovery(jobIds)
        }

    /**
     * Guards the order of writes: the completed tasks are written with the job's record before the last one makes the
     * job done.
     */
    @Test
    fun `jobs whose tasks complete under different leaders are done`() =
        forEachSeed(largeDeployment) {
            val jobIds = (1..4).map { submit(0, "sweep", 2 + it % 2) }
            for (jobId in jobIds) fleet.workers.fixedRunMs[jobId] = fleet.lease / 4
            runUntil(
                fleet.lease * 3,
                "a task of each job has completed",
            ) { jobIds.all { fleet.rules.completed.containsKey(it) } }
            fleet.crash(0)
            fleet.runFor(fleet.lease / 5)
            fleet.startNode(0)
            fleet.runFor(fleet.lease / 2)
            fleet.crash(0)
            runUntil(fleet.lease * 2, "another node takes over the shard") { otherNodes.any { isLeaderOf(it, 0) } }
            fleet.startNode(0)
            fleet.runFor(fleet.lease * 4)
            checkRecovery(jobIds)
            for (jobId in jobIds) assertTrue(fleet.rules.isDone(jobId), "$jobId is done")
        }

    /**
     * Guards [micatally.membership.ShardAcquisition.isOrphaned]: a shard is led by a process, not by a host. If a process
     * ends that had taken over other shards, these are taken over again.
     */
    @Test
    fun `shards that were taken over find a new leader when that leader or all controllers crash`() =
        forEachSeed(largeDeployment) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 2), submitLongArray(it, 2)) }
            allRun(jobIds)
            fleet.crash(0)
            runUntil(fleet.lease * 2, "another node takes over the shard") { otherNodes.any { isLeaderOf(it, 0) } }
            val newLeader = otherNodes.first { isLeaderOf(it, 0) }
            fleet.crash(newLeader)
            fleet.runFor(400)
            fleet.startNode(newLeader)
            runUntil(fleet.lease * 3, "the shard has a leader again while its host is down") {
                otherNodes.any { isLeaderOf(it, 0) }
            }
            cancel(jobIds[0], otherNodes)
            runUntil(fleet.lease * 2, "a job of the shard is cancelled") { fleet.rules.isCancelled(jobIds[0]) }
            fleet.startNode(0)
            runUntil(fleet.lease * 2, "node 0 leads its shard again") { isLeaderOf(0, 0) }
            for (i in 0..2) fleet.crash(i)
            fleet.runFor(600)
            fleet.startNode(1)
            runUntil(fleet.lease * 3, "the restarted node leads all shards") { (0..2).all { isLeaderOf(1, it) } }
            fleet.runFor(fleet.lease / 2)
            fleet.startNode(0)
            fleet.startNode(2)
            fleet.runFor(fleet.lease * 4)
            assertAllTasksRun(jobIds.drop(1))
            checkRecovery(jobIds)
        }

    /** Guards the fencing token, which each acquisition of a shard raises and each command carries. */
    @Test
    fun `jobs survive ten changes of leader in two minutes, some during an outage of the state store`() =
        forEachSeed(largeDeployment) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 2), submitLongArray(it, 2)) }
            allRun(jobIds)
            val fencingTokens = HashSet<Long>()
            repeat(10) { i ->
                val node = i % 3
                fleet.crash(node)
                fleet.runFor(fleet.random.nextLong(100, 8000))
                if (i == 4) fleet.state.down = true
                if (i == 6) fleet.state.down = false
                fleet.startNode(node)
                if (i == 3 || i == 7) cancel(jobIds[i - 2], listOf(0, 1, 2))
                fleet.runFor(fleet.random.nextLong(1000, 7000))
                fencingTokens.add(
                    fleet.live[node]!!
                        .membership.sharedKeys.fencingToken,
                )
            }
            assertTrue(fencingTokens.size >= 6, "$fencingTokens")
            fleet.runFor(fleet.lease * 4)
            checkRecovery(jobIds)
            assertTrue(fleet.rules.isCancelled(jobIds[1]) && fleet.rules.isCancelled(jobIds[5]))
        }

    /**
     * Guards the condition of a takeover: it is the `modRevision` that the decision was based on. A takeover can wait
     * for its turn at the state store. If another controller acquires the shard meanwhile, a condition on the shard's
     * present `modRevision` would take the shard from that live controller.
     */
    @Test
    fun `a takeover that was delayed does not take the shard from its next leader`() =
        scenario(1) {
            val shard = fleet.settings[0].host
            val formerLeader =
                fleet.live[1]!!
                    .membership.sharedKeys
                    .leader(shard)!!
            fleet.crash(0)
            runUntil(fleet.lease * 3, "another controller leads the shard") { leaderOf(0) != null }
            val nextLeader = leaderOf(0)!!
            val slowNode = otherNodes.first { it != nextLeader }
            val membership = fleet.live[slowNode]!!.membership
            runUntil(fleet.lease, "the third controller has seen the new leader") {
                membership.sharedKeys.leader(shard)?.modRevision !=
                    formerLeader.modRevision
            }
            var isTaken: Boolean? = null
            fleet.scope.launch {
                isTaken =
                    membership.acquire(shard, "its leader ${formerLeader.host} is dead", formerLeader)
            }
            runUntil(fleet.lease, "the takeover attempt has returned") { isTaken != null }
            assertFalse(isTaken!!)
            assertEquals(nextLeader, leaderOf(0))
            assertNotEquals(formerLeader.modRevision, membership.sharedKeys.modRevision(Keys.shard(shard)))
        }
}
