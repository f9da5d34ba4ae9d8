package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * A controller that hears nothing for longer than the limit of [micatally.worker.UnreachableMachines], because
 * it is cut off or suspended, must not have machines deleted that others heard all the time.
 */
class SilentControllerTest {
    /**
     * Guards against a controller that takes its own silence for that of the machines, and asks for their deletion when
     * it returns.
     */
    @Test
    fun `a controller that was cut off from everything has no machine in use deleted on its return`() {
        for (mode in CutMode.entries) {
            forEachSeed(hcmc) {
                assertNoMachineInUseIsDeleted("$mode") {
                    val cut = cut(mode) { from, _ -> from.name == "n0" }
                    fleet.runFor(silenceMs)
                    heal(cut)
                }
            }
        }
    }

    /** Guards the same for a controller that hears its own workers all the time, but not what the others hear. */
    @Test
    fun `a controller that was cut off from the state store and its peers has no machine in use deleted`() {
        for (mode in CutMode.entries) {
            forEachSeed(hcmc) {
                assertNoMachineInUseIsDeleted("$mode") {
                    val cut =
                        cut(mode) { from, to ->
                            from.name == "n0" && (to.name == "state" || to.name.startsWith("n"))
                        }
                    fleet.runFor(silenceMs)
                    heal(cut)
                }
            }
        }
    }

    /**
     * Guards the same for a suspended controller. What it does first when it goes on depends on the moment at which it
     * was suspended, so several are tried.
     */
    @Test
    fun `a controller that was suspended has no machine in use deleted when it goes on`() {
        for (delayMs in 0 until hcmc.reportMs * 2 step 100) {
            scenario(1, hcmc) {
                assertNoMachineInUseIsDeleted("suspended $delayMs ms later") {
                    fleet.runFor(delayMs)
                    fleet.freeze(0)
                    fleet.runFor(silenceMs)
                    fleet.unfreeze(0)
                }
            }
        }
    }

    /**
     * Guards against silence that a new process counts from before its start: the machines are cut off from the
     * controllers for half a lease just as these start.
     */
    @Test
    fun `controllers that have just started do not have a machine deleted that they have not heard yet`() =
        forEachSeed(hcmc) {
            assertNoMachineInUseIsDeleted("started") {
                for (node in 0 until fleet.nodes) fleet.crash(node)
                val machines =
                    fleet.rules.running
                        .map { it.machine }
                        .toSet()
                val cut = cut(CutMode.RESET) { from, _ -> from.name in machines }
                fleet.runFor(200)
                for (node in 0 until fleet.nodes) fleet.startNode(node)
                fleet.runFor(fleet.lease / 2)
                heal(cut)
            }
        }

    /**
     * Guards the purpose of the search: a machine that ended while no controller was up is in no list of the cloud, and
     * no controller ever hears it. Only its deletion proves that its tasks have ended.
     */
    @Test
    fun `tasks start again whose machine ended while all controllers were down`() =
        forEachSeed(hcmc) {
            val jobIds = listOf(submit(0, "daemon", 3, "loaners" to false), submitLongArray(1, 6, "loaners" to false))
            allRun(jobIds)
            for (node in 0 until fleet.nodes) fleet.crash(node)
            for (name in fleet.rules.running
                .map { it.machine }
                .distinct()) {
                fleet.workers.loseMachine(worker(name))
            }
            fleet.runFor(fleet.lease * 2)
            for (node in 0 until fleet.nodes) fleet.startNode(node)
            allRun(jobIds)
        }

    private fun Scenario.assertNoMachineInUseIsDeleted(
        case: String,
        disturb: Scenario.() -> Unit,
    ) {
        val jobIds = listOf(submit(0, "daemon", 3, "loaners" to false), submitLongArray(0, 6, "loaners" to false))
        allRun(jobIds)
        fleet.runFor(fleet.lease)
        val deletedInUse = recordDeletionsInUse()
        disturb()
        fleet.runFor(fleet.lease * 3)
        assertEquals(emptyList<String>(), deletedInUse, "$case: machines that were deleted with running tasks")
        assertAllTasksRun(jobIds)
    }

    /** Longer than any controller waits before it asks for the deletion of a machine that it doesn't hear. */
    private val Scenario.silenceMs: Long
        get() = fleet.settings[0].leadershipMs + fleet.lease * 3

    private companion object {
        val hcmc = Timing.DEPLOYMENTS.getValue("hcmc")

        val Timing.reportMs get() = (reportS * 1000).toLong()
    }
}
