package micatally.worker

import micatally.job.Attempt
import micatally.wire.ListedTask
import micatally.wire.Resources

/** A worker as this node knows it, from reports, from answers to its own orders and from other nodes. */
class Machine(
    val name: String,
    addr: String,
    type: String,
    zone: String,
    spot: Boolean,
) {
    var addr = addr
        private set
    var type = type
        private set
    var zone = zone
        private set
    var spot = spot
        private set

    /** What a name alone could not tell. */
    fun describe(
        addr: String,
        type: String,
        zone: String,
        spot: Boolean,
    ) {
        if (this.addr.isEmpty() && addr.isNotEmpty()) this.addr = addr
        if (this.type.isNotEmpty() || type.isEmpty()) return
        this.type = type
        this.zone = zone
        this.spot = spot
    }

    var incarnation = 0L
    var sequence = 0L

    /** The tick with which the tasks last changed. */
    var changedAtSequence = 0L
    var tasks: List<ListedTask> = emptyList()

    /** When any node heard from it first, as far as this one knows; 0: not yet. */
    var firstHeardAt = 0L
        private set

    /** When any node heard from it last. */
    var heardAt = 0L
        set(value) {
            field = value
            if (firstHeardAt == 0L) firstHeardAt = value
        }

    /** When this node answered a report of its last. */
    var heardHereAt = 0L

    /** When each other node answered a report of its last, as far as they have told. */
    private val heardElsewhereAt = HashMap<String, Long>()

    fun heardBy(
        host: String,
        atMs: Long,
    ) {
        heardElsewhereAt.merge(host, atMs, ::maxOf)
    }

    fun heardByAt(host: String): Long? = heardElsewhereAt[host]

    /** When the keeper asked it last because it was silent, how often in a row it took the question and said nothing, and when
     * it last took a connection of its own for that: a machine without power does not. */
    var probedAt = Long.MIN_VALUE / 2
    var mute = 0
    var connectedAt = Long.MIN_VALUE / 2

    /** How many connections to it hung in a row. */
    var dark = 0
    var spotNoticeAt: Long? = null
    var deleted = false
    var draining = false

    /** This node's attempts that are not proven gone, and what they take. */
    val attempts = LinkedHashSet<Attempt>()
    var ownUsed = Resources.NONE
        private set

    /** What other owners said they hold here. */
    private val othersUsed = HashMap<String, Resources>()

    /** What all owners hold here, kept as a sum: a round looks at it for every machine. */
    var used = Resources.NONE
        private set

    /** Images that were seen here, most recent last. */
    val images = LinkedHashMap<String, Double>()

    /** Those of them that this node's own tasks ran with: it tells its peers of no others, or none would ever be forgotten. */
    val ownImages = HashSet<String>()

    /** When room on it last became free, and whose task left it: null for this node's own. */
    var freedAt = 0L
    var freedBy: String? = NOBODY
    var fullUntil = 0L
    val health = MachineHealth()

    /** When it was last seen with a task, a reservation or a reason to stay. */
    var busyAt = 0L

    /** The state of this controller's command requests to the machine. */
    val channel = CommandChannel()

    val hasSpotNotice get() = spotNoticeAt != null

    private class Promise(
        val resources: Resources,
        val until: Long,
    )

    /** Room kept for replicas of this node that are about to move here, by job and task. It counts as used and is told to
     * the peers, or somebody else's task would be in it when the replica comes. */
    private val promises = HashMap<Pair<String, Int>, Promise>()

    fun promise(
        jobId: String,
        taskIndex: Int,
        resources: Resources,
        until: Long,
    ) {
        if (promises.put(jobId to taskIndex, Promise(resources, until)) == null) {
            ownUsed = ownUsed + resources
            sum()
        }
    }

    /** Takes a promise back, whether it is kept or has run out; false if there is none. */
    fun release(
        jobId: String,
        taskIndex: Int,
    ): Boolean {
        val p = promises.remove(jobId to taskIndex) ?: return false
        ownUsed = if (attempts.isEmpty() && promises.isEmpty()) Resources.NONE else ownUsed - p.resources
        sum()
        return true
    }

    fun releaseOld(nowMs: Long) {
        if (promises.isNotEmpty()) {
            for ((id, p) in promises.entries.map { it.key to it.value }) {
                if (p.until <=
                    nowMs
                ) {
                    release(id.first, id.second)
                }
            }
        }
    }

    fun promised(
        jobId: String,
        taskIndex: Int,
    ) = jobId to taskIndex in promises

    val isPromised get() = promises.isNotEmpty()

    private fun sum() {
        used = othersUsed.values.fold(ownUsed) { a, b -> a + b }
    }

    fun attach(a: Attempt) {
        if (attempts.add(a)) {
            a.job.spec?.let { ownUsed = ownUsed + it.resources }
            sum()
        }
    }

    fun detach(
        a: Attempt,
        nowMs: Long,
    ) {
        if (!attempts.remove(a)) return
        freedAt = nowMs
        freedBy = null
        ownUsed =
            if (attempts.isEmpty() &&
                promises.isEmpty()
            ) {
                Resources.NONE
            } else {
                ownUsed - (a.job.spec?.resources ?: Resources.NONE)
            }
        sum()
    }

    /** What another owner holds here; nothing takes its entry away. */
    fun others(
        host: String,
        resources: Resources,
        nowMs: Long,
    ) {
        val old =
            (if (resources == Resources.NONE) othersUsed.remove(host) else othersUsed.put(host, resources))
                ?: Resources.NONE
        if (!old.fitsIn(resources)) {
            freedAt = nowMs
            freedBy = host
        }
        sum()
    }

    fun sawImage(
        image: String,
        gb: Double,
        cacheGb: Double,
    ) {
        images.remove(image)
        images[image] = gb
        while (images.size > 1 &&
            images.values.sum() > cacheGb
        ) {
            images.keys.first().let {
                images.remove(it)
                ownImages.remove(it)
            }
        }
    }

    companion object {
        /** Stands for a machine that has only just come up. */
        const val NOBODY = ""
    }
}
