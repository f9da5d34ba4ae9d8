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
    /** Guard: zones and rules of placement hold for each start, whatever was lost before ([micatally.scheduling.Placement]). */
    @Test
    fun `jobs bound to one zone lose machines`() =
        each {
            val jobIds =
                f.settings[0].zones.flatMapIndexed { i, z ->
                    listOf(
                        longArray(i, 4, "circuit" to z),
                        submit(
                            i,
                            "daemon",
                            2,
                            "circuit" to z,
                            "scatter" to false,
                        ),
                    )
                } +
                    longArray(0, 4, "together" to true)
            allRun(jobIds)
            val lost =
                f.rules.running
                    .map { it.machine }
                    .distinct()
                    .shuffled(f.random)
                    .take(4)
            for (m in lost) f.workers.loseMachine(worker(m))
            f.runFor(2000)
            assertTrue(
                jobIds.any {
                    tasks(it).size <
                        f.rules.specs
                            .getValue(it)
                            .taskCount
                },
                "tasks were lost",
            )
            f.runFor(60_000)
            for (r in jobIds) {
                assertEquals(
                    f.rules.specs
                        .getValue(r)
                        .taskCount,
                    tasks(r).size,
                    "$r runs again",
                )
            }
        }

    /** Found on a day of losses: replicas of machines that had stopped stayed away for a lease before their machines were deleted. */
    @Test
    fun `a machine without power is deleted before its lease would end, one that hangs is not`() =
        fleet(10) { f ->
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
            f.rules.submitted(spec)
            assertEquals(201, f.asked(0, "POST", "/work", spec.source.bytes()).first)
            f.runFor(25_000)
            val (lost, hung) =
                f.cloud.workers
                    .filter { w -> f.rules.running.any { it.machine == w.name } }
                    .take(2)
            withoutPower(f, lost.name)
            f.runFor(f.settings[0].leaseMs * 9 / 10)
            assertTrue(f.live.any { it!!.machines.of(lost.name)?.deleted == true })
            hung.hung = true
            f.runFor(f.settings[0].leaseMs * 3 / 2)
            hung.hung = false
            f.runFor(3000)
            assertTrue(f.live.none { it!!.machines.of(hung.name)?.deleted == true })
        }

    /** A task that went from its machine by nobody's known doing was waited for to the end of the day: reports that lack it
     * prove nothing, and the machine was not asked. */
    @Test
    fun `a machine that lacks a task is asked, and the task starts again`() =
        scenario(9, big) {
            val jobId = submit(0, "daemon", 1)
            allRun(listOf(jobId))
            val on = tasks(jobId).single()
            val w = worker(on.machine)
            for (verb in listOf("kill", "clear")) {
                f.scope.launch {
                    w.handle(
                        HttpRequest(
                            "POST",
                            "/orders",
                            "{\"baton\":${w.token},\"stint\":1,\"radio\":[{\"call\":\"$verb\",\"lap\":\"$jobId/0\",\"start\":1,\"cooldown_s\":0}]}"
                                .toByteArray(),
                        ),
                    )
                }
            }
            f.runFor(50)
            assertTrue(tasks(jobId).isEmpty())
            runUntil(f.lease, "it starts again") { tasks(jobId).isNotEmpty() }
        }

    /** The cloud's list goes on naming a machine that stopped, for a while. */
    private fun withoutPower(
        f: SimFleet,
        name: String,
    ) {
        f.net.hosts
            .getValue(name)
            .dark = true
        f.cloud.workers
            .first {
                it.name ==
                    name
            }.hung =
            true
        f.net.deaf.add(name)
    }
}
