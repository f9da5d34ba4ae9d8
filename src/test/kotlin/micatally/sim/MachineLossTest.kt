package micatally.sim

import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import micatally.emulator.Rehearsal
import micatally.http.HttpRequest
import micatally.wire.JobSpec
import micatally.wire.bytes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Machines that stop, hang or lack a task: what they ran starts again, where the job may run, and not before there is
 * evidence that the old attempt has ended.
 */
class MachineLossTest {
    /**
     * Guard: zones and placement constraints hold for each start, whatever was lost before
     * ([micatally.scheduling.Placement]).
     */
    @Test
    fun `jobs bound to one zone lose machines`() =
        forEachSeed {
            val jobIds =
                fleet.settings[0].zones.flatMapIndexed { i, zone ->
                    listOf(
                        submitLongArray(i, 4, "circuit" to zone),
                        submit(
                            i,
                            "daemon",
                            2,
                            "circuit" to zone,
                            "scatter" to false,
                        ),
                    )
                } +
                    submitLongArray(0, 4, "together" to true)
            allRun(jobIds)
            val lost =
                fleet.rules.running
                    .map { it.machine }
                    .distinct()
                    .shuffled(fleet.random)
                    .take(4)
            for (machine in lost) fleet.workers.loseMachine(worker(machine))
            fleet.runFor(2000)
            assertTrue(
                jobIds.any {
                    tasks(it).size <
                        fleet.rules.specs
                            .getValue(it)
                            .taskCount
                },
                "tasks were lost",
            )
            fleet.runFor(60_000)
            assertAllTasksRun(jobIds)
        }

    /**
     * Found on a day of machine losses: replicas of machines that had stopped were missing for a whole lease before
     * their machines were deleted. Guard: the fleet manager asks silent machines itself.
     */
    @Test
    fun `a machine without power is deleted before its lease would end, one that hangs is not`() =
        withFleet(10) { fleet ->
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
            fleet.rules.submitted(spec)
            assertEquals(201, fleet.asked(0, "POST", "/work", spec.source.bytes()).first)
            fleet.runFor(25_000)
            val (lost, hung) =
                fleet.cloud.workers
                    .filter { worker -> fleet.rules.running.any { it.machine == worker.name } }
                    .take(2)
            withoutPower(fleet, lost.name)
            fleet.runFor(fleet.settings[0].leaseMs * 9 / 10)
            assertTrue(fleet.live.any { it!!.machines.of(lost.name)?.deleted == true })
            hung.hung = true
            fleet.runFor(fleet.settings[0].leaseMs * 3 / 2)
            hung.hung = false
            fleet.runFor(3000)
            assertTrue(fleet.live.none { it!!.machines.of(hung.name)?.deleted == true })
        }

    /**
     * A task that vanished from its machine for no known reason was waited for to the end of the day: heartbeats that
     * lack it are no evidence, and the machine was not asked. Guard: a machine that lacks a task is asked for it.
     */
    @Test
    fun `a machine that lacks a task is asked, and the task starts again`() =
        scenario(9, largeDeployment) {
            val jobId = submit(0, "daemon", 1)
            allRun(listOf(jobId))
            val on = tasks(jobId).single()
            val worker = worker(on.machine)
            for (verb in listOf("kill", "clear")) {
                fleet.scope.launch {
                    worker.handle(
                        HttpRequest(
                            "POST",
                            "/orders",
                            "{\"baton\":${worker.token},\"stint\":1,\"radio\":[{\"call\":\"$verb\",\"lap\":\"$jobId/0\",\"start\":1,\"cooldown_s\":0}]}"
                                .toByteArray(),
                        ),
                    )
                }
            }
            fleet.runFor(50)
            assertTrue(tasks(jobId).isEmpty())
            runUntil(fleet.lease, "it starts again") { tasks(jobId).isNotEmpty() }
        }

    /** The cloud's list goes on naming a machine that stopped, for a while. */
    private fun withoutPower(
        fleet: SimFleet,
        name: String,
    ) {
        fleet.net.hosts
            .getValue(name)
            .dark = true
        fleet.cloud.workers
            .first {
                it.name == name
            }.hung = true
        fleet.net.deaf.add(name)
    }
}
