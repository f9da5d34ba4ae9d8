package micatally.sim

import kotlinx.coroutines.launch
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.config.ConfigurationPaths
import micatally.config.ConfigurationWriter
import micatally.job.AttemptState
import micatally.membership.Keys
import micatally.settings.Operator
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
        Operator(
            Operator.DEFAULT.queueBounds,
            Operator.DEFAULT.promotionRatio,
            Operator.DEFAULT.fleetHeadroom,
            Operator.DEFAULT.fleetIdleBoots,
            storesTeams = true,
        )

    private fun each(test: Meeting.() -> Unit) {
        for (seed in seeds) {
            meeting(seed, before = { operator = storesTeams }) {
                runUntil(f.lease, "all nodes have the teams of the settings file") { versions().all { it == 1L } }
                test()
            }
        }
    }

    private fun Meeting.versions() = f.live.filterNotNull().map { it.configuration.live.configuration.version }

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

    private fun Meeting.launchApply(
        node: Int,
        change: ConfigurationChange,
    ): Answered<ChangeAnswer> {
        val answered = Answered<ChangeAnswer>()
        f.scope.launch {
            f.askPeerPort(node, ConfigurationPaths.APPLY, ProtoBuf.encodeToByteArray(change))?.let {
                answered.answer = ProtoBuf.decodeFromByteArray<ChangeAnswer>(it)
            }
        }
        return answered
    }

    private class Answered<T> {
        var answer: T? = null
    }

    private fun <T> Meeting.await(answered: Answered<T>): T {
        runUntil(f.lease, "an answer") { answered.answer != null }
        return answered.answer!!
    }

    private fun Meeting.apply(
        node: Int,
        change: ConfigurationChange,
    ) = await(launchApply(node, change))

    private fun Meeting.status(
        node: Int,
        version: Long = 0,
    ): ConfigurationStatus {
        val answered = Answered<ConfigurationStatus>()
        f.scope.launch {
            val request = ProtoBuf.encodeToByteArray(StatusRequest(version))
            val body = f.askPeerPort(node, ConfigurationPaths.STATUS, request)
            answered.answer = body?.let { ProtoBuf.decodeFromByteArray<ConfigurationStatus>(it) }
        }
        return await(answered)
    }

    private fun Meeting.history(node: Int): HistoryAnswer {
        val answered = Answered<HistoryAnswer>()
        f.scope.launch {
            val body = f.askPeerPort(node, ConfigurationPaths.HISTORY, ByteArray(0))
            answered.answer = body?.let { ProtoBuf.decodeFromByteArray<HistoryAnswer>(it) }
        }
        return await(answered)
    }

    private fun Meeting.inForce(
        node: Int,
        version: Long,
        maxMs: Long = f.lease,
    ) {
        runUntil(maxMs, "version $version is in force") { status(node, version).isInForce }
    }

    private val storedVersion: Meeting.() -> Long? = { f.state.value(Keys.CONFIG)?.long("n") }

    private fun Meeting.usedCores(team: String) =
        f.rules.running
            .map { f.rules.specs.getValue(it.jobId) }
            .filter { it.team == team }
            .sumOf { it.resources.cores }

    @Test
    fun `the settings file is stored once, and a change is in force within a second`() =
        each {
            assertEquals(1L, storedVersion())
            val answer = apply(0, change(1, team("vision", 50.0), team("newcomer", 10.0)))
            assertEquals(ChangeStatus.APPLIED, answer.status)
            assertEquals(2L, answer.version)
            val at = f.now
            inForce(1, 2)
            assertTrue(f.now - at < 1000, "${f.now - at} ms")
            assertEquals(emptyList<String>(), status(2, 2).missing)
            assertEquals(listOf(2L, 1L), history(0).entries.map { it.version })
            for (node in f.live.filterNotNull()) {
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
        meeting(1) {
            f.runFor(f.lease)
            assertNull(f.state.value(Keys.CONFIG))
            assertEquals(FormatVersion.PACKED_RECORDS, f.state.value(Keys.FORMAT)?.long("n"))
            assertEquals(ChangeStatus.SWITCHED_OFF, apply(0, change(0, team("newcomer", 10.0))).status)
            assertFalse(status(0).isOn)
        }

    /** Guard: the seed waits for `c/format` ([micatally.config.ConfigurationSeed]); else an older program would not know the teams. */
    @Test
    fun `nothing is stored while an older program is among the controllers`() =
        meeting(
            3,
            before = {
                operator = storesTeams
                former.add(2)
            },
        ) {
            f.runFor(f.lease)
            assertNull(f.state.value(Keys.CONFIG))
            assertEquals(ChangeStatus.SWITCHED_OFF, apply(0, change(0, team("newcomer", 10.0))).status)
            f.crash(2)
            f.former.clear()
            f.startNode(2)
            runUntil(f.lease, "the teams are stored") { storedVersion() == 1L }
        }

    /** Guard: the parts of a change are stored before the head that names it ([micatally.config.ConfigurationStore.stage]). */
    @Test
    fun `a batch that fits no transaction is seen whole or not at all, also when its writer ends in the middle`() =
        each {
            val teams = Array(430) { team("team-%03d".format(it), 100.0 + it) }
            var parts = 0
            f.holdWriteOf = { node, body ->
                if (node == 0 && "config/part/" in body && parts++ == 1) f.lease else null
            }
            launchApply(0, change(1, *teams))
            runUntil(f.lease, "a part is written") { parts == 2 }
            f.crash(0)
            f.runFor(f.lease / 4)
            assertEquals(1L, storedVersion())
            val answered = launchApply(1, change(1, *teams))
            runUntil(f.lease, "both others have it") {
                for (node in f.live.filterNotNull()) {
                    val there =
                        node.configuration.live
                            .all()
                            .count { it.name.startsWith("team-") }
                    assertTrue(there == 0 || there == teams.size, "$there teams are seen")
                }
                versions().all { it == 2L }
            }
            assertEquals(ChangeStatus.APPLIED, await(answered).status)
            f.startNode(0)
            runUntil(f.lease, "the third has it from the store") { versions().all { it == 2L } }
            assertTrue(f.state.largestValue <= f.settings[0].valueBytes, "${f.state.largestValue} bytes")
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
            f.runFor(1000)
            assertEquals(3L, storedVersion())
            val chosen = if (answers[0].status == ChangeStatus.APPLIED) 50.0 else 40.0
            for (node in f.live.filterNotNull()) {
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
            runUntil(f.lease * 4, "the team uses much of its limit") { usedCores("vision") > 40 }
            val lowered = Team("vision", 1.0, 20.0, 0.0, 20.0)
            assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("vision", 20.0))).status)
            inForce(0, 2)
            val stopped = usedCores("vision")
            // What had been sent is on its way: it gets there within a report.
            f.runFor(f.settings[0].heartbeatIntervalMs)
            f.limitsInForce["vision"] = lowered
            assertTrue(stopped > 20, "$stopped cores are used when the limit is in force")
            val late = submit(2, "daemon", 2, "loaners" to false)
            f.runFor(3000)
            assertEquals(15, services.sumOf { tasks(it).size }, "replicas run on")
            runUntil(f.lease * 12, "the array ends within the limit") { f.rules.completed[array]?.size == 40 }
            runUntil(f.lease * 6, "the late service starts") { tasks(late).size == 2 }
            assertEquals(15, services.sumOf { tasks(it).size })
        }

    /** Node 1 starts tasks all the time within what it was allotted, and learns nothing of a limit that falls, and rises again. */
    private fun Meeting.unawareNode(refusesRead: (Int, String) -> Boolean) {
        val array = submit(1, "sweep", 300, "loaners" to false, "cores" to 1.0, runMs = 2500)
        runUntil(f.lease * 4, "the node holds much of the limit") { usedCores("vision") > 40 }
        f.refusesRead = refusesRead
        f.runFor(200)
        assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("vision", 20.0))).status)
        val at = f.now
        assertTrue("pitbox-1" in status(0, 2).missing)
        assertFalse(status(0, 2).isInForce)
        inForce(0, 2)
        assertTrue(f.now - at <= f.lease, "${f.now - at} ms")
        f.runFor(f.settings[0].heartbeatIntervalMs)
        f.limitsInForce["vision"] = Team("vision", 1.0, 20.0, 0.0, 20.0)
        f.runFor(f.lease)
        assertEquals(ChangeStatus.APPLIED, apply(2, change(2, team("vision", 60.0))).status)
        f.limitsInForce["vision"] = Team("vision", 1.0, 60.0, 0.0, 20.0)
        f.refusesRead = { _, _ -> false }
        runUntil(f.lease * 12, "the array ends") { f.rules.completed[array]?.size == 300 }
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
    private fun Meeting.withMachine(test: Meeting.(machine: String) -> Unit) {
        val other = submit(1, "daemon", 1, "loaners" to false, "crew" to "text")
        allRun(listOf(other))
        test(tasks(other).single().machine)
    }

    private fun Meeting.attempts(jobId: String) =
        f.live[1]!!
            .jobManager
            .job(jobId)!!
            .attempts.values

    private fun Meeting.lowerTo(coresMax: Double) {
        assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("vision", coresMax))).status)
        inForce(0, 2, maxMs = 2000)
        f.limitsInForce["vision"] = Team("vision", 1.0, coresMax, 0.0, 20.0)
    }

    /** Guard: what was decided and not sent is given up before a version is confirmed ([micatally.job.JobManager.endUnsent]). */
    @Test
    fun `what waits to be sent to a busy machine is not sent after the limit has fallen`() =
        each {
            withMachine { machine ->
                f.net.heldCommandsMs[machine] = 3500
                submit(1, "sweep", 1, "loaners" to false, "crew" to "text", runMs = 60_000)
                val array = submit(1, "sweep", 4, "loaners" to false, runMs = 60_000)
                runUntil(1000, "its tasks wait behind the order that is under way") {
                    attempts(array).count { it.state == AttemptState.RECORDED && it.machine.name == machine } == 4
                }
                lowerTo(2.0)
                f.net.heldCommandsMs.clear()
                f.runFor(f.lease * 3)
                assertTrue(usedCores("vision") <= 2.0)
                runUntil(f.lease * 4, "it goes on within the limit") { tasks(array).size == 2 }
            }
        }

    /** Guard: a run without an answer is not repeated for a team that is over its limit ([micatally.worker.CommandPlanner]). */
    @Test
    fun `a start that was lost is not repeated after the limit has fallen`() =
        each {
            withMachine { machine ->
                f.net.deaf.add(machine)
                val array = submit(1, "sweep", 4, "loaners" to false, runMs = 60_000)
                runUntil(1000, "its runs have left") {
                    attempts(array).count { it.state == AttemptState.DISPATCHED && it.machine.name == machine } == 4
                }
                lowerTo(2.0)
                f.net.deaf.clear()
                f.runFor(f.lease * 3)
                assertTrue(usedCores("vision") <= 2.0)
                runUntil(f.lease * 4, "it goes on within the limit") { tasks(array).size == 2 }
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
            f.runFor(f.settings[0].heartbeatIntervalMs)
            f.limitsInForce.remove("vision")
            f.runFor(f.lease * 4)
            assertEquals(2, tasks(running).size, "what runs goes on")
            assertEquals(0, tasks(waiting).size)
            assertTrue(f.rules.isCancelled(doomed))
            val refused = spec("daemon", 1)
            assertEquals(422, f.asked(1, "POST", "/work", refused.source.bytes()).first)
            f.limitsInForce["vision"] = Team("vision", 1.0, 60.0, 0.0, 20.0)
            assertEquals(ChangeStatus.APPLIED, apply(1, change(2, team("vision", 60.0))).status)
            runUntil(f.lease * 6, "what waited starts") { tasks(waiting).size == 1 }
        }

    /** Guard: a refusal rests on a look at the store ([micatally.api.AdmissionRules.check]). */
    @Test
    fun `a job of a new team is never refused on an old view`() =
        each {
            f.refusesRead = { node, _ -> node == 2 }
            f.runFor(100)
            assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("newcomer", 10.0))).status)
            f.limitsInForce["newcomer"] = Team("newcomer", 1.0, 10.0, 0.0, 20.0)
            val job = spec("daemon", 1, "crew" to "newcomer")
            assertEquals(503, f.asked(2, "POST", "/work", job.source.bytes()).first)
            f.refusesRead = { _, _ -> false }
            val (status, _) = f.asked(2, "POST", "/work", job.source.bytes())
            assertTrue(status == 201 || status == 503, "$status")
            runUntil(f.lease, "it is accepted") { f.asked(2, "POST", "/work", job.source.bytes()).first in 200..201 }
        }

    /** Guard: a transaction without an answer is repeated under its condition ([ConfigurationWriter]), and looked up by its id. */
    @Test
    fun `a change whose answer is lost, or that is carried out late, is applied once`() =
        each {
            var lost = 0
            f.loseAnswerOf = { _, body -> "\"lost\"" in body && lost++ == 0 }
            val answer = apply(0, change(1, team("vision", 50.0), id = "lost"))
            assertTrue(lost > 0)
            assertEquals(ChangeStatus.APPLIED, answer.status)
            assertEquals(2L, answer.version)
            assertEquals(2L, storedVersion())
            var held = 0
            f.holdWriteOf = { _, body -> if ("\"held\"" in body && held++ == 0) 2000L else null }
            val late = apply(1, change(2, team("vision", 40.0), id = "held"))
            assertEquals(ChangeStatus.APPLIED, late.status)
            f.runFor(5000)
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
            runUntil(f.lease * 2, "all are applied") { answers.all { it.answer?.status == ChangeStatus.APPLIED } }
            f.crash(1)
            assertEquals(ChangeStatus.APPLIED, apply(0, change(many + 1L, team("vision", 30.0))).status)
            f.runFor(1000)
            f.startNode(1)
            runUntil(f.lease, "it has the newest version") { versions().all { it == many + 2L } }
            val teams = f.live[1]!!.configuration.live
            assertEquals(30.0, teams.team("vision")!!.coresMax)
            assertEquals(many, teams.all().count { it.name.startsWith("team-") })
            assertTrue(f.state.keysUnder(Keys.CONFIG_SNAPSHOT).isNotEmpty())
            val answered = Answered<ChangeAnswer>()
            f.scope.launch {
                val request = ProtoBuf.encodeToByteArray(RollbackRequest("back", 1, "operator", "test"))
                val body = f.askPeerPort(2, ConfigurationPaths.ROLLBACK, request)
                answered.answer = body?.let { ProtoBuf.decodeFromByteArray<ChangeAnswer>(it) }
            }
            assertEquals(ChangeStatus.APPLIED, await(answered).status)
            inForce(0, many + 3L)
            for (node in f.live.filterNotNull()) {
                assertEquals(
                    60.0,
                    node.configuration.live
                        .team("vision")!!
                        .coresMax,
                )
                assertEquals(
                    f.settings[0].teams.size,
                    node.configuration.live
                        .all()
                        .size,
                )
            }
        }

    @Test
    fun `one cost of a change is two writes, and a hundred at once share a few`() =
        each {
            f.runFor(2000)
            val before = f.state.changesByPrefix()

            fun written() =
                listOf("c", "config/change").sumOf { prefix ->
                    (f.state.changesByPrefix()[prefix] ?: 0L) - (before[prefix] ?: 0L)
                }
            assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("vision", 50.0))).status)
            assertEquals(2L, written())
            val at = f.now
            val answers = List(100) { launchApply(0, change(1, team("team-$it", 100.0))) }
            runUntil(f.lease, "all are applied") { answers.all { it.answer?.status == ChangeStatus.APPLIED } }
            assertTrue(written() <= 22, "${written()} writes")
            inForce(1, 102)
            assertTrue(f.now - at < 2000, "${f.now - at} ms")
        }
}
