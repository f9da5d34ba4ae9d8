package micatally.worker

import micatally.job.Attempt
import micatally.wire.ListedTask
import micatally.wire.Resources

/**
 * A machine as this controller knows it from heartbeats, from responses to its own commands and from other controllers.
 * Used from the event loop only. Times are in milliseconds of the controller's clock.
 */
class Machine(
    val name: String,
    addr: String,
    type: String,
    zone: String,
    isSpot: Boolean,
) {
    /** The worker's host and port. Like [type] and [zone], empty until known. */
    var addr = addr
        private set
    var type = type
        private set
    var zone = zone
        private set

    /** Whether the machine is a spot instance, which the cloud may reclaim. */
    var isSpot = isSpot
        private set

    /** Sets the attributes that are not known yet. Known ones never change. */
    fun setUnknownAttributes(
        addr: String,
        type: String,
        zone: String,
        isSpot: Boolean,
    ) {
        if (this.addr.isEmpty() && addr.isNotEmpty()) this.addr = addr
        if (this.type.isNotEmpty() || type.isEmpty()) return
        this.type = type
        this.zone = zone
        this.isSpot = isSpot
    }

    /** The incarnation and sequence number of the newest status; 0 before the first status. */
    var incarnation = 0L
    var sequence = 0L

    /** The sequence number of the status with which [tasks] last changed. */
    var changedAtSequence = 0L

    /** The task list of the newest status. */
    var tasks: List<ListedTask> = emptyList()
        set(value) {
            field = value
            endedTaskCount = value.count { it.isEnded }
        }

    /** The number of ended tasks in [tasks], which are listed until a command clears them. */
    var endedTaskCount = 0
        private set

    /**
     * Whether the list has so many ended tasks that no task is placed on the machine until some are cleared. The list
     * has to stay far below the 64 KiB that one message may have.
     */
    val isListFull get() = endedTaskCount >= MAX_ENDED_TASKS

    /** When any controller first heard from the machine, as far as this one knows; 0 if none has. */
    var firstHeardAt = 0L
        private set

    /** When any controller last heard from the machine, as far as this one knows; 0 if none has. */
    var heardAt = 0L
        set(value) {
            field = value
            if (firstHeardAt == 0L) firstHeardAt = value
        }

    /** When this controller last accepted a heartbeat from the machine. */
    var heardHereAt = 0L

    private val heardElsewhereAt = HashMap<String, Long>()

    /** Records that the controller on [host] has reported a heartbeat of the machine accepted at this time. */
    fun recordHeardBy(
        host: String,
        atMs: Long,
    ) {
        heardElsewhereAt.merge(host, atMs, ::maxOf)
    }

    /**
     * When the controller on [host] last accepted a heartbeat of the machine, as reported by it; null if it reported
     * none.
     */
    fun heardByAt(host: String): Long? = heardElsewhereAt[host]

    /** When the machine was last probed because no heartbeat had come from it. */
    var probedAt = LONG_AGO

    /** The number of probes in a row that the machine received without a response. */
    var unansweredProbesInRow = 0

    /** When the machine last accepted a new connection and gave no response. A machine without power accepts none. */
    var unansweredConnectionAt = LONG_AGO

    /** The number of connection attempts in a row that hung. */
    var hungConnections = 0

    /** When the cloud will reclaim the machine; null if it has given no notice. */
    var spotNoticeAt: Long? = null

    val hasSpotNotice get() = spotNoticeAt != null

    /** Whether the machine is known to be deleted in the cloud. Its name is never used again. */
    var deleted = false

    /** Whether the machine is being drained, so that no new task is placed on it. */
    var draining = false

    /** This controller's attempts on the machine that have not terminated. */
    val attempts: Set<Attempt> get() = attachedAttempts
    private val attachedAttempts = LinkedHashSet<Attempt>()

    private val reservations = CapacityReservations()

    /** The resources of this controller's attempts and reservations on the machine. */
    var ownUsed = Resources.NONE
        private set

    /** The resources that other controllers report as held on the machine, by host. */
    private val usedByPeers = HashMap<String, Resources>()

    /**
     * The resources that all controllers hold on the machine. Kept as a sum, because each scheduling cycle reads it for
     * every machine.
     */
    var used = Resources.NONE
        private set

    /** Sizes in GB of the images that tasks on the machine have used, by image, most recent last. */
    val images: Map<String, Double> get() = imageSizes
    private val imageSizes = LinkedHashMap<String, Double>()

    /**
     * The images that this controller's own tasks have used. Only these are reported to peers: if controllers also
     * passed on what peers reported, no image would ever be forgotten.
     */
    val ownImages: Set<String> get() = imagesOfOwnTasks
    private val imagesOfOwnTasks = HashSet<String>()

    /** When capacity last became free on the machine. */
    var freedAt = 0L

    /**
     * The host of the controller that freed the capacity at [freedAt]; null for this controller, [NOBODY] if the
     * machine's incarnation was new.
     */
    var freedBy: String? = NOBODY

    /** No task is placed on the machine before this time, because it refused a task for lack of capacity. */
    var fullUntil = 0L

    /** Failures and successes of tasks on the machine. */
    val health = MachineHealth()

    /** When the fleet manager last found the machine in use; before that, when this controller first knew of it. */
    var busyAt = 0L

    /** The state of this controller's command requests to the machine. */
    val channel = CommandChannel()

    /**
     * Reserves capacity for the task until [untilMs]; see [CapacityReservations]. A task has one reservation at most.
     */
    fun reserve(
        jobId: String,
        taskIndex: Int,
        resources: Resources,
        untilMs: Long,
    ) {
        val isNew = reservations.add(jobId, taskIndex, resources, untilMs)
        if (!isNew) return
        ownUsed = ownUsed + resources
        updateUsed()
    }

    /** Releases the task's reservation, used or expired. Returns false if there is none. */
    fun releaseReservation(
        jobId: String,
        taskIndex: Int,
    ): Boolean {
        val resources = reservations.remove(jobId, taskIndex) ?: return false
        subtractOwn(resources)
        updateUsed()
        return true
    }

    fun releaseExpiredReservations(nowMs: Long) =
        reservations.forEachExpired(nowMs) { jobId, taskIndex -> releaseReservation(jobId, taskIndex) }

    fun hasReservation(
        jobId: String,
        taskIndex: Int,
    ) = reservations.contains(jobId, taskIndex)

    val hasReservations get() = !reservations.isEmpty

    /** Adds the attempt to [attempts] and its resources to those in use. */
    fun attach(attempt: Attempt) {
        if (!attachedAttempts.add(attempt)) return
        attempt.job.spec?.let { ownUsed = ownUsed + it.resources }
        updateUsed()
    }

    /** Removes an attempt that has ended, and its resources from those in use. */
    fun detach(
        attempt: Attempt,
        nowMs: Long,
    ) {
        if (!attachedAttempts.remove(attempt)) return
        freedAt = nowMs
        freedBy = null
        subtractOwn(attempt.job.spec?.resources ?: Resources.NONE)
        updateUsed()
    }

    /** Sets the sum to exactly zero when nothing is left, because rounding errors add up. */
    private fun subtractOwn(resources: Resources) {
        val isUnused = attempts.isEmpty() && reservations.isEmpty
        ownUsed = if (isUnused) Resources.NONE else ownUsed - resources
    }

    /** Sets the resources that the controller on [host] holds on the machine, replacing those reported before. */
    fun setHeldByPeer(
        host: String,
        resources: Resources,
        nowMs: Long,
    ) {
        val isNothing = resources == Resources.NONE
        val before = if (isNothing) usedByPeers.remove(host) else usedByPeers.put(host, resources)
        val isReleased = !(before ?: Resources.NONE).fitsIn(resources)
        if (isReleased) {
            freedAt = nowMs
            freedBy = host
        }
        updateUsed()
    }

    private fun updateUsed() {
        used = usedByPeers.values.fold(ownUsed) { sum, resources -> sum + resources }
    }

    /** Like [sawImage], for an image that a task of this controller uses. */
    fun sawOwnImage(
        image: String,
        gb: Double,
        cacheGb: Double,
    ) {
        sawImage(image, gb, cacheGb)
        imagesOfOwnTasks.add(image)
    }

    /**
     * Records that a task with the image runs on the machine. The least recently used images are dropped when all
     * together exceed [cacheGb], as in the machine's image cache.
     */
    fun sawImage(
        image: String,
        gb: Double,
        cacheGb: Double,
    ) {
        imageSizes.remove(image)
        imageSizes[image] = gb
        while (imageSizes.size > 1 && imageSizes.values.sum() > cacheGb) {
            val leastRecent = imageSizes.keys.first()
            imageSizes.remove(leastRecent)
            imagesOfOwnTasks.remove(leastRecent)
        }
    }

    /** Special values of its fields. */
    companion object {
        /** The value of [freedBy] for a machine that has just started. */
        const val NOBODY = ""

        /** Ended tasks in the list of a machine from which on no task is placed there; each takes up to 100 bytes. */
        const val MAX_ENDED_TASKS = 200

        /** Initial value of times that have not been set, so far in the past that any interval has passed since. */
        private const val LONG_AGO = Long.MIN_VALUE / 2
    }
}
