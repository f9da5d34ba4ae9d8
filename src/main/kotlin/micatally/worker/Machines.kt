package micatally.worker

import micatally.wire.Flavor
import micatally.wire.ListedTask
import micatally.wire.MachineNote
import micatally.wire.NoteTask
import micatally.wire.Report

/** All machines that this node knows of, by name. Knowledge is only as new as the newest (session, tick). */
class Machines(
    private val nowMs: () -> Long,
) {
    val byName = HashMap<String, Machine>()
    var flavors: Map<String, Flavor> = emptyMap()

    /** Names of machines that a delete is known to have ended: late reports must not bring them back. */
    val deletedNames = HashSet<String>()

    /** When a worker's own words reached this node last, by zone: other nodes may hear a zone that this one is cut off from. */
    private val reachedAt = HashMap<String, Long>()

    /** The same for all zones together; from the start on, so that a new process doubts nothing at once. */
    var lastReachedAt = nowMs()
        private set

    fun reachedAt(zone: String) = reachedAt[zone] ?: (Long.MIN_VALUE / 2)

    /** Its tasks have changed and this node has missed it. */
    var onBehind: (Machine) -> Unit = {}
    var onNew: (Machine) -> Unit = {}
    var onSession: (Machine) -> Unit = {}
    var onTasks: (Machine, Boolean) -> Unit = { _, _ -> }

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
    fun absorb(
        r: Report,
        ownAnswer: Boolean,
    ): Boolean {
        val m = known(r.machine, r.addr, r.type, r.zone, r.spot)
        // Copies of old reports come late and show nothing.
        return absorb(m, r.session, r.tick, r.noticeS, r.tasks, ownAnswer, 0).also { if (it) reached(m) }
    }

    private fun reached(m: Machine) {
        lastReachedAt = nowMs()
        reachedAt[m.zone] = lastReachedAt
    }

    fun absorb(n: MachineNote): Boolean {
        val m = known(n.machine, n.addr, n.type, n.zone, n.spot)
        val tasks =
            n.tasks.map {
                ListedTask(
                    it.ref,
                    it.taskIndex,
                    it.attempt,
                    it.status,
                    it.why.ifEmpty { null },
                    it.saved,
                )
            }
        return absorb(m, n.session, n.tick, if (n.noticeS < 0) null else n.noticeS, tasks, false, n.ageMs)
    }

    private fun absorb(
        m: Machine,
        session: Long,
        tick: Long,
        noticeS: Double?,
        tasks: List<ListedTask>,
        own: Boolean,
        ageMs: Long,
    ): Boolean {
        if (session < m.session || (session == m.session && tick <= m.tick)) return false
        val newSession = session > m.session
        m.session = session
        m.tick = tick
        val changed = newSession || tasks != m.tasks
        if (changed) {
            m.tasks = tasks
            m.changedTick = tick
        }
        // Copies of reports come late; only one that is newer than all before shows life, and the age is its sender's.
        m.heardAt = maxOf(m.heardAt, nowMs() - ageMs)
        m.noticeAt = if (noticeS == null) null else nowMs() + (noticeS * 1000).toLong()
        if (newSession) {
            m.unansweredRuns.clear()
            m.freedAt = nowMs()
            m.freedBy = Machine.NOBODY
            onSession(m)
        }
        // Most reports say what the one before said.
        if (changed || own) onTasks(m, own)
        return true
    }

    /** Another node hears this machine, without its task list being known here; it may say that there is a newer one. */
    fun heard(n: MachineNote) {
        val m = known(n.machine, n.addr, n.type, n.zone, n.spot)
        m.heardAt = maxOf(m.heardAt, nowMs() - n.ageMs)
        if (n.session > m.session || n.session == m.session && n.changedTick > m.tick) onBehind(m)
    }

    fun note(
        m: Machine,
        withTasks: Boolean,
    ) = MachineNote(
        m.name,
        m.addr,
        m.type,
        m.zone,
        m.spot,
        m.session,
        m.tick,
        m.noticeAt?.let { maxOf(0L, it - nowMs()) / 1000.0 } ?: -1.0,
        if (withTasks) {
            m.tasks.map {
                NoteTask(it.ref, it.taskIndex, it.attempt, it.status, it.why ?: "", it.saved)
            }
        } else {
            emptyList()
        },
        maxOf(0L, nowMs() - m.heardAt),
        m.changedTick,
    )

    /** How long a machine type takes to boot, the longest if no type is named: how far ahead the fleet has to look, and how
     * long it may dwell. */
    fun bootMs(type: String?): Long =
        ((flavors[type]?.readyS ?: flavors.values.maxOfOrNull { it.readyS } ?: 0.0) * 1000).toLong().coerceAtLeast(
            MIN_BOOT_MS,
        )

    fun total(m: Machine) = flavors[m.type]?.amount

    private companion object {
        const val MIN_BOOT_MS = 5000L
    }
}
