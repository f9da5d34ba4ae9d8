package micatally.membership

/**
 * The keys of the state store. The shared keys, of which every controller keeps a copy, lie under one prefix, [PREFIX], so that
 * one watch shows all that decisions rest on at one revision.
 */
object Keys {
    /** Prefix of the shared keys. */
    const val PREFIX = "c/"

    /** The newest fencing token. */
    const val FENCING_TOKEN = "c/epoch"

    /** The controller that manages the fleet. */
    const val FLEET = "c/fleet"

    /** The newest version of the stored forms that may be written. */
    const val FORMAT = "c/format"

    /** Prefix: the version of the stored forms that each host has announced. */
    const val VERSION = "c/version/"

    /** Prefix: the leader of each shard. */
    const val SHARD = "c/ledger/"

    /** Prefix: the hosts whose controller has a lease. */
    const val LIVE = "c/live/"

    /** Prefix: each team's allotments. */
    const val TEAM = "c/team/"

    /** Prefix: machines that are deleted, whose tasks have therefore ended. */
    const val DELETED_MACHINE = "c/gone/"

    /** Prefix: machines that are being scaled out. */
    const val PROVISIONING = "c/rent/"

    /** Prefix: the cancelled tasks of each job. */
    const val CANCELLED_TASKS = "c/kill/"

    /** Prefix: machines that are being drained. */
    const val DRAIN = "c/drain/"

    /** Prefix: the hosts that look for records of finished jobs under [FINAL] too. */
    const val ARCHIVE = "c/archive/"

    /** The head of the stored configuration. The rest lies apart and is read when the head has changed. */
    const val CONFIG = "c/config"

    /**
     * Prefix of the summaries. It is not under [PREFIX]: summaries are by far the larger part, and a controller that has only
     * just started can answer workers without them.
     */
    const val SUMMARIES = "s/"

    /** Prefix: capacity summaries. */
    const val CAPACITY = "s/room/"

    /** Prefix: heartbeat acknowledgements. */
    const val HEARTBEATS = "s/heard/"

    /** Prefix: the records of jobs. */
    const val JOB = "job/"

    /** Prefix: the archived records of finished jobs. */
    const val FINAL = "final/"

    /**
     * Prefix: what does not fit in the value of a job's record. It is not under [JOB], where the previous version of the program
     * would read it as a record.
     */
    const val JOB_PART = "part/"

    /** The cloud's machine types as last read. */
    const val MACHINE_TYPES = "flavors"

    /** Prefix: the changes of the stored configuration, by version. */
    const val CONFIG_CHANGE = "config/change/"

    /** Prefix: the snapshots of the stored configuration, by version. */
    const val CONFIG_SNAPSHOT = "config/snapshot/"

    /** Versions are padded, so that keys sort like them. */
    private const val VERSION_FORMAT = "%012d"

    /** The change that made [version] of the configuration. */
    fun configChange(version: Long) = CONFIG_CHANGE + VERSION_FORMAT.format(version)

    /** Prefix of the values of one snapshot. */
    fun configSnapshot(version: Long) = CONFIG_SNAPSHOT + VERSION_FORMAT.format(version) + "/"

    /** Prefix of the values that hold the teams of a large change. */
    fun configPart(stage: String) = "config/part/$stage/"

    /** The record of a job. */
    fun job(jobId: String) = JOB + jobId

    /** The archived record of a finished job. */
    fun final(jobId: String) = FINAL + jobId

    /** The announcement that [host] looks for records of finished jobs under [FINAL] too. */
    fun archive(host: String) = ARCHIVE + host

    /** One further value of a job's record. */
    fun jobPart(
        jobId: String,
        index: Int,
    ) = "$JOB_PART$jobId/$index"

    /** One further value of a job's list of cancelled tasks. */
    fun cancelledTasksPart(
        jobId: String,
        index: Int,
    ) = "$CANCELLED_TASKS$jobId/$index"

    /** The leader of the shard [name]. */
    fun shard(name: String) = SHARD + name

    /** The live key of [host]. */
    fun live(host: String) = LIVE + host

    /** The cancelled tasks of a job. */
    fun cancelledTasks(jobId: String) = CANCELLED_TASKS + jobId

    /** The allotments of the team [name]. */
    fun team(name: String) = TEAM + name

    /** The version of the stored forms that [host] has announced. */
    fun version(host: String) = VERSION + host
}
