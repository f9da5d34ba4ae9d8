package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Zones, leaders or workers are cut off from parts of the fleet for longer than a lease. */
class PartitionTest {
    /**
     * Guards [micatally.settings.Settings.leadershipMs] and [micatally.settings.Settings.cancellationDelayMs]: a
     * controller that has not seen a cancellation stops answering heartbeats early enough for the workers' leases to
     * expire in time.
     */
    @Test
    fun `cancelled tasks stop in time in a zone that is cut off with its controller`() =
        forEachSeed(largeDeployment) {
            val zone = zoneOf(0)
            val toCancel = listOf(submitLongArray(1, 3, "circuit" to zone), submit(1, "daemon", 2, "circuit" to zone))
            val uncancelled = submit(2, "daemon", 2, "circuit" to zone)
            allRun(toCancel + uncancelled)
            val partition = cut(CutMode.HOLD) { from, to -> from.zone == zone && to.zone != zone }
            for (jobId in toCancel) cancel(jobId, listOf(1, 2))
            runUntil(
                fleet.lease * 2,
                "the cancellations are confirmed",
            ) { toCancel.all { fleet.rules.isCancelled(it) } }
            fleet.runFor(fleet.lease / 5)
            assertEquals(2, tasks(uncancelled).size)
            assertTrue(toCancel.any { tasks(it).isNotEmpty() }, "the zone does not know of the cancellations yet")
            fleet.runFor(fleet.cancelMs * 5 / 4)
            heal(partition)
            fleet.runFor(fleet.lease * 2)
            checkRecovery(toCancel + uncancelled)
        }

    /**
     * Guards the limits of a leader that receives nothing: [micatally.settings.Settings.leadershipMs],
     * [micatally.membership.Membership.mayStart], and its lease at the state store
     * ([micatally.membership.Membership.leaseHolds]).
     */
    @Test
    fun `jobs are cancelled at the new leader while the old one is cut off from the state store and its peers`() =
        forEachSeed(largeDeployment) {
            val zone = zoneOf(0)
            val jobIds =
                (1..3).map { submitLongArray(0, 2, "circuit" to zone) } + submit(0, "daemon", 1, "circuit" to zone)
            allRun(jobIds)
            val machines =
                fleet.rules.running
                    .map { it.machine }
                    .toSet()
            val partition =
                cut(if (fleet.random.nextBoolean()) CutMode.HOLD else CutMode.RESET) { from, to ->
                    from.name == "n0" &&
                        (to.name == "state" || to.name.startsWith("n"))
                }
            // The machines can't reach the other controllers, and those can't reach the machines.
            val machinePartition =
                cut(CutMode.HOLD) { from, to ->
                    from.name in machines &&
                        to.name in listOf("n1", "n2")
                }
            runUntil(fleet.lease * 2, "another node takes over the shard") { otherNodes.any { isLeaderOf(it, 0) } }
            for (jobId in jobIds.take(3)) cancel(jobId, otherNodes)
            runUntil(
                fleet.lease * 3,
                "the cancellations are confirmed",
            ) { jobIds.take(3).all { fleet.rules.isCancelled(it) } }
            assertTrue(
                jobIds.take(3).any {
                    tasks(it).isNotEmpty()
                },
                "tasks still run, since the old leader answers their machines",
            )
            for (jobId in jobIds) {
                fleet.users.pollAllNodes(fleet.rules.specs.getValue(jobId))
            }
            fleet.runFor(fleet.cancelMs * 5 / 4)
            heal(partition)
            heal(machinePartition)
            fleet.runFor(fleet.lease * 3)
            assertEquals(0, fleet.rules.runsSentAfterCancel)
            checkRecovery(jobIds)
        }

    /**
     * Guards two rules: controllers send direct commands to machines whose heartbeats reach no controller, and the
     * expiry of a lease by itself is no termination evidence.
     */
    @Test
    fun `tasks can be cancelled by direct commands while no heartbeat reaches a controller`() =
        forEachSeed(largeDeployment) {
            val jobIds = (0..2).flatMap { listOf(submitLongArray(it, 2), submit(it, "daemon", 1)) }
            allRun(jobIds)
            val machines =
                fleet.rules.running
                    .map { it.machine }
                    .distinct()
            fleet.net.outboundBlocked.addAll(machines)
            fleet.runFor(fleet.lease / 2)
            cancel(jobIds[0], listOf(0, 1, 2))
            runUntil(
                fleet.lease / 2,
                "a direct command stops the job",
            ) { tasks(jobIds[0]).isEmpty() && fleet.rules.isCancelled(jobIds[0]) }
            fleet.crash(0)
            fleet.runFor(500)
            fleet.startNode(0)
            fleet.runFor(fleet.lease)
            fleet.net.outboundBlocked.clear()
            fleet.runFor(fleet.lease * 5)
            assertAllTasksRun(jobIds.drop(1))
            checkRecovery(jobIds)
        }

    /**
     * Guards the time for which a controller without contact may answer its workers. A cancellation is confirmed once
     * all controllers know of it, or a lease after it was stored; so a controller may answer its workers longer by that
     * lease. Without it, a zone that was cut off for longer than a lease lost all its tasks shortly before the cut
     * ended, although its controller received the workers' heartbeats all the time.
     */
    @Test
    fun `tasks in a zone that is cut off survive while its controller answers their workers`() =
        withFleet(8) { fleet ->
            val jobIds = (1..3).map { fleet.submit(1, it, "daemon", 3) }
            fleet.runFor(25_000)
            val before = fleet.rules.running.toSet()
            assertEquals(9, before.size)
            val cut = SimNet.Cut({ from, to -> from.zone == "a" && to.zone != "a" }, CutMode.HOLD)
            fleet.net.cuts.add(cut)
            fleet.runFor(fleet.settings[0].leaseMs + 25_000)
            fleet.net.cuts.remove(cut)
            cut.healed.complete(Unit)
            fleet.runFor(10_000)
            assertEquals(before, fleet.rules.running.toSet())
            assertEquals(9, fleet.rules.starts, jobIds.toString())
        }
}
