package micatally.sim

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.settings.Settings
import micatally.state.StateLimits
import micatally.wire.bytes

/**
 * The settings files of the simulated controllers: host `pitbox-N` listens at `nN:80`, and at port 81 for its peers.
 */
class SimSettings(
    private val nodes: Int,
    private val timing: Timing,
    private val limits: StateLimits,
    private val zones: List<String>,
) {
    /**
     * Returns the settings file of this node. [nextLimits] are the lower limits of the state store that it announces,
     * if any.
     */
    fun of(
        node: Int,
        nextLimits: StateLimits?,
    ) = buildJsonObject {
        put("host_name", "pitbox-$node")
        put("location", zones[node % 3])
        put("listen", "n$node:80")
        put("back", "n$node:81")
        put("seeds", seeds(node))
        put(
            "services",
            buildJsonObject {
                put("cloud", "cloud:1")
                put("state", "state:1")
            },
        )
        put("params", parameters(nextLimits))
    }

    private fun seeds(node: Int) =
        buildJsonArray {
            for (peer in (0 until nodes).filter { it != node }) {
                add(
                    buildJsonObject {
                        put("host_name", "pitbox-$peer")
                        put("location", zones[peer % 3])
                        put("peer_addr", "n$peer:81")
                    },
                )
            }
        }

    private fun parameters(nextLimits: StateLimits?) =
        buildJsonObject {
            put("initial_size", nodes)
            put("zones", JsonArray(zones.map { JsonPrimitive(it) }))
            put("teams", teams())
            put("workers", workerTimes())
            put(
                "state",
                buildJsonObject {
                    putLimits(limits)
                    if (nextLimits != null) put("next", buildJsonObject { putLimits(nextLimits) })
                },
            )
            put(
                "cloud",
                buildJsonObject {
                    put("rps", 4)
                    put("list_lag_s", 3)
                },
            )
            put(
                "machine_limits",
                buildJsonObject {
                    put("core_share", 0.2)
                    put("memory_mb", 150)
                    put("max_sockets", 500)
                },
            )
            put("time_bound_ms", 100)
        }

    private fun teams() =
        buildJsonArray {
            add(team("vision", 16.0, 60.0, 20.0))
            add(team("text", 16.0, 24.0, 20.0))
            add(team("cards", 0.0, 0.0, 8.0))
        }

    private fun team(
        name: String,
        cores: Double,
        maxCores: Double,
        maxGpus: Double,
    ) = buildJsonObject {
        put("name", name)
        put("cpus", cores)
        put("cpus_max", maxCores)
        put("gpus", 0.0)
        put("gpus_max", maxGpus)
    }

    private fun workerTimes() =
        buildJsonObject {
            put("report_s", timing.reportS)
            put("lease_s", timing.leaseS)
            put("cancel_s", timing.cancelS)
            put("gang_wait_s", timing.leaseS * 3.5)
            put("gang_peer_s", timing.leaseS * 0.4)
        }

    private fun JsonObjectBuilder.putLimits(limits: StateLimits) {
        put("rps", limits.rps)
        put("write_rps", limits.writeRps)
        put("value_kb", limits.valueBytes / 1024.0)
        put("txn_ops", limits.maxOperationsPerTransaction)
    }
}

/** The settings of one of three controllers with [Timing.PLAIN], for tests of single classes. */
internal fun plainSettings(): Settings {
    val limits = StateLimits(250.0, 100.0, 16 * 1024, 48)
    return Settings.parse(SimSettings(3, Timing.PLAIN, limits, listOf("a", "b", "c")).of(0, null).bytes())
}
