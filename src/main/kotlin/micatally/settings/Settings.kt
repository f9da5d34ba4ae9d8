package micatally.settings

import micatally.state.StateLimits

/** A setting that is missing or makes no sense; the message names the field. */
class SettingsError(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/** Another controller of the deployment; [addr] is its address for controllers, as host:port. */
class Peer(
    val host: String,
    val zone: String,
    val addr: String,
)

/**
 * A team's quota. In each field 0 means none, as the deployment page says: no guarantee, no limit.
 *
 * @property cores guaranteed cores
 * @property coresMax limit of cores
 * @property gpus guaranteed GPUs
 * @property gpusMax limit of GPUs
 */
class Team(
    val name: String,
    val cores: Double,
    val coresMax: Double,
    val gpus: Double,
    val gpusMax: Double,
)

/**
 * A service-level objective of the deployment.
 *
 * @property jobClass the class of jobs that it is for; null: all
 * @property withinS its time limit in seconds, if it has one
 */
class Objective(
    val kind: String,
    val jobClass: String?,
    val withinS: Double?,
)

/**
 * The settings that the platform hands over to a controller. Times are in milliseconds; addresses are host:port.
 *
 * @property host name of this controller's host; its peers know it by that name
 * @property zone the zone that the host is in
 * @property listen the address on which users and workers are served
 * @property back the address on which other controllers are served
 * @property peers the other controllers of the deployment
 * @property cloudAddr the cloud's API for instances
 * @property stateAddr the state store
 * @property zones all zones in which machines may be
 * @property teams the teams by name; not in force once the teams are stored in the state store
 * @property objectives the deployment's service-level objectives; they are checked, but nothing is decided by them
 * @property heartbeatIntervalMs how often a worker sends a heartbeat
 * @property leaseMs how long a worker keeps its tasks running after its last answered heartbeat
 * @property cancelMs how long after its cancellation was confirmed to the user a task may run at the most
 * @property gangWaitMs how long a gang's task waits for the other tasks to start
 * @property gangPeerMs how long a gang's task goes on without one of the others
 * @property stateLimits the limits to keep to: for each, the smaller of the present one and the one to come
 * @property cloudRps requests a second that all controllers together may send to the cloud
 * @property listLagMs how far the cloud's list of instances may lag behind
 * @property maxSockets sockets that a controller may have open
 * @property coreShare the share of a core that a controller may use; it is checked, but nothing is decided by it
 */
class Settings(
    val host: String,
    val zone: String,
    val listen: String,
    val back: String,
    val peers: List<Peer>,
    val cloudAddr: String,
    val stateAddr: String,
    val zones: List<String>,
    val teams: Map<String, Team>,
    val objectives: List<Objective>,
    val heartbeatIntervalMs: Long,
    val leaseMs: Long,
    val cancelMs: Long,
    val gangWaitMs: Long,
    val gangPeerMs: Long,
    val stateLimits: StateLimits,
    val cloudRps: Double,
    val listLagMs: Long,
    val maxSockets: Int,
    val coreShare: Double,
) {
    /** The number of controllers, with this one. */
    val controllers get() = peers.size + 1

    /** Puts and deletes a second that all controllers together may make in the state store. */
    val stateWriteRps get() = stateLimits.writeRps

    /** The largest value that the state store takes, in bytes. */
    val valueBytes get() = stateLimits.valueBytes

    /** Puts and deletes that one transaction may hold. */
    val maxOperationsPerTransaction get() = stateLimits.maxOperationsPerTransaction

    /**
     * How long a cancellation that some controller has not confirmed is kept in the state store before it is confirmed to
     * its user.
     */
    val cancellationDelayMs get() = leaseMs

    /** For how long after its last contact with the state store a controller may start tasks, on its own clock. */
    val startBoundMs get() = cancellationDelayMs * START_BOUND_PERCENT / PERCENT_OF_ALL

    /**
     * For how long a controller may answer heartbeats after its last proof of contact with the state store. A cancellation
     * that it has not seen by then is confirmed to its user [cancellationDelayMs] later at the earliest; from there the
     * worker's lease and a margin of a tenth of it fit in [cancelMs].
     */
    val leadershipMs
        get() =
            maxOf(
                leaseMs / 2,
                cancellationDelayMs + cancelMs - leaseMs * LEASE_WITH_MARGIN_PERCENT / PERCENT_OF_ALL,
            )

    /** The time to live of a controller's own lease in the state store. */
    val liveMs get() = leaseMs * LIVE_PERCENT / PERCENT_OF_ALL

    /** The shortest time between two watch requests for the shared keys, so that they leave requests for all else. */
    val watchEveryMs get() = (MILLIS_PER_SECOND * controllers / stateLimits.rps * REQUESTS_PER_WATCH).toLong()

    /** Sockets that a controller opens itself: for requests to machines, the state store, the cloud and its peers. */
    val outgoingSockets get() = outgoingSockets(maxSockets)

    /**
     * Commands to machines that may be in flight at once. However many machines don't answer, they and the probes of silent
     * machines leave a part of [outgoingSockets] to the state store, the cloud and the other controllers.
     */
    val maxConcurrentCommands get() = maxOf(1, outgoingSockets / 2)

    /** Probes of silent machines that may be in flight at once. */
    val maxConcurrentProbes get() = maxSockets / SOCKETS_PER_PROBE

    /**
     * How long capacity counts as in use after the leader of its shard has changed, until the new one has loaded the shard
     * and announced what it uses.
     */
    val handOverMs get() = leaseMs / HAND_OVERS_PER_LEASE

    /** The reader of the settings file. */
    companion object {
        private const val MILLIS_PER_SECOND = 1000.0
        private const val PERCENT_OF_ALL = 100
        private const val START_BOUND_PERCENT = 90
        private const val LEASE_WITH_MARGIN_PERCENT = 110
        private const val LIVE_PERCENT = 80
        private const val HAND_OVERS_PER_LEASE = 4

        /** One request in so many goes to the watch of the shared keys. */
        private const val REQUESTS_PER_WATCH = 3.0

        private const val SOCKETS_PER_PROBE = 8

        /** Half of a controller's sockets are for users and workers, a few for requests of other controllers. */
        private const val OUTGOING_SHARE_PERCENT = 42

        /** Returns how many of [maxSockets] a controller may open itself. */
        fun outgoingSockets(maxSockets: Int) = maxSockets * OUTGOING_SHARE_PERCENT / PERCENT_OF_ALL

        /**
         * Reads the settings file.
         *
         * @throws SettingsError if [body] is not JSON, or a setting is missing or makes no sense
         */
        fun parse(body: ByteArray): Settings = SettingsReader.read(body)
    }
}
