package micatally.worker

import micatally.wire.Heartbeat
import micatally.wire.ListedTask
import micatally.wire.MachineStatus
import micatally.wire.MachineType
import micatally.wire.TaskStatus

/**
 * All machines that this controller knows of, by name. A status is applied only if its incarnation and sequence number are newer than
 * those of every status before; what changes goes on to [listener]. Used from the event loop only.
 */
class MachineRegistry(
    private val listener: MachineListener,
    private val nowMs: () -> Long,
) {
    private val machines = HashMap<String, Machine>()

    /** All machines that are known, also those that are deleted but not forgotten yet. */
    val byName: Map<String, Machine> get() = machines

    /** By name; empty as long as they have not been read. */
    var machineTypes: Map<String, MachineType> = emptyMap()

    private val namesOfDeleted = HashSet<String>()

    /** Names of machines that are known to be deleted in the cloud, also of those that are forgotten. */
    val deletedNames: Set<String> get() = namesOfDeleted

    /**
     * When a message of a worker itself reached this controller last, by zone. Not what other controllers forward: they may hear a zone
     * from which this one is cut off.
     */
    private val reachedAt = HashMap<String, Long>()

    /** The same for all zones together. Begins with the start of the process, so that a new one has no doubts at once. */
    var lastReachedAt = nowMs()
        private set

    /** When a message of a worker of the zone reached this controller last; long ago if none ever did. */
    fun reachedAt(zone: String) = reachedAt[zone] ?: LONG_AGO

    /** Null if no machine of this name is known. */
    fun of(name: String): Machine? = machines[name]

    /** The machine of this name is deleted in the cloud. From now on a late heartbeat can't bring it back. */
    fun addDeletedName(name: String) {
        namesOfDeleted.add(name)
    }

    /** Forgets the deleted machines for which the condition holds. Their names stay in [deletedNames]. */
    fun forgetDeleted(condition: (Machine) -> Boolean) {
        machines.values.removeIf { it.deleted && condition(it) }
    }

    /** Returns the machine of this name, which is added if it is not known. What is not known of it yet is filled in. */
    fun findOrAdd(
        name: String,
        addr: String,
        type: String,
        zone: String,
        isSpot: Boolean,
    ): Machine {
        val machine = machines.getOrPut(name) { add(Machine(name, addr, type, zone, isSpot)) }
        machine.describe(addr, type, zone, isSpot)
        return machine
    }

    private fun add(machine: Machine): Machine {
        machine.deleted = machine.name in namesOfDeleted
        machine.busyAt = nowMs()
        listener.machineAdded(machine)
        return machine
    }

    /**
     * Applies a message of the machine itself.
     *
     * @return whether it was newer than all before; copies of old heartbeats arrive late and show nothing
     */
    fun apply(
        heartbeat: Heartbeat,
        source: StatusSource,
    ): Boolean {
        val machine =
            findOrAdd(heartbeat.machine, heartbeat.addr, heartbeat.type, heartbeat.zone, heartbeat.isSpot)
        val update =
            StatusUpdate(heartbeat.incarnation, heartbeat.sequence, heartbeat.spotNoticeS, heartbeat.tasks, ageMs = 0)
        val isNewer = apply(machine, update, source)
        if (isNewer) recordReached(machine)
        return isNewer
    }

    private fun recordReached(machine: Machine) {
        lastReachedAt = nowMs()
        reachedAt[machine.zone] = lastReachedAt
    }

    /**
     * Applies a status that another controller has forwarded.
     *
     * @return whether it was newer than all before
     */
    fun applyForwarded(status: MachineStatus): Boolean {
        val machine = findOrAdd(status.machine, status.addr, status.type, status.zone, status.isSpot)
        val spotNoticeS = status.spotNoticeS.takeUnless { it < 0 }
        val update =
            StatusUpdate(status.incarnation, status.sequence, spotNoticeS, listedTasks(status), status.ageMs)
        return apply(machine, update, StatusSource.PEER)
    }

    private fun listedTasks(status: MachineStatus) =
        status.tasks.map {
            ListedTask(it.jobId, it.taskIndex, it.attempt, it.status, it.exitReason.ifEmpty { null }, it.isSaved)
        }

    /** What a status says, whoever sent it. [ageMs] is how long ago the sender received it from the machine. */
    private class StatusUpdate(
        val incarnation: Long,
        val sequence: Long,
        val spotNoticeS: Double?,
        val tasks: List<ListedTask>,
        val ageMs: Long,
    ) {
        fun isNewerThan(machine: Machine): Boolean {
            if (incarnation != machine.incarnation) return incarnation > machine.incarnation
            return sequence > machine.sequence
        }
    }

    private fun apply(
        machine: Machine,
        update: StatusUpdate,
        source: StatusSource,
    ): Boolean {
        if (!update.isNewerThan(machine)) return false
        val isNewIncarnation = update.incarnation > machine.incarnation
        val hasChanged = isNewIncarnation || update.tasks != machine.tasks
        machine.incarnation = update.incarnation
        machine.sequence = update.sequence
        if (hasChanged) {
            machine.tasks = update.tasks
            machine.changedAtSequence = update.sequence
        }
        // A forwarded status shows life as of the time at which its sender received it.
        machine.heardAt = maxOf(machine.heardAt, nowMs() - update.ageMs)
        machine.spotNoticeAt = update.spotNoticeS?.let { nowMs() + (it * MS_PER_S).toLong() }
        if (isNewIncarnation) beginIncarnation(machine)
        // Most heartbeats repeat the one before.
        if (hasChanged || source == StatusSource.COMMAND_RESPONSE) listener.tasksReported(machine, source)
        return true
    }

    private fun beginIncarnation(machine: Machine) {
        machine.channel.forgetUnansweredRuns()
        machine.freedAt = nowMs()
        machine.freedBy = Machine.NOBODY
        listener.incarnationChanged(machine)
    }

    /** Another controller hears the machine. Its task list doesn't come with it, but it may show that there is a newer one. */
    fun applyAcknowledgement(status: MachineStatus) {
        val machine = findOrAdd(status.machine, status.addr, status.type, status.zone, status.isSpot)
        machine.heardAt = maxOf(machine.heardAt, nowMs() - status.ageMs)
        val isMissed =
            status.incarnation > machine.incarnation ||
                status.incarnation == machine.incarnation && status.changedAtSequence > machine.sequence
        if (isMissed) listener.statusMissed(machine)
    }

    /** The machine's status with its task list, to be forwarded to other controllers. */
    fun statusOf(machine: Machine) = status(machine, machine.tasks.map { taskStatus(it) })

    /** The machine's status without its task list: that this controller hears it, and when its tasks last changed. */
    fun acknowledgementOf(machine: Machine) = status(machine, emptyList())

    private fun taskStatus(task: ListedTask) =
        TaskStatus(task.jobId, task.taskIndex, task.attempt, task.status, task.exitReasonText ?: "", task.isSaved)

    private fun status(
        machine: Machine,
        tasks: List<TaskStatus>,
    ) = MachineStatus(
        machine.name,
        machine.addr,
        machine.type,
        machine.zone,
        machine.isSpot,
        machine.incarnation,
        machine.sequence,
        machine.spotNoticeAt?.let { maxOf(0L, it - nowMs()) / MS_PER_S } ?: NO_SPOT_NOTICE,
        tasks,
        maxOf(0L, nowMs() - machine.heardAt),
        machine.changedAtSequence,
    )

    /**
     * How long a machine of the type takes to boot, or of the slowest type if none or an unknown one is named. This is how far ahead
     * scaling has to look, and how long it may hesitate.
     */
    fun bootMs(type: String?): Long {
        val slowestS = machineTypes.values.maxOfOrNull { it.readyS } ?: 0.0
        val readyS = machineTypes[type]?.readyS ?: slowestS
        return (readyS * MS_PER_S).toLong().coerceAtLeast(MIN_BOOT_MS)
    }

    /** The machine's whole capacity; null as long as its type is not known. */
    fun total(machine: Machine) = machineTypes[machine.type]?.resources

    private companion object {
        const val MIN_BOOT_MS = 5000L
        const val MS_PER_S = 1000.0
        const val LONG_AGO = Long.MIN_VALUE / 2

        /** Stands in messages between controllers for a machine that is not about to be reclaimed. */
        const val NO_SPOT_NOTICE = -1.0
    }
}
