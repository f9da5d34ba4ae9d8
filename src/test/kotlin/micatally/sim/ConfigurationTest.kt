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

/** Changes of teams while the fleet is running, with the faults that can interfere with a change. */
class ConfigurationTest {
    private val seeds = 1..2
    private val operatorStoringTeams =
        OperatorSettings(
            OperatorSettings.DEFAULT.queueBounds,
            OperatorSettings.DEFAULT.promotionRatio,
            OperatorSettings.DEFAULT.fleetHeadroom,
            OperatorSettings.DEFAULT.fleetIdleBoots,
            storesTeams = true,
        )

    /**
     * Runs the test with each seed on a fleet that has stored version 1 of the configuration, the teams of the settings
     * file.
     */
    private fun withStoredTeams(test: Scenario.() -> Unit) {
        for (seed in seeds) {
            scenario(seed, before = { operator = operatorStoringTeams }) {
                runUntil(fleet.lease, "all nodes have version 1, the teams of the settings file") {
                    versions().all {
                        it ==
                            1L
                    }
                }
                test()
            }
        }
    }

    /** The version of the configuration that each running node has applied. */
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

    /** Sends the change to the node. The result holds the answer once it has come. */
    private fun Scenario.launchApply(
        node: Int,
        change: ConfigurationChange,
    ): PendingAnswer<ChangeAnswer> {
        val pending = PendingAnswer<ChangeAnswer>()
        fleet.scope.launch {
            fleet.users.askPeerPort(node, ConfigurationPaths.APPLY, ProtoBuf.encodeToByteArray(change))?.let {
                pending.answer = ProtoBuf.decodeFromByteArray<ChangeAnswer>(it)
            }
        }
        return pending
    }

    /** Holds the answer to a request that runs in the background; null until it has come. */
    private class PendingAnswer<T> {
        var answer: T? = null
    }

    private fun <T> Scenario.await(pending: PendingAnswer<T>): T {
        runUntil(fleet.lease, "the answer has come") { pending.answer != null }
        return pending.answer!!
    }

    private fun Scenario.apply(
        node: Int,
        change: ConfigurationChange,
    ) = await(launchApply(node, change))

    private fun Scenario.status(
        node: Int,
        version: Long = 0,
    ): ConfigurationStatus {
        val pending = PendingAnswer<ConfigurationStatus>()
        fleet.scope.launch {
            val request = ProtoBuf.encodeToByteArray(StatusRequest(version))
            val body = fleet.users.askPeerPort(node, ConfigurationPaths.STATUS, request)
            pending.answer = body?.let { ProtoBuf.decodeFromByteArray<ConfigurationStatus>(it) }
        }
        return await(pending)
    }

    private fun Scenario.history(node: Int): HistoryAnswer {
        val pending = PendingAnswer<HistoryAnswer>()
        fleet.scope.launch {
            val body = fleet.users.askPeerPort(node, ConfigurationPaths.HISTORY, ByteArray(0))
            pending.answer = body?.let { ProtoBuf.decodeFromByteArray<HistoryAnswer>(it) }
        }
        return await(pending)
    }

    /** Runs the fleet until this node reports that the version is in force. */
    private fun Scenario.awaitInForce(
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
    fun `the teams of the settings file are stored once, and a change is in force within a second`() =
        withStoredTeams {
            assertEquals(1L, storedVersion())
            val answer = apply(0, change(1, team("vision", 50.0), team("newcomer", 10.0)))
            assertEquals(ChangeStatus.APPLIED, answer.status)
            assertEquals(2L, answer.version)
            val startedAt = fleet.now
            awaitInForce(1, 2)
            assertTrue(fleet.now - startedAt < 1000, "${fleet.now - startedAt} ms")
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

    /**
     * Guards [micatally.config.ConfigurationSeed], which stores no teams before `c/format` is there: an older program
     * would not know stored teams.
     */
    @Test
    fun `nothing is stored while a controller runs an older program`() =
        scenario(
            3,
            before = {
                operator = operatorStoringTeams
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

    /**
     * Guards [micatally.config.ConfigurationStore.stage]: the parts of a change are stored before the head that refers
     * to them.
     */
    @Test
    fun `a change too large for one transaction is applied whole or not at all, also if its writer crashes`() =
        withStoredTeams {
            val teams = Array(430) { team("team-%03d".format(it), 100.0 + it) }
            var parts = 0
            fleet.stateFaults.holdWriteOf = { node, body ->
                if (node == 0 && "config/part/" in body && parts++ == 1) fleet.lease else null
            }
            launchApply(0, change(1, *teams))
            runUntil(fleet.lease, "the second part is being written") { parts == 2 }
            fleet.crash(0)
            fleet.runFor(fleet.lease / 4)
            assertEquals(1L, storedVersion())
            val pending = launchApply(1, change(1, *teams))
            runUntil(fleet.lease, "both other nodes have the change") {
                for (node in fleet.live.filterNotNull()) {
                    val visibleTeams =
                        node.configuration.live
                            .all()
                            .count { it.name.startsWith("team-") }
                    assertTrue(
                        visibleTeams == 0 || visibleTeams == teams.size,
                        "$visibleTeams of the new teams are visible",
                    )
                }
                versions().all { it == 2L }
            }
            assertEquals(ChangeStatus.APPLIED, await(pending).status)
            fleet.startNode(0)
            runUntil(fleet.lease, "the restarted node has read the change from the state store") {
                versions().all {
                    it ==
                        2L
                }
            }
            assertTrue(fleet.state.largestValue <= fleet.settings[0].valueBytes, "${fleet.state.largestValue} bytes")
        }

    /**
     * Guards [micatally.config.ChangeCheck.conflicts]: a change is refused if one of its teams was changed after the
     * version that the change is based on.
     */
    @Test
    fun `of two concurrent changes of one team one conflicts, and a change of another team succeeds`() =
        withStoredTeams {
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

    /** Guards [micatally.quota.Quota.isSuspended]: no task of a team starts while its allotments exceed its limit. */
    @Test
    fun `a limit lowered below the usage stops no task, and none starts until the usage is below it`() =
        withStoredTeams {
            val services = (0..2).map { submit(it, "daemon", 5, "loaners" to false) }
            val array = submit(1, "sweep", 40, "loaners" to false, runMs = 8000)
            runUntil(fleet.lease * 4, "the team uses more than 40 cores") { usedCores("vision") > 40 }
            val lowered = Team("vision", 1.0, 20.0, 0.0, 20.0)
            assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("vision", 20.0))).status)
            awaitInForce(0, 2)
            val stopped = usedCores("vision")
            // Commands sent before the limit was in force reach their machines within one heartbeat interval.
            fleet.runFor(fleet.settings[0].heartbeatIntervalMs)
            fleet.limitsInForce["vision"] = lowered
            assertTrue(stopped > 20, "$stopped cores are used when the limit is in force")
            val lateService = submit(2, "daemon", 2, "loaners" to false)
            fleet.runFor(3000)
            assertEquals(15, services.sumOf { tasks(it).size }, "the replicas still run")
            runUntil(fleet.lease * 12, "the array completes within the limit") {
                fleet.rules.completed[array]?.size ==
                    40
            }
            runUntil(fleet.lease * 6, "the late service starts") { tasks(lateService).size == 2 }
            assertEquals(15, services.sumOf { tasks(it).size })
        }

    /**
     * Node 1 starts tasks all the time within its allotment, while the limit is lowered and raised again. [refusesRead]
     * keeps it from learning of either change. The rule checker checks that node 1 starts nothing above the limit in
     * force.
     */
    private fun Scenario.changeLimitsUnseenByNode1(refusesRead: (Int, String) -> Boolean) {
        val array = submit(1, "sweep", 300, "loaners" to false, "cores" to 1.0, runMs = 2500)
        runUntil(fleet.lease * 4, "the team uses more than 40 cores") { usedCores("vision") > 40 }
        fleet.stateFaults.refusesRead = refusesRead
        fleet.runFor(200)
        assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("vision", 20.0))).status)
        val startedAt = fleet.now
        assertTrue("pitbox-1" in status(0, 2).missing)
        assertFalse(status(0, 2).isInForce)
        awaitInForce(0, 2)
        assertTrue(fleet.now - startedAt <= fleet.lease, "${fleet.now - startedAt} ms")
        fleet.runFor(fleet.settings[0].heartbeatIntervalMs)
        fleet.limitsInForce["vision"] = Team("vision", 1.0, 20.0, 0.0, 20.0)
        fleet.runFor(fleet.lease)
        assertEquals(ChangeStatus.APPLIED, apply(2, change(2, team("vision", 60.0))).status)
        fleet.limitsInForce["vision"] = Team("vision", 1.0, 60.0, 0.0, 20.0)
        fleet.stateFaults.refusesRead = { _, _ -> false }
        runUntil(fleet.lease * 12, "the array completes") { fleet.rules.completed[array]?.size == 300 }
        assertEquals(emptyList<String>(), status(0, 3).missing)
    }

    /**
     * Guards [micatally.config.LiveConfiguration.mayStart]: no task starts without a recent view of the shared keys.
     * The messages of the other controllers prove that no cancellation was missed, but tell nothing about teams.
     * Without the guard the node goes on starting tasks within its former allotment.
     */
    @Test
    fun `a controller that can't read the shared keys starts nothing above the limit in force`() =
        withStoredTeams { changeLimitsUnseenByNode1 { node, _ -> node == 1 } }

    /** Guards [micatally.config.ConfigurationPhase.BEHIND]: no task starts while a newer version is known to exist. */
    @Test
    fun `a controller that can't read a change starts nothing above the limit in force`() =
        withStoredTeams {
            changeLimitsUnseenByNode1 { node, target ->
                node == 1 && "config" in target &&
                    "watch" !in target
            }
        }

    /** Runs the test with a machine that has free capacity and on which a task of another team runs. */
    private fun Scenario.withSharedMachine(test: Scenario.(machine: String) -> Unit) {
        val other = submit(1, "daemon", 1, "loaners" to false, "crew" to "text")
        allRun(listOf(other))
        test(tasks(other).single().machine)
    }

    private fun Scenario.attempts(jobId: String) =
        fleet.live[1]!!
            .jobManager
            .job(jobId)!!
            .attempts.values

    private fun Scenario.lowerLimit(coresMax: Double) {
        assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("vision", coresMax))).status)
        awaitInForce(0, 2, maxMs = 2000)
        fleet.limitsInForce["vision"] = Team("vision", 1.0, coresMax, 0.0, 20.0)
    }

    /**
     * Guards [micatally.job.JobManager.endUnsent]: placements whose start commands are not sent yet are given up before
     * a controller confirms a version.
     */
    @Test
    fun `start commands that wait for a slow machine are not sent after the limit was lowered`() =
        withStoredTeams {
            withSharedMachine { machine ->
                fleet.net.commandDelayMs[machine] = 3500
                submit(1, "sweep", 1, "loaners" to false, "crew" to "text", runMs = 60_000)
                val array = submit(1, "sweep", 4, "loaners" to false, runMs = 60_000)
                runUntil(1000, "its four tasks wait behind the command that is under way") {
                    attempts(array).count { it.state == AttemptState.RECORDED && it.machine.name == machine } == 4
                }
                lowerLimit(2.0)
                fleet.net.commandDelayMs.clear()
                fleet.runFor(fleet.lease * 3)
                assertTrue(usedCores("vision") <= 2.0)
                runUntil(fleet.lease * 4, "it goes on within the limit") { tasks(array).size == 2 }
            }
        }

    /**
     * Guards [micatally.worker.CommandPlanner]: a start command without a response is not repeated for a team that is
     * over its limit.
     */
    @Test
    fun `a lost start command is not repeated after the limit was lowered`() =
        withStoredTeams {
            withSharedMachine { machine ->
                fleet.net.inboundBlocked.add(machine)
                val array = submit(1, "sweep", 4, "loaners" to false, runMs = 60_000)
                runUntil(1000, "its four start commands are sent") {
                    attempts(array).count { it.state == AttemptState.DISPATCHED && it.machine.name == machine } == 4
                }
                lowerLimit(2.0)
                fleet.net.inboundBlocked.clear()
                fleet.runFor(fleet.lease * 3)
                assertTrue(usedCores("vision") <= 2.0)
                runUntil(fleet.lease * 4, "it goes on within the limit") { tasks(array).size == 2 }
            }
        }

    @Test
    fun `a removed team starts nothing, its tasks still run, and its jobs can be cancelled`() =
        withStoredTeams {
            val running = submit(0, "daemon", 2, "loaners" to false)
            val toCancel = submit(1, "sweep", 3, "loaners" to false, runMs = 3_600_000)
            allRun(listOf(running, toCancel))
            val waiting = submit(2, "daemon", 1, "loaners" to false, "cores" to 20.0)
            assertEquals(0, tasks(waiting).size)
            cancel(toCancel, listOf(0, 1, 2))
            assertEquals(ChangeStatus.APPLIED, apply(0, change(1, remove = listOf("vision"))).status)
            awaitInForce(0, 2)
            fleet.runFor(fleet.settings[0].heartbeatIntervalMs)
            fleet.limitsInForce.remove("vision")
            fleet.runFor(fleet.lease * 4)
            assertEquals(2, tasks(running).size, "running tasks are not stopped")
            assertEquals(0, tasks(waiting).size)
            assertTrue(fleet.rules.isCancelled(toCancel))
            val refused = spec("daemon", 1)
            assertEquals(422, fleet.asked(1, "POST", "/work", refused.source.bytes()).first)
            fleet.limitsInForce["vision"] = Team("vision", 1.0, 60.0, 0.0, 20.0)
            assertEquals(ChangeStatus.APPLIED, apply(1, change(2, team("vision", 60.0))).status)
            runUntil(fleet.lease * 6, "the waiting task starts") { tasks(waiting).size == 1 }
        }

    /**
     * Guards [micatally.api.AdmissionRules.check], which reads the state store before it refuses a job of an unknown
     * team.
     */
    @Test
    fun `a job of a new team is never refused because of a stale view`() =
        withStoredTeams {
            fleet.stateFaults.refusesRead = { node, _ -> node == 2 }
            fleet.runFor(100)
            assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("newcomer", 10.0))).status)
            fleet.limitsInForce["newcomer"] = Team("newcomer", 1.0, 10.0, 0.0, 20.0)
            val job = spec("daemon", 1, "crew" to "newcomer")
            assertEquals(503, fleet.asked(2, "POST", "/work", job.source.bytes()).first)
            fleet.stateFaults.refusesRead = { _, _ -> false }
            val (status, _) = fleet.asked(2, "POST", "/work", job.source.bytes())
            assertTrue(status == 201 || status == 503, "$status")
            runUntil(fleet.lease, "the job is accepted") {
                fleet.asked(2, "POST", "/work", job.source.bytes()).first in
                    200..201
            }
        }

    /**
     * Guards [ConfigurationWriter]: a transaction without a response is repeated under the same condition, and its
     * change is looked up by its id.
     */
    @Test
    fun `a change whose response is lost, or that is written late, is applied once`() =
        withStoredTeams {
            var lostResponses = 0
            fleet.stateFaults.losesResponseOf = { _, body -> "\"lost\"" in body && lostResponses++ == 0 }
            val answer = apply(0, change(1, team("vision", 50.0), id = "lost"))
            assertTrue(lostResponses > 0)
            assertEquals(ChangeStatus.APPLIED, answer.status)
            assertEquals(2L, answer.version)
            assertEquals(2L, storedVersion())
            var delayedWrites = 0
            fleet.stateFaults.holdWriteOf =
                { _, body -> if ("\"held\"" in body && delayedWrites++ == 0) 2000L else null }
            val delayedAnswer = apply(1, change(2, team("vision", 40.0), id = "held"))
            assertEquals(ChangeStatus.APPLIED, delayedAnswer.status)
            fleet.runFor(5000)
            assertEquals(3L, storedVersion())
            assertEquals(
                3L,
                apply(2, change(2, team("vision", 40.0), id = "held")).version,
                "a repeated change is recognized",
            )
            assertEquals(3L, storedVersion())
            assertEquals(3, history(0).entries.size)
        }

    /**
     * Guards the start of a controller: it reads the newest snapshot and all later changes, and ignores its settings
     * file.
     */
    @Test
    fun `a restarted controller takes its configuration from the state store, also after a snapshot`() =
        withStoredTeams {
            val changeCount = ConfigurationWriter.SNAPSHOT_EVERY + 20
            val answers = List(changeCount) { launchApply(it % 3, change(1, team("team-$it", 100.0))) }
            runUntil(fleet.lease * 2, "all changes are applied") {
                answers.all {
                    it.answer?.status ==
                        ChangeStatus.APPLIED
                }
            }
            fleet.crash(1)
            assertEquals(ChangeStatus.APPLIED, apply(0, change(changeCount + 1L, team("vision", 30.0))).status)
            fleet.runFor(1000)
            fleet.startNode(1)
            runUntil(fleet.lease, "all nodes have the newest version") { versions().all { it == changeCount + 2L } }
            val teams = fleet.live[1]!!.configuration.live
            assertEquals(30.0, teams.team("vision")!!.coresMax)
            assertEquals(changeCount, teams.all().count { it.name.startsWith("team-") })
            assertTrue(fleet.state.keysUnder(Keys.CONFIG_SNAPSHOT).isNotEmpty())
            val pending = PendingAnswer<ChangeAnswer>()
            fleet.scope.launch {
                val request = ProtoBuf.encodeToByteArray(RollbackRequest("back", 1, "operator", "test"))
                val body = fleet.users.askPeerPort(2, ConfigurationPaths.ROLLBACK, request)
                pending.answer = body?.let { ProtoBuf.decodeFromByteArray<ChangeAnswer>(it) }
            }
            assertEquals(ChangeStatus.APPLIED, await(pending).status)
            awaitInForce(0, changeCount + 3L)
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
    fun `one change takes two writes, and a hundred concurrent changes at most twenty more`() =
        withStoredTeams {
            fleet.runFor(2000)
            val before = fleet.state.changesByPrefix()

            fun written() =
                listOf("c", "config/change").sumOf { prefix ->
                    (fleet.state.changesByPrefix()[prefix] ?: 0L) - (before[prefix] ?: 0L)
                }
            assertEquals(ChangeStatus.APPLIED, apply(0, change(1, team("vision", 50.0))).status)
            assertEquals(2L, written())
            val startedAt = fleet.now
            val answers = List(100) { launchApply(0, change(1, team("team-$it", 100.0))) }
            runUntil(
                fleet.lease,
                "all changes are applied",
            ) { answers.all { it.answer?.status == ChangeStatus.APPLIED } }
            assertTrue(written() <= 22, "${written()} writes")
            awaitInForce(1, 102)
            assertTrue(fleet.now - startedAt < 2000, "${fleet.now - startedAt} ms")
        }
}
