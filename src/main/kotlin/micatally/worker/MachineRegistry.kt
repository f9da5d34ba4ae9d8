package micatally.worker

import micatally.wire.Heartbeat
import micatally.wire.ListedTask
import micatally.wire.MachineStatus
import micatally.wire.MachineType
import micatally.wire.TaskStatus

/**
 * All machines that this controller knows of, by name.
 *
 * A status of a machine is applied only if it is newer, by incarnation and then sequence number, than every status
 * applied before. Changes are reported to [listener]. Used from the event loop only.
 */
class MachineRegistry(
    private val listener: MachineListener,
    private val nowMs: () -> Long,
) {
    private val machines = HashMap<String, Machine>()

    /** All known machines, including deleted ones until they are forgotten. */
    val byName: Map<String, Machine> get() = machines

    /** The cloud's machine types by name; empty until they have been read. */
    var machineTypes: Map<String, MachineType> = emptyMap()

    private val namesOfDeleted = HashSet<String>()

    /** Names of all machines that are known to be deleted in the cloud, including those that have been forgotten. */
    val deletedNames: Set<String> get() = namesOfDeleted

    /**
     * When this controller last received a message from a worker itself, by zone. Statuses forwarded by other
     * controllers do not count, because these may receive heartbeats from a zone that this controller can't reach.
     */
    private val reachedAt = HashMap<String, Long>()

    /**
     * When this controller last received a message from a worker of any zone. Initially the start of the process, so
     * that a new process does not consider itself cut off from the workers at once.
     */
    var lastReachedAt = nowMs()
        private set

    /**
     * When this controller last received a message from a worker of the zone; a time long past if it has received none.
     */
    fun reachedAt(zone: String) = reachedAt[zone] ?: LONG_AGO

    /** The machine of this name; null if it is not known. */
    fun of(name: String): Machine? = machines[name]

    /**
     * Records that the machine of this name is deleted, so that a late heartbeat does not add it as an existing
     * machine.
     */
    fun addDeletedName(name: String) {
        namesOfDeleted.add(name)
    }

    /** Removes the deleted machines for which the condition holds. Their names stay in [deletedNames]. */
    fun forgetDeleted(condition: (Machine) -> Boolean) {
        machines.values.removeIf { it.deleted && condition(it) }
    }

    /** Returns the machine of this name, adding it if needed. Sets those of its attributes that were unknown. */
    fun findOrAdd(
        name: String,
        addr: String,
        type: String,
        zone: String,
        isSpot: Boolean,
    ): Machine {
        val machine = machines.getOrPut(name) { add(Machine(name, addr, type, zone, isSpot)) }
        machine.setUnknownAttributes(addr, type, zone, isSpot)
        return machine
    }

    private fun add(machine: Machine): Machine {
        machine.deleted = machine.name in namesOfDeleted
        machine.busyAt = nowMs()
        listener.machineAdded(machine)
        return machine
    }

    /**
     * Applies a status that the machine itself has sent.
     *
     * @return whether it was newer than every status before. An older one, such as a late copy of a heartbeat, has no
     *   effect on the machine's status, nor on the time at which it was last heard from.
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
     * @return whether it was newer than every status before
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

    /**
     * The contents of a status, from the machine itself or forwarded.
     *
     * @property ageMs how long ago the sender received it from the machine, in milliseconds
     */
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
        // Before the first status the list is unknown, not empty, also if the incarnation is known from a job's record.
        val isFirst = machine.sequence == 0L
        val hasChanged = isNewIncarnation || isFirst || update.tasks != machine.tasks
        machine.incarnation = update.incarnation
        machine.sequence = update.sequence
        if (hasChanged) {
            machine.tasks = update.tasks
            machine.changedAtSequence = update.sequence
        }
        // A forwarded status proves only that the machine was up when the other controller received it.
        machine.heardAt = maxOf(machine.heardAt, nowMs() - update.ageMs)
        machine.spotNoticeAt = update.spotNoticeS?.let { nowMs() + (it * MS_PER_S).toLong() }
        if (isNewIncarnation) beginIncarnation(machine)
        // Most heartbeats repeat the task list of the one before, so they are not reported.
        if (hasChanged || source == StatusSource.COMMAND_RESPONSE) listener.tasksReported(machine, source)
        return true
    }

    private fun beginIncarnation(machine: Machine) {
        machine.channel.forgetRuns()
        machine.freedAt = nowMs()
        machine.freedBy = Machine.NOBODY
        listener.incarnationChanged(machine)
    }

    /**
     * Applies another controller's acknowledgement of the machine's heartbeat. It contains no task list, but it may
     * show that this controller has missed a newer one, for example because it was started after the other controller
     * had forwarded it.
     *
     * @return whether this controller has missed a newer task list or incarnation
     */
    fun applyAcknowledgement(status: MachineStatus): Boolean {
        val machine = findOrAdd(status.machine, status.addr, status.type, status.zone, status.isSpot)
        machine.heardAt = maxOf(machine.heardAt, nowMs() - status.ageMs)
        val isMissed =
            status.incarnation > machine.incarnation ||
                status.incarnation == machine.incarnation && status.changedAtSequence > machine.sequence
        if (isMissed) listener.statusMissed(machine)
        return isMissed
    }

    /** The machine's status with its task list, for forwarding to other controllers. */
    fun statusOf(machine: Machine) = status(machine, machine.tasks.map { taskStatus(it) })

    /** The machine's status without its task list. It tells other controllers when the machine was last heard from. */
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
     * How long a machine of the type takes to boot, in milliseconds; for null or an unknown type, the time of the
     * slowest type. Scale-out has to plan at least this far ahead, and the time limits of scaling decisions derive from
     * it.
     */
    fun bootMs(type: String?): Long {
        val slowestS = machineTypes.values.maxOfOrNull { it.readyS } ?: 0.0
        val readyS = machineTypes[type]?.readyS ?: slowestS
        return (readyS * MS_PER_S).toLong().coerceAtLeast(MIN_BOOT_MS)
    }

    /** The machine's total capacity; null if its type is not known. */
    fun total(machine: Machine) = machineTypes[machine.type]?.resources

    private companion object {
        const val MIN_BOOT_MS = 5000L
        const val MS_PER_S = 1000.0

        /** The time of the last message from a zone that has sent none. */
        const val LONG_AGO = Long.MIN_VALUE / 2

        /** In messages between controllers, the value for a machine that has no spot notice. */
        const val NO_SPOT_NOTICE = -1.0
    }
}
