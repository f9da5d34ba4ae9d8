package micatally.sim

import kotlinx.coroutines.launch
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.config.ConfigurationPaths
import micatally.config.ConfigurationWriter
import micatally.job.AttemptState
import micatally.membership.Keys
import micatally.settings.OperatorSettings
import micatally.settings.Team
import micatally.upgrade.FormatVersion
import micatally.wire.ChangeAnswer
import micatally.wire.ChangeStatus
import micatally.wire.ConfigurationChange
import micatally.wire.ConfigurationStatus
import micatally.wire.HistoryAnswer
import micatally.wire.RollbackRequest
import micatally.wire.StatusRequest
import micatally.wire.TeamSetting
import micatally.wire.bytes
import micatally.wire.long
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Teams that are changed while the fleet serves, with the failures that a change can meet. */
class ConfigurationTest {
    private val seeds = 1..2
    private val storesTeams =
        OperatorSettings(
            OperatorSettings.DEFAULT.queueBounds,
            OperatorSettings.DEFAULT.promotionRatio,
            OperatorSettings.DEFAULT.fleetHeadroom,
            OperatorSettings.DEFAULT.fleetIdleBoots,
            storesTeams = true,
        )

    private fun each(test: Scenario.() -> Unit) {
        for (seed in seeds) {
            scenario(seed, before = { operator = storesTeams }) {
                runUntil(fleet.lease, "all nodes have the teams of the settings file") { versions().all { it == 1L } }
                test()
            }
        }
    }

    private fun Scenario.versions() = fleet.live.filterNotNull().map { it.configuration.live.configuration.version }

    private var changes = 0

    private fun change(
        base: Long,
        vararg set: TeamSetting,
        remove: List<String> = emptyList(),
        id: String = "change-${++changes}",
    ) = ConfigurationChange(id, base, "operator", "test", set.toList(), remove)

    private fun team(
        name: String,
        coresMax: Double,
    ) = TeamSetting(name, 1.0, coresMax, 0.0, 20.0)

    private fun Scenario.launchApply(
        node: Int,
        change: ConfigurationChange,
    ): Answered<ChangeAnswer> {
        val answered = Answered<ChangeAnswer>()
        fleet.scope.launch {
            fleet.users.askPeerPort(node, ConfigurationPaths.APPLY, ProtoBuf.encodeToByteArray(change))?.let {
                answered.answer = ProtoBuf.decodeFromByteArray<ChangeAnswer>(it)
            }
        }
        return answered
    }

    private class Answered<T> {
        var answer: T? = null
    }

    private fun <T> Scenario.await(answered: Answered<T>): T {
        runUntil(fleet.lease, "an answer") { answered.answer != null }
        return answered.answer!!
    }

    private fun Scenario.apply(
        node: Int,
        change: ConfigurationChange,
    ) = await(launchApply(node, change))

    private fun Scenario.status(
        node: Int,
        version: Long = 0,
    ): ConfigurationStatus {
        val answered = Answered<ConfigurationStatus>()
        fleet.scope.launch {
            val request = ProtoBuf.encodeToByteArray(StatusRequest(version))
            val body = fleet.users.askPeerPort(node, ConfigurationPaths.STATUS, request)
            answered.answer = body?.let { ProtoBuf.decodeFromByteArray<ConfigurationStatus>(it) }
        }
        return await(answered)
    }

    private fun Scenario.history(node: Int): HistoryAnswer {
        val answered = Answered<HistoryAnswer>()
        fleet.scope.launch {
            val body = fleet.users.askPeerPort(node, ConfigurationPaths.HISTORY, ByteArray(0))
            answered.answer = body?.let { ProtoBuf.decodeFromByteArray<HistoryAnswer>(it) }
        }
        return await(answered)
    }

    private fun Scenario.inForce(
        node: Int,
        version: Long,
        maxMs: Long = fleet.lease,
    ) {
        runUntil(maxMs, "version $version is in force") { status(node, version).isInForce }
    }

    private val storedVersion: Scenario.() -> Long? = { fleet.state.value(Keys.CONFIG)?.long("n") }

    private fun Scenario.usedCores(team: String) =
        fleet.rules.running
            .map { fleet.rules.specs.getValue(it.jobId) }
            .filter { it.team == team }
            .sumOf { it.resources.cores }

    @Test
    fun `the settings file is stored once, and a change is in force within a second`() =
        each {
            assertEquals(1L, storedVersion())
            val answer = apply(0, change(1, team("vision", 50.0), team("newcomer", 10.0)))
            assertEquals(ChangeStatus.APPLIED, answer.status)
            assertEquals(2L, answer.version)
            val at = fleet.now
            inForce(1, 2)
            assertTrue(fleet.now - at < 1000, "${fleet.now - at} ms")
            assertEquals(emptyList<String>(), status(2, 2).missing)
            assertEquals(listOf(2L, 1L), history(0).entries.map { it.version })
            for (node in fleet.live.filterNotNull()) {
                assertEquals(
                    50.0,
                    node.configuration.live
                        .team("vision")!!
                        .coresMax,
                )
                assertEquals(
                    24.0,
                    node.configuration.live
                        .team("text")!!
                        .coresMax,
                )
            }
        }

    @Test
    fun `without the operators' property nothing is stored and nothing can be changed`() =
        scenario(1) {
            fleet.runFor(fleet.lease)
            assertNull(fleet.state.value(Keys.CONFIG))
            assertEquals(FormatVersion.PACKED_RECORDS, fleet.state.value(Keys.FORMAT)?.long("n"))
            assertEquals(ChangeStatus.SWITCHED_OFF, apply(0, change(0, team("newcomer", 10.0))).status)
            assertFalse(status(0).isOn)
        }

    /** Guard: the seed waits for `c/format` ([micatally.config.ConfigurationSeed]); else an older program would not know the teams. */
    @Test
    fun `nothing is stored while an older program is among the controllers`() =
        scenario(
            3,
            before = {
                operator = storesTeams
                stateFaults.formerVersionNodes.add(2)
            },
        ) {
            fleet.runFor(fleet.lease)
            assertNull(fleet.state.value(Keys.CONFIG))
            assertEquals(ChangeStatus.SWITCHED_OFF, apply(0, change(0, team("newcomer", 10.0))).status)
            fleet.crash(2)
            fleet.stateFaults.formerVersionNodes.clear()
            fleet.startNode(2)
            runUntil(fleet.lease, "the teams are stored") { storedVersion() == 1L }
        }

    /** Guard: the parts of a change are stored before the head that names it ([micatally.config.ConfigurationStore.stage]). */
    @Test
    fun `a batch that fits no transaction is seen whole or not at all, also when its writer ends in the middle`() =
        each {
            val teams = Array(430) { team("team-%03d".format(it), 100.0 + it) }
            var parts = 0
            fleet.stateFaults.holdWriteOf = { node, body ->
                if (node == 0 && "config/part/" in body && parts++ == 1) fleet.lease else null
            }
            launchApply(0, change(1, *teams))
            runUntil(fleet.lease, "a part is written") { parts == 2 }
            fleet.crash(0)
            fleet.runFor(fleet.lease / 4)
            assertEquals(1L, storedVersion())
            val answered = launchApply(1, change(1, *teams))
            runUntil(fleet.lease, "both others have it") {
                for (node in fleet.live.filterNotNull()) {
                    val there =
                        node.configuration.live
                            .all()
                            .count { it.name.startsWith("team-") }
                    assertTrue(there == 0 || there == teams.size, "$there teams are seen")
                }
                versions().all { it == 2L }
            }
            assertEquals(ChangeStatus.APPLIED, await(answered).status)
            fleet.startNode(0)
            runUntil(fleet.lease, "the third has it from the store") { versions().all { it == 2L } }
            assertTrue(fleet.state.largestValue <= fleet.settings[0].valueBytes, "${fleet.state.largestValue} bytes")
        }

    /** Guard: a change is checked against what it was made from ([micatally.config.ChangeCheck.conflicts]). */
    @Test
    fun `of two operators who change one team one is refused with the present version, and others don't disturb`() =
        each {
            val first = launchApply(0, change(1, team("vision", 50.0)))
            val second = launchApply(1, change(1, team("vision", 40.0)))
            val other = launchApply(2, change(1, team("text", 20.0)))
            val answers = listOf(await(first), await(second))
            assertEquals(1, answers.count { it.status == ChangeStatus.APPLIED })
            val refused = answers.single { it.status == ChangeStatus.CONFLICT }
            assertTrue(refused.version >= 2, "${refused.version}")
            assertEquals(ChangeStatus.APPLIED, await(other).status)
            fleet.runFor(1000)
            assertEquals(3L, storedVersion())
            val chosen = if (answers[0].status == ChangeStatus.APPLIED) 50.0 else 40.0
            for (node in fleet.live.filterNotNull()) {
                assertEquals(
                    chosen,
                    node.configuration.live
                        .team("vision")!!
                        .coresMax,
                )
            }
        }

    /** Guard: nothing starts while more is allotted than the limit ([micatally.quota.Quota.isSuspended]). */
    @Test
    fun `a limit lowered below what runs stops nothing, and nothing starts until the team is under it`() =
        each {
            val services = (0..2).map { submit(it, "daemon", 5, "loaners" to false) }
            val array = submit(1, "sweep", 40, "loaners" to false, runMs = 8000)
            runUntil(fleet.lease * 4, "the team uses much of its limit") { usedCores("vision") > 40 }
            val lowered = Team("vision", 1.0, 20.0, 0.0, 20.0)
            assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("vision", 20.0))).status)
            inForce(0, 2)
            val stopped = usedCores("vision")
            // What had been sent is on its way: it gets there within a report.
            fleet.runFor(fleet.settings[0].heartbeatIntervalMs)
            fleet.limitsInForce["vision"] = lowered
            assertTrue(stopped > 20, "$stopped cores are used when the limit is in force")
            val late = submit(2, "daemon", 2, "loaners" to false)
            fleet.runFor(3000)
            assertEquals(15, services.sumOf { tasks(it).size }, "replicas run on")
            runUntil(fleet.lease * 12, "the array ends within the limit") { fleet.rules.completed[array]?.size == 40 }
            runUntil(fleet.lease * 6, "the late service starts") { tasks(late).size == 2 }
            assertEquals(15, services.sumOf { tasks(it).size })
        }

    /** Node 1 starts tasks all the time within what it was allotted, and learns nothing of a limit that falls, and rises again. */
    private fun Scenario.unawareNode(refusesRead: (Int, String) -> Boolean) {
        val array = submit(1, "sweep", 300, "loaners" to false, "cores" to 1.0, runMs = 2500)
        runUntil(fleet.lease * 4, "the node holds much of the limit") { usedCores("vision") > 40 }
        fleet.stateFaults.refusesRead = refusesRead
        fleet.runFor(200)
        assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("vision", 20.0))).status)
        val at = fleet.now
        assertTrue("pitbox-1" in status(0, 2).missing)
        assertFalse(status(0, 2).isInForce)
        inForce(0, 2)
        assertTrue(fleet.now - at <= fleet.lease, "${fleet.now - at} ms")
        fleet.runFor(fleet.settings[0].heartbeatIntervalMs)
        fleet.limitsInForce["vision"] = Team("vision", 1.0, 20.0, 0.0, 20.0)
        fleet.runFor(fleet.lease)
        assertEquals(ChangeStatus.APPLIED, apply(2, change(2, team("vision", 60.0))).status)
        fleet.limitsInForce["vision"] = Team("vision", 1.0, 60.0, 0.0, 20.0)
        fleet.stateFaults.refusesRead = { _, _ -> false }
        runUntil(fleet.lease * 12, "the array ends") { fleet.rules.completed[array]?.size == 300 }
        assertEquals(emptyList<String>(), status(0, 3).missing)
    }

    /**
     * Guard: no start without a recent view of the shared keys ([micatally.config.LiveConfiguration.mayStart]). The news of the
     * other controllers is proof enough for cancellations, but says nothing of teams: without the guard the node goes on
     * starting tasks in its former allotment.
     */
    @Test
    fun `a controller that can't see the keys starts nothing beyond a limit that is in force, then raised again`() =
        each { unawareNode { node, _ -> node == 1 } }

    /** Guard: no decision while a newer version is known to exist ([micatally.config.ConfigurationPhase.BEHIND]). */
    @Test
    fun `a controller that can't read a change starts nothing beyond a limit that is in force, then raised again`() =
        each { unawareNode { node, target -> node == 1 && "config" in target && "watch" !in target } }

    /** A machine with room on which a task of another team runs, and a job of four tasks for it that are not to start. */
    private fun Scenario.withMachine(test: Scenario.(machine: String) -> Unit) {
        val other = submit(1, "daemon", 1, "loaners" to false, "crew" to "text")
        allRun(listOf(other))
        test(tasks(other).single().machine)
    }

    private fun Scenario.attempts(jobId: String) =
        fleet.live[1]!!
            .jobManager
            .job(jobId)!!
            .attempts.values

    private fun Scenario.lowerTo(coresMax: Double) {
        assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("vision", coresMax))).status)
        inForce(0, 2, maxMs = 2000)
        fleet.limitsInForce["vision"] = Team("vision", 1.0, coresMax, 0.0, 20.0)
    }

    /** Guard: what was decided and not sent is given up before a version is confirmed ([micatally.job.JobManager.endUnsent]). */
    @Test
    fun `what waits to be sent to a busy machine is not sent after the limit has fallen`() =
        each {
            withMachine { machine ->
                fleet.net.heldCommandsMs[machine] = 3500
                submit(1, "sweep", 1, "loaners" to false, "crew" to "text", runMs = 60_000)
                val array = submit(1, "sweep", 4, "loaners" to false, runMs = 60_000)
                runUntil(1000, "its tasks wait behind the order that is under way") {
                    attempts(array).count { it.state == AttemptState.RECORDED && it.machine.name == machine } == 4
                }
                lowerTo(2.0)
                fleet.net.heldCommandsMs.clear()
                fleet.runFor(fleet.lease * 3)
                assertTrue(usedCores("vision") <= 2.0)
                runUntil(fleet.lease * 4, "it goes on within the limit") { tasks(array).size == 2 }
            }
        }

    /** Guard: a run without an answer is not repeated for a team that is over its limit ([micatally.worker.CommandPlanner]). */
    @Test
    fun `a start that was lost is not repeated after the limit has fallen`() =
        each {
            withMachine { machine ->
                fleet.net.deaf.add(machine)
                val array = submit(1, "sweep", 4, "loaners" to false, runMs = 60_000)
                runUntil(1000, "its runs have left") {
                    attempts(array).count { it.state == AttemptState.DISPATCHED && it.machine.name == machine } == 4
                }
                lowerTo(2.0)
                fleet.net.deaf.clear()
                fleet.runFor(fleet.lease * 3)
                assertTrue(usedCores("vision") <= 2.0)
                runUntil(fleet.lease * 4, "it goes on within the limit") { tasks(array).size == 2 }
            }
        }

    @Test
    fun `a removed team starts nothing, keeps what runs, and its jobs can be cancelled`() =
        each {
            val running = submit(0, "daemon", 2, "loaners" to false)
            val doomed = submit(1, "sweep", 3, "loaners" to false, runMs = 3_600_000)
            allRun(listOf(running, doomed))
            val waiting = submit(2, "daemon", 1, "loaners" to false, "cores" to 20.0)
            assertEquals(0, tasks(waiting).size)
            cancel(doomed, listOf(0, 1, 2))
            assertEquals(ChangeStatus.APPLIED, apply(0, change(1, remove = listOf("vision"))).status)
            inForce(0, 2)
            fleet.runFor(fleet.settings[0].heartbeatIntervalMs)
            fleet.limitsInForce.remove("vision")
            fleet.runFor(fleet.lease * 4)
            assertEquals(2, tasks(running).size, "what runs goes on")
            assertEquals(0, tasks(waiting).size)
            assertTrue(fleet.rules.isCancelled(doomed))
            val refused = spec("daemon", 1)
            assertEquals(422, fleet.asked(1, "POST", "/work", refused.source.bytes()).first)
            fleet.limitsInForce["vision"] = Team("vision", 1.0, 60.0, 0.0, 20.0)
            assertEquals(ChangeStatus.APPLIED, apply(1, change(2, team("vision", 60.0))).status)
            runUntil(fleet.lease * 6, "what waited starts") { tasks(waiting).size == 1 }
        }

    /** Guard: a refusal rests on a look at the store ([micatally.api.AdmissionRules.check]). */
    @Test
    fun `a job of a new team is never refused on an old view`() =
        each {
            fleet.stateFaults.refusesRead = { node, _ -> node == 2 }
            fleet.runFor(100)
            assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("newcomer", 10.0))).status)
            fleet.limitsInForce["newcomer"] = Team("newcomer", 1.0, 10.0, 0.0, 20.0)
            val job = spec("daemon", 1, "crew" to "newcomer")
            assertEquals(503, fleet.asked(2, "POST", "/work", job.source.bytes()).first)
            fleet.stateFaults.refusesRead = { _, _ -> false }
            val (status, _) = fleet.asked(2, "POST", "/work", job.source.bytes())
            assertTrue(status == 201 || status == 503, "$status")
            runUntil(fleet.lease, "it is accepted") {
                fleet.asked(2, "POST", "/work", job.source.bytes()).first in
                    200..201
            }
        }

    /** Guard: a transaction without an answer is repeated under its condition ([ConfigurationWriter]), and looked up by its id. */
    @Test
    fun `a change whose answer is lost, or that is carried out late, is applied once`() =
        each {
            var lost = 0
            fleet.stateFaults.loseAnswerOf = { _, body -> "\"lost\"" in body && lost++ == 0 }
            val answer = apply(0, change(1, team("vision", 50.0), id = "lost"))
            assertTrue(lost > 0)
            assertEquals(ChangeStatus.APPLIED, answer.status)
            assertEquals(2L, answer.version)
            assertEquals(2L, storedVersion())
            var held = 0
            fleet.stateFaults.holdWriteOf = { _, body -> if ("\"held\"" in body && held++ == 0) 2000L else null }
            val late = apply(1, change(2, team("vision", 40.0), id = "held"))
            assertEquals(ChangeStatus.APPLIED, late.status)
            fleet.runFor(5000)
            assertEquals(3L, storedVersion())
            assertEquals(3L, apply(2, change(2, team("vision", 40.0), id = "held")).version, "a repeat is known")
            assertEquals(3L, storedVersion())
            assertEquals(3, history(0).entries.size)
        }

    /** Guard: a start reads the newest snapshot and what came after it; the settings file counts no more. */
    @Test
    fun `a controller that restarts in the middle decides by the store, also after a snapshot`() =
        each {
            val many = ConfigurationWriter.SNAPSHOT_EVERY + 20
            val answers = List(many) { launchApply(it % 3, change(1, team("team-$it", 100.0))) }
            runUntil(fleet.lease * 2, "all are applied") { answers.all { it.answer?.status == ChangeStatus.APPLIED } }
            fleet.crash(1)
            assertEquals(ChangeStatus.APPLIED, apply(0, change(many + 1L, team("vision", 30.0))).status)
            fleet.runFor(1000)
            fleet.startNode(1)
            runUntil(fleet.lease, "it has the newest version") { versions().all { it == many + 2L } }
            val teams = fleet.live[1]!!.configuration.live
            assertEquals(30.0, teams.team("vision")!!.coresMax)
            assertEquals(many, teams.all().count { it.name.startsWith("team-") })
            assertTrue(fleet.state.keysUnder(Keys.CONFIG_SNAPSHOT).isNotEmpty())
            val answered = Answered<ChangeAnswer>()
            fleet.scope.launch {
                val request = ProtoBuf.encodeToByteArray(RollbackRequest("back", 1, "operator", "test"))
                val body = fleet.users.askPeerPort(2, ConfigurationPaths.ROLLBACK, request)
                answered.answer = body?.let { ProtoBuf.decodeFromByteArray<ChangeAnswer>(it) }
            }
            assertEquals(ChangeStatus.APPLIED, await(answered).status)
            inForce(0, many + 3L)
            for (node in fleet.live.filterNotNull()) {
                assertEquals(
                    60.0,
                    node.configuration.live
                        .team("vision")!!
                        .coresMax,
                )
                assertEquals(
                    fleet.settings[0].teams.size,
                    node.configuration.live
                        .all()
                        .size,
                )
            }
        }

    @Test
    fun `one cost of a change is two writes, and a hundred at once share a few`() =
        each {
            fleet.runFor(2000)
            val before = fleet.state.changesByPrefix()

            fun written() =
                listOf("c", "config/change").sumOf { prefix ->
                    (fleet.state.changesByPrefix()[prefix] ?: 0L) - (before[prefix] ?: 0L)
                }
            assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("vision", 50.0))).status)
            assertEquals(2L, written())
            val at = fleet.now
            val answers = List(100) { launchApply(0, change(1, team("team-$it", 100.0))) }
            runUntil(fleet.lease, "all are applied") { answers.all { it.answer?.status == ChangeStatus.APPLIED } }
            assertTrue(written() <= 22, "${written()} writes")
            inForce(1, 102)
            assertTrue(fleet.now - at < 2000, "${fleet.now - at} ms")
        }
}
