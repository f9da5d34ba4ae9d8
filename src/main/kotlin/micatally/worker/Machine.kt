package micatally.worker

import micatally.job.Attempt
import micatally.wire.ListedTask
import micatally.wire.Resources

/**
 * A machine as this controller knows it from heartbeats, from the responses to its own commands and from other controllers. Used from
 * the event loop only. Times are in milliseconds of the controller's clock.
 */
class Machine(
    val name: String,
    addr: String,
    type: String,
    zone: String,
    isSpot: Boolean,
) {
    /** Empty as long as it is not known, like [type] and [zone]. */
    var addr = addr
        private set
    var type = type
        private set
    var zone = zone
        private set

    /** Whether it is a spot instance, which the cloud may reclaim. */
    var isSpot = isSpot
        private set

    /** Fills in what is not known yet; what is known never changes. */
    fun describe(
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

    /** The incarnation and the sequence number of the newest status; 0: none has come. */
    var incarnation = 0L
    var sequence = 0L

    /** The sequence number of the status with which [tasks] last changed. */
    var changedAtSequence = 0L

    /** What the newest status lists. */
    var tasks: List<ListedTask> = emptyList()

    /** When any controller heard from it first, as far as this one knows; 0: not yet. */
    var firstHeardAt = 0L
        private set

    /** When any controller heard from it last. */
    var heardAt = 0L
        set(value) {
            field = value
            if (firstHeardAt == 0L) firstHeardAt = value
        }

    /** When this controller last accepted a heartbeat of it. */
    var heardHereAt = 0L

    private val heardElsewhereAt = HashMap<String, Long>()

    /** The controller on [host] has told that it accepted a heartbeat at this time. */
    fun heardBy(
        host: String,
        atMs: Long,
    ) {
        heardElsewhereAt.merge(host, atMs, ::maxOf)
    }

    /** When the controller on [host] last accepted a heartbeat, as far as it has told; null: never. */
    fun heardByAt(host: String): Long? = heardElsewhereAt[host]

    /** When it was last probed because it was silent. */
    var probedAt = LONG_AGO

    /** How many probes in a row it took without a response. */
    var mute = 0

    /** When it last took a new connection for a probe without a response: a machine without power does not. */
    var connectedAt = LONG_AGO

    /** How many connections to it hung in a row. */
    var dark = 0

    /** When the cloud is going to reclaim it; null: no notice has come. */
    var spotNoticeAt: Long? = null

    val hasSpotNotice get() = spotNoticeAt != null

    /** Whether it is known to be deleted in the cloud. It never comes back under this name. */
    var deleted = false

    /** Whether it is being drained: nothing new is placed on it. */
    var draining = false

    /** This controller's attempts here for whose end there is no evidence yet. */
    val attempts: Set<Attempt> get() = attachedAttempts
    private val attachedAttempts = LinkedHashSet<Attempt>()

    private val reservations = CapacityReservations()

    /** What this controller's attempts and reservations take. */
    var ownUsed = Resources.NONE
        private set

    /** What other controllers have told that they hold here, by host. */
    private val usedByPeers = HashMap<String, Resources>()

    /** What all controllers hold here, kept as a sum: a scheduling cycle looks at it for every machine. */
    var used = Resources.NONE
        private set

    /** Sizes in GB of the images that were seen here, most recent last. */
    val images: Map<String, Double> get() = imageSizes
    private val imageSizes = LinkedHashMap<String, Double>()

    /** Those of them that this controller's own tasks ran with: it reports no others to its peers, or none would ever be forgotten. */
    val ownImages: Set<String> get() = imagesOfOwnTasks
    private val imagesOfOwnTasks = HashSet<String>()

    /** When capacity last became free here. */
    var freedAt = 0L

    /** The host of the controller whose task left then: null for this controller's own, [NOBODY] if the machine was new. */
    var freedBy: String? = NOBODY

    /** Until when nothing is placed here, since a task found no room on it. */
    var fullUntil = 0L

    /** What failed tasks say about it. */
    val health = MachineHealth()

    /** When it was last seen with a task, a reservation or a reason to stay. */
    var busyAt = 0L

    /** The state of this controller's command requests to the machine. */
    val channel = CommandChannel()

    /** Keeps capacity for a replica that is about to move here, until [untilMs] at the latest. */
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

    /** Gives up a reservation, whether it is used or has expired; false if there is none. */
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

    /** The attempt counts as using the machine from now on. */
    fun attach(attempt: Attempt) {
        if (!attachedAttempts.add(attempt)) return
        attempt.job.spec?.let { ownUsed = ownUsed + it.resources }
        updateUsed()
    }

    /** The attempt has ended. */
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

    /** With nothing left the sum is exactly zero, whatever rounding has added up. */
    private fun subtractOwn(resources: Resources) {
        val isUnused = attempts.isEmpty() && reservations.isEmpty
        ownUsed = if (isUnused) Resources.NONE else ownUsed - resources
    }

    /** Sets what the controller on [host] holds here, in place of what it held before. */
    fun others(
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

    /** A task of this controller with the image runs here; otherwise like [sawImage]. */
    fun sawOwnImage(
        image: String,
        gb: Double,
        cacheGb: Double,
    ) {
        sawImage(image, gb, cacheGb)
        imagesOfOwnTasks.add(image)
    }

    /** A task with the image runs here. The least recent images are forgotten as the machine's cache forgets them. */
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
        /** Stands in [freedBy] for a machine that has only just come up. */
        const val NOBODY = ""
        private const val LONG_AGO = Long.MIN_VALUE / 2
    }
}
