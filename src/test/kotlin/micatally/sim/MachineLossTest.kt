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
 * Machines that stop, hang or lack a task. Their tasks start again on machines that the job allows, and only once there
 * is termination evidence for the old attempt.
 */
class MachineLossTest {
    /**
     * Guards [micatally.scheduling.Placement]: each start keeps to the job's zones and other placement constraints,
     * also when it replaces a lost task.
     */
    @Test
    fun `tasks of jobs bound to one zone start again after their machines are lost`() =
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
     * Guards the probes that the fleet manager sends to machines without heartbeats. Without them, the replicas of a
     * machine that has stopped are missing for a whole lease before the machine is deleted.
     */
    @Test
    fun `a machine that is powered off is deleted before its lease expires, a hung one is not`() =
        withFleet(10) { fleet ->
            // The job needs more machines of the zone than stop: if the whole zone were silent, it would look like a
            // network cut.
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
            powerOff(fleet, lost.name)
            fleet.runFor(fleet.settings[0].leaseMs * 9 / 10)
            assertTrue(fleet.live.any { it!!.machines.of(lost.name)?.deleted == true })
            hung.hung = true
            fleet.runFor(fleet.settings[0].leaseMs * 3 / 2)
            hung.hung = false
            fleet.runFor(3000)
            assertTrue(fleet.live.none { it!!.machines.of(hung.name)?.deleted == true })
        }

    /**
     * Guards the status request to a machine whose heartbeats lack a task. A heartbeat without the task is no
     * termination evidence, so a task that vanished from its machine was waited for without end when the machine was
     * not asked.
     */
    @Test
    fun `a machine that lacks a task is asked, and the task starts again`() =
        scenario(9, largeDeployment) {
            val jobId = submit(0, "daemon", 1)
            allRun(listOf(jobId))
            val task = tasks(jobId).single()
            val worker = worker(task.machine)
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
            runUntil(fleet.lease, "the task starts again") { tasks(jobId).isNotEmpty() }
        }

    /** Stops the machine while the cloud still lists it, as the cloud does for a while. */
    private fun powerOff(
        fleet: SimFleet,
        name: String,
    ) {
        fleet.net.hosts
            .getValue(name)
            .isPoweredOff = true
        fleet.cloud.workers
            .first {
                it.name == name
            }.hung = true
        fleet.net.inboundBlocked.add(name)
    }
}
