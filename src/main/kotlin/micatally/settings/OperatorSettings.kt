package micatally.settings

import micatally.archive.ArchiveMode
import java.util.Properties

/**
 * Settings that operators may change in the properties file. They are separate from [Settings], which the platform
 * provides.
 *
 * @property queueBounds the attained service times at which one priority queue ends and the next begins, ascending, in
 * multiples of the worker lease
 * @property promotionRatio the ratio of a job's wait to its attained service time above which it is promoted by one
 * queue
 * @property fleetHeadroom free capacity that scale-in leaves, as a fraction of the capacity in use
 * @property fleetIdleBoots how long a machine is idle before it is evicted, in multiples of its type's boot time
 * @property storesTeams whether the teams move from the settings file to the state store once all controllers can read
 * them there
 * @property archiveMode whether the records of ended jobs are stored separately from those of open jobs
 */
class OperatorSettings(
    val queueBounds: List<Double>,
    val promotionRatio: Double,
    val fleetHeadroom: Double,
    val fleetIdleBoots: Double,
    val storesTeams: Boolean = false,
    val archiveMode: ArchiveMode = ArchiveMode.OFF,
) {
    /** The defaults and the parser of the properties file. */
    companion object {
        private const val QUEUE_BOUNDS = "queue.bounds-leases"
        private const val PROMOTION_RATIO = "queue.lift"
        private const val HEADROOM = "fleet.headroom"
        private const val IDLE_BOOTS = "fleet.idle-boots"
        private const val STORED_TEAMS = "config.stored-teams"
        private const val ARCHIVE = "recovery.archive"
        private val KEYS = listOf(QUEUE_BOUNDS, PROMOTION_RATIO, HEADROOM, IDLE_BOOTS, STORED_TEAMS, ARCHIVE)
        private val QUEUE_BOUND_COUNTS = 1..8

        /**
         * The settings that apply without a properties file. The queue bounds are lower than in the source that the
         * scheduler's design follows: with those bounds, tasks of one minute would share the top queue with the
         * services that wait for their machines.
         */
        val DEFAULT =
            OperatorSettings(
                queueBounds = listOf(0.1, 1.0, 10.0),
                promotionRatio = 2.0,
                fleetHeadroom = 0.1,
                fleetIdleBoots = 1.3,
            )

        /**
         * Reads the properties file. A property that is missing has its default value.
         *
         * @throws SettingsError if a property is unknown or its value is invalid
         */
        fun parse(properties: Properties): OperatorSettings {
            rejectUnknownKeys(properties)
            return OperatorSettings(
                queueBounds = properties.queueBounds() ?: DEFAULT.queueBounds,
                promotionRatio = properties.number(PROMOTION_RATIO, 0.1..100.0) ?: DEFAULT.promotionRatio,
                fleetHeadroom = properties.number(HEADROOM, 0.0..1.0) ?: DEFAULT.fleetHeadroom,
                fleetIdleBoots = properties.number(IDLE_BOOTS, 0.1..100.0) ?: DEFAULT.fleetIdleBoots,
                storesTeams = properties.flag(STORED_TEAMS),
                archiveMode = properties.archiveMode(),
            )
        }

        private fun rejectUnknownKeys(properties: Properties) {
            val unknown = properties.stringPropertyNames().firstOrNull { it !in KEYS } ?: return
            throw SettingsError("unknown property $unknown; did you mean ${nearestName(unknown, KEYS)}?")
        }

        private fun Properties.queueBounds(): List<Double>? {
            val bounds = getProperty(QUEUE_BOUNDS)?.split(',')?.map { queueBound(it) } ?: return null
            val isRising = bounds == bounds.sorted().distinct()
            if (bounds.size !in QUEUE_BOUND_COUNTS || bounds.any { it <= 0 } || !isRising) {
                throw SettingsError("$QUEUE_BOUNDS must be 1 to 8 rising numbers above 0")
            }
            return bounds
        }

        private fun queueBound(text: String): Double =
            text.trim().toDoubleOrNull() ?: throw SettingsError("$QUEUE_BOUNDS must be numbers with commas between")

        private fun Properties.number(
            key: String,
            range: ClosedFloatingPointRange<Double>,
        ): Double? {
            val text = getProperty(key) ?: return null
            val number = text.trim().toDoubleOrNull()
            if (number == null || number !in range) {
                throw SettingsError("$key must be a number from ${range.start} to ${range.endInclusive}")
            }
            return number
        }

        private fun Properties.flag(key: String): Boolean =
            when (getProperty(key)?.trim()) {
                null, "false" -> false
                "true" -> true
                else -> throw SettingsError("$key must be true or false")
            }

        private fun Properties.archiveMode(): ArchiveMode {
            val name = getProperty(ARCHIVE)?.trim() ?: return ArchiveMode.OFF
            return ArchiveMode.entries.find { it.name.lowercase() == name }
                ?: throw SettingsError("$ARCHIVE must be off, on or restore")
        }
    }
}
