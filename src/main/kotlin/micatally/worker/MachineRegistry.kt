package micatally.worker

import micatally.wire.Heartbeat
import micatally.wire.ListedTask
import micatally.wire.MachineStatus
import micatally.wire.MachineType
import micatally.wire.TaskStatus

/** All machines that this node knows of, by name. Knowledge is only as new as the newest (session, tick). */
class MachineRegistry(
    private val nowMs: () -> Long,
) {
    val byName = HashMap<String, Machine>()
    var machineTypes: Map<String, MachineType> = emptyMap()

    /** Names of machines that a delete is known to have ended: late reports must not bring them back. */
    val deletedNames = HashSet<String>()

    /** When a worker's own words reached this node last, by zone: other nodes may hear a zone that this one is cut off from. */
    private val reachedAt = HashMap<String, Long>()

    /** The same for all zones together; from the start on, so that a new process doubts nothing at once. */
    var lastReachedAt = nowMs()
        private set

    fun reachedAt(zone: String) = reachedAt[zone] ?: (Long.MIN_VALUE / 2)

    /** Its tasks have changed and this node has missed it. */
    var onMissedChange: (Machine) -> Unit = {}
    var onNew: (Machine) -> Unit = {}
    var onNewIncarnation: (Machine) -> Unit = {}
    var onTasksReported: (Machine, Boolean) -> Unit = { _, _ -> }

    fun of(name: String) = byName[name]

    fun known(
        name: String,
        addr: String,
        type: String,
        zone: String,
        spot: Boolean,
    ): Machine =
        byName
            .getOrPut(name) {
                Machine(name, addr, type, zone, spot).also {
                    it.deleted = name in deletedNames
                    it.busyAt =
                        nowMs()
                    onNew(it)
                }
            }.also { it.describe(addr, type, zone, spot) }

    /** A report from the worker itself; [ownAnswer] when it is the answer to an order of ours. True if it was news. */
    fun apply(
        r: Heartbeat,
        ownAnswer: Boolean,
    ): Boolean {
        val m = known(r.machine, r.addr, r.type, r.zone, r.spot)
        // Copies of old reports come late and show nothing.
        return apply(m, r.incarnation, r.sequence, r.spotNoticeS, r.tasks, ownAnswer, 0).also { if (it) reached(m) }
    }

    private fun reached(m: Machine) {
        lastReachedAt = nowMs()
        reachedAt[m.zone] = lastReachedAt
    }

    fun apply(n: MachineStatus): Boolean {
        val m = known(n.machine, n.addr, n.type, n.zone, n.spot)
        val tasks =
            n.tasks.map {
                ListedTask(
                    it.jobId,
                    it.taskIndex,
                    it.attempt,
                    it.status,
                    it.why.ifEmpty { null },
                    it.saved,
                )
            }
        return apply(
            m,
            n.incarnation,
            n.sequence,
            if (n.spotNoticeS <
                0
            ) {
                null
            } else {
                n.spotNoticeS
            },
            tasks,
            false,
            n.ageMs,
        )
    }

    private fun apply(
        m: Machine,
        incarnation: Long,
        sequence: Long,
        spotNoticeS: Double?,
        tasks: List<ListedTask>,
        own: Boolean,
        ageMs: Long,
    ): Boolean {
        if (incarnation < m.incarnation || (incarnation == m.incarnation && sequence <= m.sequence)) return false
        val newIncarnation = incarnation > m.incarnation
        m.incarnation = incarnation
        m.sequence = sequence
        val changed = newIncarnation || tasks != m.tasks
        if (changed) {
            m.tasks = tasks
            m.changedAtSequence = sequence
        }
        // Copies of reports come late; only one that is newer than all before shows life, and the age is its sender's.
        m.heardAt = maxOf(m.heardAt, nowMs() - ageMs)
        m.spotNoticeAt = if (spotNoticeS == null) null else nowMs() + (spotNoticeS * 1000).toLong()
        if (newIncarnation) {
            m.channel.forgetUnansweredRuns()
            m.freedAt = nowMs()
            m.freedBy = Machine.NOBODY
            onNewIncarnation(m)
        }
        // Most reports say what the one before said.
        if (changed || own) onTasksReported(m, own)
        return true
    }

    /** Another node hears this machine, without its task list being known here; it may say that there is a newer one. */
    fun heard(n: MachineStatus) {
        val m = known(n.machine, n.addr, n.type, n.zone, n.spot)
        m.heardAt = maxOf(m.heardAt, nowMs() - n.ageMs)
        if (n.incarnation > m.incarnation || n.incarnation == m.incarnation && n.changedAtSequence > m.sequence) {
            onMissedChange(m)
        }
    }

    fun note(
        m: Machine,
        withTasks: Boolean,
    ) = MachineStatus(
        m.name,
        m.addr,
        m.type,
        m.zone,
        m.spot,
        m.incarnation,
        m.sequence,
        m.spotNoticeAt?.let { maxOf(0L, it - nowMs()) / 1000.0 } ?: -1.0,
        if (withTasks) {
            m.tasks.map {
                TaskStatus(it.jobId, it.taskIndex, it.attempt, it.status, it.why ?: "", it.saved)
            }
        } else {
            emptyList()
        },
        maxOf(0L, nowMs() - m.heardAt),
        m.changedAtSequence,
    )

    /** How long a machine type takes to boot, the longest if no type is named: how far ahead the fleet has to look, and how
     * long it may dwell. */
    fun bootMs(type: String?): Long =
        ((machineTypes[type]?.readyS ?: machineTypes.values.maxOfOrNull { it.readyS } ?: 0.0) * 1000)
            .toLong()
            .coerceAtLeast(
                MIN_BOOT_MS,
            )

    fun total(m: Machine) = machineTypes[m.type]?.resources

    private companion object {
        const val MIN_BOOT_MS = 5000L
    }
}
