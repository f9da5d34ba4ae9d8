package micatally.settings

import micatally.archive.ArchiveMode
import java.util.Properties

/** Operators' own settings, beyond the file that the platform hands over. Durations are multiples of a worker's lease or of a machine's boot. */
class Operator(
    val queueBounds: List<Double>,
    val promotionRatio: Double,
    val fleetHeadroom: Double,
    val fleetIdleBoots: Double,
    /** Whether the teams move from the settings file to the state service once all controllers are ready for it. */
    val storesTeams: Boolean = false,
    /** Whether records of jobs that are over are kept apart from open ones. */
    val archiveMode: ArchiveMode = ArchiveMode.OFF,
) {
    companion object {
        private fun flag(
            p: Properties,
            key: String,
        ): Boolean =
            when (p.getProperty(key)?.trim()) {
                null, "false" -> false
                "true" -> true
                else -> throw SettingsError("$key must be true or false")
            }

        private fun archiveMode(p: Properties): ArchiveMode {
            val name = p.getProperty(ARCHIVE)?.trim() ?: return ArchiveMode.OFF
            return ArchiveMode.entries.find { it.name.lowercase() == name }
                ?: throw SettingsError("$ARCHIVE must be off, on or restore")
        }

        private const val BOUNDS = "queue.bounds-leases"
        private const val LIFT = "queue.lift"
        private const val HEADROOM = "fleet.headroom"
        private const val IDLE = "fleet.idle-boots"
        private const val STORED_TEAMS = "config.stored-teams"
        private const val ARCHIVE = "recovery.archive"
        private val KEYS = listOf(BOUNDS, LIFT, HEADROOM, IDLE, STORED_TEAMS, ARCHIVE)

        /** The queues' bounds: the source's own split leaves tasks of a minute in the top queue, beside the services that
         * wait for their machines. */
        val DEFAULT = Operator(listOf(0.1, 1.0, 10.0), 2.0, 0.1, 1.3)

        fun parse(p: Properties): Operator {
            for (key in p.stringPropertyNames()) {
                if (key !in KEYS) {
                    throw SettingsError(
                        "unknown property $key; did you mean ${nearestName(key, KEYS)}?",
                    )
                }
            }

            fun number(
                key: String,
                default: Double,
                range: ClosedFloatingPointRange<Double>,
            ): Double {
                val text = p.getProperty(key) ?: return default
                val n = text.trim().toDoubleOrNull()
                if (n == null ||
                    n !in range
                ) {
                    throw SettingsError("$key must be a number from ${range.start} to ${range.endInclusive}")
                }
                return n
            }
            val bounds =
                p.getProperty(BOUNDS)?.split(',')?.map {
                    it.trim().toDoubleOrNull()
                        ?: throw SettingsError("$BOUNDS must be numbers with commas between")
                }
            if (bounds != null &&
                (bounds.size !in 1..8 || bounds.any { it <= 0 } || bounds != bounds.sorted().distinct())
            ) {
                throw SettingsError("$BOUNDS must be 1 to 8 rising numbers above 0")
            }
            return Operator(
                bounds ?: DEFAULT.queueBounds,
                number(LIFT, DEFAULT.promotionRatio, 0.1..100.0),
                number(HEADROOM, DEFAULT.fleetHeadroom, 0.0..1.0),
                number(IDLE, DEFAULT.fleetIdleBoots, 0.1..100.0),
                flag(p, STORED_TEAMS),
                archiveMode(p),
            )
        }
    }
}
