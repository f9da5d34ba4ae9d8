package micatally.settings

import micatally.state.StateLimits

/** Thrown if a setting is missing or invalid. The message names the field. */
class SettingsError(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/**
 * Another controller of the deployment.
 *
 * @property host the name of its host
 * @property zone the zone of its host
 * @property addr the address on which it serves other controllers, as host:port
 */
class Peer(
    val host: String,
    val zone: String,
    val addr: String,
)

/**
 * A team's quota. A value of 0 means that there is no such guarantee or limit.
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
 * @property jobClass the class of jobs that it applies to; null if it applies to all jobs
 * @property withinS its time limit in seconds; null if it has none
 */
class Objective(
    val kind: String,
    val jobClass: String?,
    val withinS: Double?,
)

/**
 * The settings that the platform provides to a controller in the settings file. Times are in ms. Addresses have the
 * form host:port.
 *
 * @property host the name of this controller's host, by which its peers know it
 * @property zone the zone of the host
 * @property listen the address on which users and workers are served
 * @property peerListen the address on which other controllers are served
 * @property peers the other controllers of the deployment
 * @property cloudAddr the address of the cloud's API for instances
 * @property stateAddr the address of the state store
 * @property zones all zones in which machines may be
 * @property teams the teams by name; they no longer apply once the teams are stored in the state store
 * @property objectives the deployment's service-level objectives; they are validated, but no decision depends on them
 * @property heartbeatIntervalMs the time between two heartbeats of a worker
 * @property leaseMs how long a worker keeps its tasks running after its last answered heartbeat
 * @property cancelMs the longest time that a task may run after its cancellation was confirmed to the user
 * @property gangWaitMs how long a gang's task waits for the gang's other tasks to start
 * @property gangPeerMs how long a gang's task keeps running after another task of the gang is gone or being stopped
 * @property stateLimits the limits of the state store to comply with: each is the smaller of the current limit and the
 * upcoming one
 * @property cloudRps requests per second that all controllers together may send to the cloud
 * @property listLagMs how far the cloud's list of instances may be out of date
 * @property maxSockets sockets that a controller may have open
 * @property coreShare the share of a core that a controller may use; it is validated, but no decision depends on it
 */
class Settings(
    val host: String,
    val zone: String,
    val listen: String,
    val peerListen: String,
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
    /** The number of controllers, including this one. */
    val controllers get() = peers.size + 1

    /** Puts and deletes per second that all controllers together may make in the state store. */
    val stateWriteRps get() = stateLimits.writeRps

    /** The largest value that the state store accepts, in bytes. */
    val valueBytes get() = stateLimits.valueBytes

    /** Puts and deletes that one transaction may contain. */
    val maxOperationsPerTransaction get() = stateLimits.maxOperationsPerTransaction

    /**
     * How long a cancellation has to be in the state store before it may be confirmed to its user although not all
     * controllers have confirmed it.
     */
    val cancellationDelayMs get() = leaseMs

    /**
     * How long a controller may start tasks after its last contact with the state store, measured on its own clock.
     */
    val startBoundMs get() = cancellationDelayMs * START_BOUND_PERCENT / ONE_HUNDRED_PERCENT

    /**
     * How long a controller may answer heartbeats after its last proof of contact with the state store. A cancellation
     * that it does not know of is confirmed to its user at the earliest [cancellationDelayMs] after that proof. A
     * worker that was still answered at the end of this time may run the cancelled task until its lease expires. This
     * time is therefore chosen so that the lease, with a margin of a tenth of it, ends at most [cancelMs] after the
     * confirmation. It is at least half a lease.
     */
    val leadershipMs
        get() =
            maxOf(
                leaseMs / 2,
                cancellationDelayMs + cancelMs - leaseMs * LEASE_WITH_MARGIN_PERCENT / ONE_HUNDRED_PERCENT,
            )

    /** The time to live of the lease that each controller holds in the state store. */
    val liveMs get() = leaseMs * CONTROLLER_LEASE_PERCENT / ONE_HUNDRED_PERCENT

    /**
     * The shortest time between two watch requests for the shared keys. It leaves a part of the state store's request
     * limit to all other requests.
     */
    val watchEveryMs get() = (MILLIS_PER_SECOND * controllers / stateLimits.rps * REQUESTS_PER_WATCH).toLong()

    /**
     * Sockets that a controller may open itself, for requests to machines, the state store, the cloud and its peers.
     */
    val outgoingSockets get() = outgoingSockets(maxSockets)

    /**
     * Commands to machines that may be in flight at once. However many machines don't respond, commands and the probes
     * of silent machines together leave a part of [outgoingSockets] to the state store, the cloud and the other
     * controllers.
     */
    val maxConcurrentCommands get() = maxOf(1, outgoingSockets / 2)

    /** Probes of silent machines that may be in flight at once. */
    val maxConcurrentProbes get() = maxSockets / SOCKETS_PER_PROBE

    /**
     * How long capacity that a shard's jobs use still counts as in use after the shard has lost its leader. This
     * bridges the time until the new leader has loaded the shard and announced the capacity that it uses.
     */
    val handOverMs get() = leaseMs / HANDOVERS_PER_LEASE

    /** The parser of the settings file, and the numbers from which further settings are derived. */
    companion object {
        private const val MILLIS_PER_SECOND = 1000.0
        private const val ONE_HUNDRED_PERCENT = 100
        private const val START_BOUND_PERCENT = 90
        private const val LEASE_WITH_MARGIN_PERCENT = 110
        private const val CONTROLLER_LEASE_PERCENT = 80
        private const val HANDOVERS_PER_LEASE = 4

        /** Watches of the shared keys use at most one in this many requests of the state store's request limit. */
        private const val REQUESTS_PER_WATCH = 3.0

        private const val SOCKETS_PER_PROBE = 8

        /**
         * The share of a controller's sockets that it may open itself. The rest is for incoming connections: half of the
         * sockets for users and workers, a few for other controllers.
         */
        private const val OUTGOING_SHARE_PERCENT = 42

        /** Returns how many of [maxSockets] a controller may open itself. */
        fun outgoingSockets(maxSockets: Int) = maxSockets * OUTGOING_SHARE_PERCENT / ONE_HUNDRED_PERCENT

        /**
         * Reads the settings file.
         *
         * @throws SettingsError if [body] is not JSON, or a setting is missing or invalid
         */
        fun parse(body: ByteArray): Settings = SettingsReader.read(body)
    }
}
