package micatally.worker

import micatally.job.Attempt
import micatally.wire.Amount
import micatally.wire.ListedTask

/** One attempt's name on a machine. */
data class AttemptId(val ref: String, val lap: Int, val attempt: Long)

/** A worker as this node knows it, from reports, from answers to its own orders and from other nodes. */
class Machine(val name: String, addr: String, type: String, zone: String, spot: Boolean) {
    var addr = addr
        private set
    var type = type
        private set
    var zone = zone
        private set
    var spot = spot
        private set

    /** What a name alone could not tell. */
    fun describe(addr: String, type: String, zone: String, spot: Boolean) {
        if (this.addr.isEmpty() && addr.isNotEmpty()) this.addr = addr
        if (this.type.isNotEmpty() || type.isEmpty()) return
        this.type = type
        this.zone = zone
        this.spot = spot
    }

    var session = 0L
    var tick = 0L
    var tasks: List<ListedTask> = emptyList()
    /** When any node heard from it last, and when this node got an answer from it last. */
    var heardAt = 0L
    var answeredAt = 0L
    /** When this node answered a report of its last. */
    var heardHereAt = 0L
    var noticeAt: Long? = null
    var deleted = false
    var draining = false

    /** This node's attempts that are not proven gone, and what they take. */
    val attempts = LinkedHashSet<Attempt>()
    var ownUsed = Amount.NONE
    /** What other owners said they hold here. */
    val othersUsed = HashMap<String, Amount>()
    /** Images that were seen here, most recent last. */
    val images = LinkedHashMap<String, Double>()
    var fullUntil = 0L
    var sickUntil = 0L
    var sickTimes = 0
    /** When it was last seen with a task, a reservation or a reason to stay. */
    var busyAt = 0L
    val errorRefs = HashSet<String>()
    var successes = 0

    // The order channel.
    var flushing = false
    var poked = false
    var failuresInRow = 0
    var unreachableUntil = 0L
    /** The highest token with which it answered one of our orders. */
    var confirmedToken = 0L
    /** Runs whose answer never came, with the token that they carried. */
    val loose = HashMap<AttemptId, Long>()
    var mustAsk = false

    val recalled get() = noticeAt != null
    fun used(): Amount = othersUsed.values.fold(ownUsed) { a, b -> a + b }

    fun sawImage(image: String, gb: Double, cacheGb: Double) {
        images.remove(image)
        images[image] = gb
        while (images.size > 1 && images.values.sum() > cacheGb) images.remove(images.keys.first())
    }
}
