package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Zones, leaders and workers are cut off from parts of the fleet for longer than a lease. */
class PartitionTest {
    /** Guard: [micatally.settings.Settings.leadershipMs] against the cancellation, and [micatally.settings.Settings.cancellationDelayMs] for the tasks. */
    @Test
    fun `a zone with workers and a controller is cut off for longer than a lease`() =
        each(big) {
            val zone = zoneOf(0)
            val doomed = listOf(longArray(1, 3, "circuit" to zone), submit(1, "daemon", 2, "circuit" to zone))
            val kept = submit(2, "daemon", 2, "circuit" to zone)
            allRun(doomed + kept)
            val c = cut(CutMode.HOLD) { a, b -> a.zone == zone && b.zone != zone }
            for (r in doomed) cancel(r, listOf(1, 2))
            runUntil(f.lease * 2, "the cancellations are told") { doomed.all { f.rules.isCancelled(it) } }
            f.runFor(f.lease / 5)
            assertEquals(2, tasks(kept).size)
            assertTrue(doomed.any { tasks(it).isNotEmpty() }, "the zone has not heard of them")
            f.runFor(f.cancelMs * 5 / 4)
            heal(c)
            f.runFor(f.lease * 2)
            afterwards(doomed + kept)
        }

    /** Guard: [micatally.settings.Settings.leadershipMs], [micatally.membership.Membership.mayStart] and the lease at the state service
     * ([micatally.membership.Membership.leaseHolds]) bind a leader that hears of nothing. */
    @Test
    fun `a leader is cut from the state service and the other controllers, and jobs are cancelled through the new one`() =
        each(big) {
            val zone = zoneOf(0)
            val jobIds = (1..3).map { longArray(0, 2, "circuit" to zone) } + submit(0, "daemon", 1, "circuit" to zone)
            allRun(jobIds)
            val machines =
                f.rules.running
                    .map { it.machine }
                    .toSet()
            val c =
                cut(if (f.random.nextBoolean()) CutMode.HOLD else CutMode.RESET) { a, b ->
                    a.name == "n0" &&
                        (b.name == "state" || b.name.startsWith("n"))
                }
            // Its machines can't be reached by the others.
            val d = cut(CutMode.HOLD) { a, b -> a.name in machines && b.name in listOf("n1", "n2") }
            runUntil(f.lease * 2, "a new leader begins") { others.any { holdsOf(it, 0) } }
            for (r in jobIds.take(3)) cancel(r, others)
            runUntil(f.lease * 3, "they are told") { jobIds.take(3).all { f.rules.isCancelled(it) } }
            assertTrue(jobIds.take(3).any { tasks(it).isNotEmpty() }, "the old leader keeps them up")
            for (r in jobIds) {
                f.users.pollAllNodes(f.rules.specs.getValue(r))
            }
            f.runFor(f.cancelMs * 5 / 4)
            heal(c)
            heal(d)
            f.runFor(f.lease * 3)
            assertEquals(0, f.rules.runsSentAfterCancel)
            afterwards(jobIds)
        }

    /** Guard: direct orders reach what reports don't; the end of a lease is not a proof by itself. */
    @Test
    fun `workers can't open connections to any controller while direct commands reach them`() =
        each(big) {
            val jobIds = (0..2).flatMap { listOf(longArray(it, 2), submit(it, "daemon", 1)) }
            allRun(jobIds)
            val machines =
                f.rules.running
                    .map { it.machine }
                    .distinct()
            f.net.mute.addAll(machines)
            f.runFor(f.lease / 2)
            cancel(jobIds[0], listOf(0, 1, 2))
            runUntil(
                f.lease / 2,
                "a direct command ends it",
            ) { tasks(jobIds[0]).isEmpty() && f.rules.isCancelled(jobIds[0]) }
            f.crash(0)
            f.runFor(500)
            f.startNode(0)
            f.runFor(f.lease)
            f.net.mute.clear()
            f.runFor(f.lease * 5)
            for (r in jobIds.drop(1)) {
                assertEquals(
                    f.rules.specs
                        .getValue(r)
                        .taskCount,
                    tasks(r).size,
                    r,
                )
            }
            afterwards(jobIds)
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
}
