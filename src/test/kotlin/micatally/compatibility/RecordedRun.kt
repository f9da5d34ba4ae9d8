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
 * Runs a simulated fleet whose controllers store values of nearly every kind, and records those values.
 *
 * Of each kind (see [StoredKind]) the first [MAX_LINES_PER_KIND] distinct pairs of key and value are kept.
 */
internal class RecordedRun(
    private val seed: Int,
) {
    private val linesByKind = LinkedHashMap<String, LinkedHashSet<String>>()

    /** Runs the fleet and returns the recorded lines of each kind: the key, a blank and the value as JSON. */
    fun lines(): Map<String, List<String>> {
        scenario(seed, before = { configure() }) { runJobs() }
        return linesByKind.mapValues { (_, lines) -> lines.toList() }
    }

    private fun SimFleet.configure() {
        operator =
            OperatorSettings(listOf(0.1, 1.0, 10.0), 2.0, 0.1, 1.3, storesTeams = true, archiveMode = ArchiveMode.ON)
        stateFaults.holdWriteOf = { _, body ->
            recordWrites(body)
            // Null: the transaction is not delayed.
            null
        }
    }

    /** Records the values that a transaction writes. */
    private fun recordWrites(transactionBody: String) {
        for (change in parseObject(transactionBody.encodeToByteArray()).listOrNull("then") ?: emptyList()) {
            val key = (change as JsonObject).textOrNull("put") ?: continue
            val lines = linesByKind.getOrPut(StoredKind.of(key)) { LinkedHashSet() }
            if (lines.size < MAX_LINES_PER_KIND) lines.add("$key ${change.child("value")}")
        }
    }

    /**
     * Runs jobs of each format and changes the teams. Jobs end, lose their machines, are cancelled and move to another
     * leader.
     */
    private fun Scenario.runJobs() {
        val service = submit(0, "daemon", 2, "crew" to "vision")
        val sweep = submit(1, "sweep", 6, "crew" to "text", runMs = 3000)
        val longSweep = submit(2, "sweep", 3, "crew" to "vision", runMs = HOUR_MS)
        val gang = submit(0, "gang", 2, "crew" to "text", "together" to true, runMs = HOUR_MS)
        val onLostMachines = submit(1, "sweep", 2, "crew" to "vision", "cards" to 1.0, runMs = HOUR_MS)
        allRun(listOf(service, longSweep, gang, onLostMachines))
        for (name in tasks(onLostMachines).map { it.machine }.distinct()) fleet.workers.loseMachine(worker(name))
        cancel(onLostMachines, listOf(1))
        changeTeams()
        fleet.runFor(fleet.lease * 4)
        for (jobId in listOf(sweep, gang, longSweep)) poll(jobId)
        cancel(gang, listOf(0))
        fleet.crash(2)
        fleet.runFor(fleet.lease * 2)
        cancel(longSweep, listOf(0))
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
        const val MAX_LINES_PER_KIND = 24
        const val HOUR_MS = 3_600_000L
    }
}
