package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Zones, leaders and workers are cut off from parts of the fleet for longer than a lease. */
class PartitionTest {
    /**
     * Guard: [micatally.settings.Settings.leadershipMs] is shorter than the delay of a cancellation, and
     * [micatally.settings.Settings.cancellationDelayMs] is longer than the workers' leases.
     */
    @Test
    fun `a zone with workers and a controller is cut off for longer than a lease`() =
        forEachSeed(largeDeployment) {
            val zone = zoneOf(0)
            val doomed = listOf(submitLongArray(1, 3, "circuit" to zone), submit(1, "daemon", 2, "circuit" to zone))
            val kept = submit(2, "daemon", 2, "circuit" to zone)
            allRun(doomed + kept)
            val partition = cut(CutMode.HOLD) { from, to -> from.zone == zone && to.zone != zone }
            for (jobId in doomed) cancel(jobId, listOf(1, 2))
            runUntil(fleet.lease * 2, "the cancellations are told") { doomed.all { fleet.rules.isCancelled(it) } }
            fleet.runFor(fleet.lease / 5)
            assertEquals(2, tasks(kept).size)
            assertTrue(doomed.any { tasks(it).isNotEmpty() }, "the zone has not heard of them")
            fleet.runFor(fleet.cancelMs * 5 / 4)
            heal(partition)
            fleet.runFor(fleet.lease * 2)
            checkRecovery(doomed + kept)
        }

    /**
     * Guard: [micatally.settings.Settings.leadershipMs], [micatally.membership.Membership.mayStart] and the lease at
     * the state store ([micatally.membership.Membership.leaseHolds]) bind a leader that receives nothing.
     */
    @Test
    fun `a leader is cut from the state store and the other controllers, and jobs are cancelled through the new one`() =
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
            // Its machines can't be reached by the others.
            val machinePartition =
                cut(CutMode.HOLD) { from, to ->
                    from.name in machines &&
                        to.name in listOf("n1", "n2")
                }
            runUntil(fleet.lease * 2, "a new leader begins") { others.any { isLeaderOf(it, 0) } }
            for (jobId in jobIds.take(3)) cancel(jobId, others)
            runUntil(fleet.lease * 3, "they are told") { jobIds.take(3).all { fleet.rules.isCancelled(it) } }
            assertTrue(jobIds.take(3).any { tasks(it).isNotEmpty() }, "the old leader keeps them up")
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
     * Guard: direct commands reach machines whose heartbeats arrive nowhere; a lease expiry by itself is no
     * termination evidence.
     */
    @Test
    fun `workers can't open connections to any controller while direct commands reach them`() =
        forEachSeed(largeDeployment) {
            val jobIds = (0..2).flatMap { listOf(submitLongArray(it, 2), submit(it, "daemon", 1)) }
            allRun(jobIds)
            val machines =
                fleet.rules.running
                    .map { it.machine }
                    .distinct()
            fleet.net.mute.addAll(machines)
            fleet.runFor(fleet.lease / 2)
            cancel(jobIds[0], listOf(0, 1, 2))
            runUntil(
                fleet.lease / 2,
                "a direct command ends it",
            ) { tasks(jobIds[0]).isEmpty() && fleet.rules.isCancelled(jobIds[0]) }
            fleet.crash(0)
            fleet.runFor(500)
            fleet.startNode(0)
            fleet.runFor(fleet.lease)
            fleet.net.mute.clear()
            fleet.runFor(fleet.lease * 5)
            assertAllTasksRun(jobIds.drop(1))
            checkRecovery(jobIds)
        }

    /**
     * Found in simulated days of whole fleets: a zone was cut off for longer than a lease, and all its tasks were lost
     * a few seconds before the cut ended, though its controller received the workers' heartbeats all the time. Guard:
     * a cancellation is confirmed when all controllers know of it or a lease after it was published, and a controller
     * may answer its workers longer by that lease.
     */
    @Test
    fun `tasks in a zone that is cut off outlive the cut while its controller answers`() =
        withFleet(8) { fleet ->
            val jobIds = (1..3).map { fleet.submit(1, it, "daemon", 3) }
            fleet.runFor(25_000)
            val before = fleet.rules.running.toSet()
            assertEquals(9, before.size)
            val cut = SimNet.Cut({ from, to -> from.zone == "a" && to.zone != "a" }, CutMode.HOLD)
            fleet.net.cuts.add(cut)
            fleet.runFor(fleet.settings[0].leaseMs + 25_000)
            fleet.net.cuts.remove(cut)
            cut.over.complete(Unit)
            fleet.runFor(10_000)
            assertEquals(before, fleet.rules.running.toSet())
            assertEquals(9, fleet.rules.starts, jobIds.toString())
        }
}
