package micatally.scale

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A scenario or a deploy file can't be read or has an invalid value. The message names the key or the file. */
class ScenarioError(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/**
 * The definition of a scale run, as read from a TOML file. All times are in seconds.
 *
 * @property seed seed of the random generators; the same seed gives the same load
 * @property seconds length of the measured part
 * @property warmupSeconds length of the load before the measured part
 * @property drainSeconds how long accepted jobs may take to end after the load has ended
 * @property storedJobs number of done jobs whose records are in the state store when the run starts
 * @property archive whether the controllers keep records of jobs that are over apart from those of open jobs; the
 * records of [storedJobs] are then stored that way from the start
 * @property controllers number of controllers
 * @property controllerSockets `max_sockets` in the settings of the controllers
 * @property configuration changes of the configuration during the measured part; null if there are none
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

/**
 * The workers and their times in seconds.
 *
 * @property reportSeconds time between two heartbeats, `report_s` in the settings
 * @property leaseSeconds worker lease, `lease_s` in the settings
 * @property cancelSeconds time within which the tasks of a cancelled job have to be gone, `cancel_s` in the settings
 * @property bootSeconds time that the emulated cloud takes to boot a machine
 */
@Serializable
data class WorkerPlan(
    val reportSeconds: Double,
    val leaseSeconds: Double,
    val cancelSeconds: Double,
    val bootSeconds: Double = 5.0,
    val types: List<WorkerTypePlan>,
)

/** Workers on machines of one type, spread evenly over the zones; [count] is the number in all zones together. */
@Serializable
data class WorkerTypePlan(
    val name: String,
    val count: Int,
    val cores: Double,
    @SerialName("cards") val gpus: Double = 0.0,
    val ramGb: Double,
    val pullGbPerSecond: Double = 2.0,
)

/**
 * The number of teams and the quota that each of them has.
 *
 * @property cores guaranteed cores; 0 means no guarantee
 * @property coresMax limit of cores; 0 means no limit
 * @property gpus guaranteed GPUs; 0 means no guarantee
 * @property gpusMax limit of GPUs; 0 means no limit
 */
@Serializable
data class TeamPlan(
    val count: Int,
    val cores: Double = 0.0,
    val coresMax: Double = 0.0,
    @SerialName("cards") val gpus: Double = 0.0,
    @SerialName("cardsMax") val gpusMax: Double = 0.0,
)

/**
 * The limits of the state store, which its emulator enforces.
 *
 * @property valueKb largest value in KiB
 * @property transactionOperations most operations of one transaction
 */
@Serializable
data class StateServicePlan(
    val requestsPerSecond: Double,
    val writesPerSecond: Double,
    val valueKb: Double = 16.0,
    val transactionOperations: Int = 48,
)

/**
 * What users do.
 *
 * @property pollSeconds how often a user polls the status of a job that is neither done nor cancelled
 * @property hostileShare share of the submissions that have a deeply nested value in an unknown field
 */
@Serializable
data class UserPlan(
    val pollSeconds: Double = 5.0,
    val hostileShare: Double = 0.0,
)

/**
 * A class of jobs with the same properties.
 *
 * @property format the protocol's word for the format: `sweep` (an array) or `daemon` (a service)
 * @property priority the protocol's word for the priority
 * @property tasks number of tasks of each job
 * @property cores cores of each task
 * @property images number of different images; each job uses one of them
 * @property runSeconds mean run time of a task of an array
 * @property runSpread maximum deviation of a task's run time from [runSeconds], as a fraction of it
 * @property atStart number of jobs submitted at random times in the first half of the warm-up
 * @property perSecond mean number of jobs submitted per second during warm-up and measured part
 * @property urgent whether the start latencies of its tasks are measured separately
 * @property spreadOverZones whether a zone may hold at most half of the tasks of a job, rounded up
 * @property cancelAfterSeconds time from the submission to the cancellation by the user; null if jobs are not cancelled
 * during the load
 * @property cancelShare share of the jobs that are cancelled after that time
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

/**
 * A failure during the measured part.
 *
 * @property kind one of [KINDS]
 * @property atSecond when it begins, in seconds from the start of the measured part
 * @property forSeconds how long it lasts; 0 for [WORKERS] and [ZONE] means that the machines are lost for good
 * @property count number of workers or controllers that fail, chosen at random
 * @property zone the zone that fails
 */
@Serializable
data class FailurePlan(
    val kind: String,
    val atSecond: Double,
    val forSeconds: Double = 0.0,
    val count: Int = 1,
    val zone: String? = null,
) {
    companion object {
        /** Machines are lost with all their tasks; they only hang if the failure has a length. */
        const val WORKERS = "workers"

        /** The same happens to all machines of a zone. */
        const val ZONE = "zone"

        /** Controllers are killed and started again after the length of the failure. */
        const val CONTROLLERS = "controllers"

        /** The state store answers each request with 503. */
        const val STATE_OUTAGE = "state-outage"

        /** A fifth of the answered commands to workers arrive once more, up to two leases later. */
        const val COMMAND_COPIES = "command-copies"
        val KINDS = listOf(WORKERS, ZONE, CONTROLLERS, STATE_OUTAGE, COMMAND_COPIES)
    }
}

/**
 * Changes of the teams' limits during the measured part.
 *
 * @property perSecond changes per second, each of one random team
 * @property burstAtSecond start of the second in which all teams are changed, from the start of the measured part; null
 * for no such burst
 */
@Serializable
data class ConfigurationPlan(
    val perSecond: Double = 0.0,
    val burstAtSecond: Double? = null,
)
