package micatally.compatibility

import kotlinx.coroutines.launch
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.archive.ArchiveMode
import micatally.config.ConfigurationPaths
import micatally.settings.OperatorSettings
import micatally.sim.Scenario
import micatally.sim.SimFleet
import micatally.sim.lease
import micatally.sim.scenario
import micatally.wire.ConfigurationChange
import micatally.wire.TeamSetting
import micatally.wire.child
import micatally.wire.listOrNull
import micatally.wire.parseObject
import micatally.wire.textOrNull

/**
 * A short run of a simulated fleet that writes values of nearly every kind, and what its controllers asked the state
 * service to store: for each kind the first different values, as lines of key, blank and value.
 */
internal class RecordedRun(
    private val seed: Int,
) {
    private val linesByKind = LinkedHashMap<String, LinkedHashSet<String>>()

    fun lines(): Map<String, List<String>> {
        scenario(seed, before = { prepare() }) { play() }
        return linesByKind.mapValues { (_, lines) -> lines.toList() }
    }

    private fun SimFleet.prepare() {
        operator =
            OperatorSettings(listOf(0.1, 1.0, 10.0), 2.0, 0.1, 1.3, storesTeams = true, archiveMode = ArchiveMode.ON)
        stateFaults.holdWriteOf = { _, body ->
            record(body)
            null
        }
    }

    private fun record(body: String) {
        for (change in parseObject(body.encodeToByteArray()).listOrNull("then") ?: emptyList()) {
            val key = (change as JsonObject).textOrNull("put") ?: continue
            val lines = linesByKind.getOrPut(StoredKind.of(key)) { LinkedHashSet() }
            if (lines.size < MOST_LINES) lines.add("$key ${change.child("value")}")
        }
    }

    private fun Scenario.play() {
        val service = submit(0, "daemon", 2, "crew" to "vision")
        val sweep = submit(1, "sweep", 6, "crew" to "text", runMs = 3000)
        val long = submit(2, "sweep", 3, "crew" to "vision", runMs = HOUR_MS)
        val gang = submit(0, "gang", 2, "crew" to "text", "together" to true, runMs = HOUR_MS)
        val gone = submit(1, "sweep", 2, "crew" to "vision", "cards" to 1.0, runMs = HOUR_MS)
        allRun(listOf(service, long, gang, gone))
        for (name in tasks(gone).map { it.machine }.distinct()) fleet.workers.loseMachine(worker(name))
        cancel(gone, listOf(1))
        changeTeams()
        fleet.runFor(fleet.lease * 4)
        for (jobId in listOf(sweep, gang, long)) poll(jobId)
        cancel(gang, listOf(0))
        fleet.crash(2)
        fleet.runFor(fleet.lease * 2)
        cancel(long, listOf(0))
        fleet.startNode(2)
        fleet.runFor(fleet.lease * 16)
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun Scenario.changeTeams() {
        val set = listOf(TeamSetting("vision", 1.0, 50.0, 0.0, 20.0), TeamSetting("newcomer", 1.0, 10.0))
        val change = ConfigurationChange("change-1", 1, "operator", "more for \"vision\"", set, listOf("cards"))
        fleet.scope.launch { fleet.users.askPeerPort(0, ConfigurationPaths.APPLY, ProtoBuf.encodeToByteArray(change)) }
    }

    private companion object {
        const val MOST_LINES = 24
        const val HOUR_MS = 3_600_000L
    }
}
