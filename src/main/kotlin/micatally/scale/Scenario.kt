package micatally.scale

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A scenario that can't be read or makes no sense; the text names the key. */
class ScenarioError(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/**
 * What one scale run consists of. All times are in seconds.
 *
 * @property seed the same seed gives the same load
 * @property seconds length of the measured part
 * @property warmupSeconds load before the measurement begins
 * @property storedJobs jobs of earlier days that the state service holds from the start, all done
 * @property archive whether records of jobs that are over are kept apart, those of [storedJobs] from the start
 * @property controllerSockets `max_sockets` in the settings of the controllers
 * @property drainSeconds how long accepted work may take to end after the last submission
 */
@Serializable
data class Scenario(
    val seed: Int = 1,
    val seconds: Int,
    val warmupSeconds: Int,
    val drainSeconds: Int = 120,
    val storedJobs: Int = 0,
    val archive: Boolean = false,
    val controllers: Int,
    val controllerSockets: Int = 2400,
    val zones: List<String>,
    val workers: WorkerPlan,
    val teams: TeamPlan,
    val stateService: StateServicePlan,
    val users: UserPlan = UserPlan(),
    val jobs: List<JobClassPlan>,
    val failures: List<FailurePlan> = emptyList(),
    val configuration: ConfigurationPlan? = null,
) {
    val workerCount get() = workers.types.sumOf { it.count }
}

/** Workers and their times, see the protocol's `report_s`, `lease_s` and `cancel_s`. */
@Serializable
data class WorkerPlan(
    val reportSeconds: Double,
    val leaseSeconds: Double,
    val cancelSeconds: Double,
    val bootSeconds: Double = 5.0,
    val types: List<WorkerTypePlan>,
)

/** Machines of one type, spread evenly over the zones. */
@Serializable
data class WorkerTypePlan(
    val name: String,
    val count: Int,
    val cores: Double,
    @SerialName("cards") val gpus: Double = 0.0,
    val ramGb: Double,
    val pullGbPerSecond: Double = 2.0,
)

/** Teams that are all alike; 0 means no guarantee or no limit. */
@Serializable
data class TeamPlan(
    val count: Int,
    val cores: Double = 0.0,
    val coresMax: Double = 0.0,
    @SerialName("cards") val gpus: Double = 0.0,
    @SerialName("cardsMax") val gpusMax: Double = 0.0,
)

/** The limits of the state service, which its emulator enforces. */
@Serializable
data class StateServicePlan(
    val requestsPerSecond: Double,
    val writesPerSecond: Double,
    val valueKb: Double = 16.0,
    val transactionOperations: Int = 48,
)

/** How often users ask for a job that is not over. */
@Serializable
data class UserPlan(
    val pollSeconds: Double = 5.0,
)

/** Jobs that are alike.
 *
 * @property format the protocol's word: sweep or daemon
 * @property runSeconds of one task of a sweep, on average
 * @property runSpread how far a task's time may be from that, as a share of it
 * @property atStart jobs that come evenly over the first half of the warm-up
 * @property perSecond jobs a second from the beginning to the end
 * @property urgent its starts are measured apart
 * @property cancelAfterSeconds when the user cancels; null: never before the end of the run
 * @property cancelShare share of the jobs that are cancelled then
 */
@Serializable
data class JobClassPlan(
    val name: String,
    val format: String,
    val priority: String,
    val tasks: Int,
    val cores: Double,
    @SerialName("cards") val gpus: Double = 0.0,
    val ramGb: Double = 1.0,
    val images: Int = 1,
    val imageGb: Double = 0.1,
    val runSeconds: Double = 0.0,
    val runSpread: Double = 0.5,
    val atStart: Int = 0,
    val perSecond: Double = 0.0,
    val urgent: Boolean = false,
    val spreadOverZones: Boolean = false,
    val cancelAfterSeconds: Double? = null,
    val cancelShare: Double = 0.0,
)

/** Something that fails [atSecond] of the measured part, for [forSeconds] where it comes back. */
@Serializable
data class FailurePlan(
    val kind: String,
    val atSecond: Double,
    val forSeconds: Double = 0.0,
    val count: Int = 1,
    val zone: String? = null,
) {
    companion object {
        /** Machines end with all that is on them. */
        const val WORKERS = "workers"

        /** All machines of a zone end. */
        const val ZONE = "zone"

        /** Controllers are killed and started again. */
        const val CONTROLLERS = "controllers"

        /** The state service answers 503. */
        const val STATE_OUTAGE = "state-outage"
        val KINDS = listOf(WORKERS, ZONE, CONTROLLERS, STATE_OUTAGE)
    }
}

/** Changes of teams while the run goes on.
 *
 * @property perSecond changes a second, each of one team
 * @property burstAtSecond when all teams are changed within one second; null: never
 */
@Serializable
data class ConfigurationPlan(
    val perSecond: Double = 0.0,
    val burstAtSecond: Double? = null,
)
