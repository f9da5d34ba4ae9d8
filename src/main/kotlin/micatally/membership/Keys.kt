package micatally.membership

/** The keys that every node keeps a copy of. All that decides lies under one prefix, so one watch shows it at one revision. */
object Keys {
    const val PREFIX = "c/"
    const val FENCING_TOKEN = "c/epoch"
    const val FLEET = "c/fleet"

    /** The version of the stored forms that may be written, and the version that each host has come up with. */
    const val FORMAT = "c/format"
    const val VERSION = "c/version/"
    const val SHARD = "c/ledger/"
    const val LIVE = "c/live/"
    const val TEAM = "c/team/"

    /** Summaries lie under a prefix of their own: they are by far the larger part, and a node that has only just started
     * can answer workers without them. */
    const val SUMMARIES = "s/"
    const val CAPACITY = "s/room/"
    const val DELETED_MACHINE = "c/gone/"
    const val HEARTBEATS = "s/heard/"
    const val PROVISIONING = "c/rent/"
    const val CANCELLED_TASKS = "c/kill/"
    const val DRAIN = "c/drain/"
    const val JOB = "job/"

    /** Records of jobs that are over, and which hosts look for them there. */
    const val FINAL = "final/"
    const val ARCHIVE = "c/archive/"
    const val MACHINE_TYPES = "flavors"

    /** What does not fit in the value of a job's record. Not under [JOB], or the previous program would read it as a record. */
    const val JOB_PART = "part/"

    /** The head of the stored configuration, which all watch; the rest lies apart, read when the head has changed. */
    const val CONFIG = "c/config"
    const val CONFIG_CHANGE = "config/change/"
    const val CONFIG_SNAPSHOT = "config/snapshot/"

    fun configChange(version: Long) = CONFIG_CHANGE + "%012d".format(version)

    /** Prefix of the values of one snapshot. */
    fun configSnapshot(version: Long) = CONFIG_SNAPSHOT + "%012d/".format(version)

    /** Prefix of the values that hold the teams of a large change. */
    fun configPart(stage: String) = "config/part/$stage/"

    fun job(jobId: String) = JOB + jobId

    fun final(jobId: String) = FINAL + jobId

    fun archive(host: String) = ARCHIVE + host

    fun jobPart(
        jobId: String,
        index: Int,
    ) = "$JOB_PART$jobId/$index"

    fun cancelledTasksPart(
        jobId: String,
        index: Int,
    ) = "$CANCELLED_TASKS$jobId/$index"

    fun shard(name: String) = SHARD + name

    fun live(host: String) = LIVE + host

    fun cancelledTasks(jobId: String) = CANCELLED_TASKS + jobId

    fun team(name: String) = TEAM + name

    fun version(host: String) = VERSION + host
}
