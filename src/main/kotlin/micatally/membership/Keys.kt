package micatally.membership

/**
 * The keys of the state store.
 *
 * The shared keys are those under [PREFIX]. Every controller keeps a copy of them and decides by it. They have one
 * prefix so that a single watch covers all of them, and the copy shows all of them at the same revision.
 */
object Keys {
    /** Prefix of the shared keys. */
    const val PREFIX = "c/"

    /** The current fencing token. */
    const val FENCING_TOKEN = "c/epoch"

    /** The controller that is the fleet manager. */
    const val FLEET = "c/fleet"

    /** The newest format of stored values that may be written; see [micatally.upgrade.FormatVersion]. */
    const val FORMAT = "c/format"

    /** Prefix: the format of stored values that each host has announced. */
    const val VERSION = "c/version/"

    /** Prefix: the leader of each shard. */
    const val SHARD = "c/ledger/"

    /** Prefix: the live keys, one for each host whose controller has a lease. */
    const val LIVE = "c/live/"

    /** Prefix: each team's allotments. */
    const val TEAM = "c/team/"

    /** Prefix: deleted machines. All tasks that ran on them have ended. */
    const val DELETED_MACHINE = "c/gone/"

    /** Prefix: the scale-out requests, each with the machines that it provisions. */
    const val PROVISIONING = "c/rent/"

    /** Prefix: the cancelled tasks of each job. */
    const val CANCELLED_TASKS = "c/kill/"

    /** Prefix: machines under eviction. */
    const val DRAIN = "c/drain/"

    /** Prefix: the hosts that have announced that they look for records of finished jobs under [FINAL] too. */
    const val ARCHIVE = "c/archive/"

    /**
     * The head of the stored configuration, which names its version. The contents are stored under other keys and are
     * read when the head has changed.
     */
    const val CONFIG = "c/config"

    /**
     * Prefix of the summaries. It is not under [PREFIX], because summaries are much larger than the shared keys, and a
     * controller that has just started can answer workers without them.
     */
    const val SUMMARIES = "s/"

    /** Prefix: capacity summaries. */
    const val CAPACITY = "s/room/"

    /** Prefix: heartbeat acknowledgements. */
    const val HEARTBEATS = "s/heard/"

    /** Prefix: the job records, except those that were archived. */
    const val JOB = "job/"

    /** Prefix: the archived records of finished jobs. */
    const val FINAL = "final/"

    /**
     * Prefix: the overflow values of job records that do not fit in one value. It is not under [JOB], because a program
     * that only knows [micatally.upgrade.FormatVersion.FIRST] would read an overflow value there as a record.
     */
    const val JOB_PART = "part/"

    /** The machine types as last read from the cloud. */
    const val MACHINE_TYPES = "flavors"

    /** Prefix: the changes of the stored configuration, by version. */
    const val CONFIG_CHANGE = "config/change/"

    /** Prefix: the snapshots of the stored configuration, by version. */
    const val CONFIG_SNAPSHOT = "config/snapshot/"

    /** Versions are padded with zeros, so that the order of the keys is that of the versions. */
    private const val VERSION_FORMAT = "%012d"

    /** The configuration change that led to [version]. */
    fun configChange(version: Long) = CONFIG_CHANGE + VERSION_FORMAT.format(version)

    /** Prefix of the values of one snapshot. */
    fun configSnapshot(version: Long) = CONFIG_SNAPSHOT + VERSION_FORMAT.format(version) + "/"

    /**
     * Prefix of the values that hold the teams of a configuration change which is too large for one value.
     *
     * @param stage identifies the change; its parts are written before the change itself
     */
    fun configPart(stage: String) = "config/part/$stage/"

    /** The record of the job [jobId]. */
    fun job(jobId: String) = JOB + jobId

    /** The archived record of the finished job [jobId]. */
    fun final(jobId: String) = FINAL + jobId

    /** The announcement that [host] looks for records of finished jobs under [FINAL] too. */
    fun archive(host: String) = ARCHIVE + host

    /** The overflow value number [index] of a job record. */
    fun jobPart(
        jobId: String,
        index: Int,
    ) = "$JOB_PART$jobId/$index"

    /** The overflow value number [index] of a job's list of cancelled tasks. */
    fun cancelledTasksPart(
        jobId: String,
        index: Int,
    ) = "$CANCELLED_TASKS$jobId/$index"

    /** The leader of the shard [name]. */
    fun shard(name: String) = SHARD + name

    /** The live key of [host]; see [LIVE]. */
    fun live(host: String) = LIVE + host

    /** The cancelled tasks of the job [jobId]. */
    fun cancelledTasks(jobId: String) = CANCELLED_TASKS + jobId

    /** The allotments of the team [name]. */
    fun team(name: String) = TEAM + name

    /** The format of stored values that [host] has announced. */
    fun version(host: String) = VERSION + host
}
