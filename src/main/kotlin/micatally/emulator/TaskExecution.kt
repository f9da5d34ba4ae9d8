package micatally.emulator

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.wire.ExitReason
import micatally.wire.JobSpec
import micatally.wire.Resources
import micatally.worker.AttemptId

private const val MILLIS_PER_SECOND = 1000

/** How often code on a hung machine checks whether the machine is still hung. */
internal const val HANG_POLL_MS = 50L

/** How long a task runs before it fails because of its machine or its job. */
private const val FAILS_AFTER_MS = 500L

/**
 * Runs the tasks on one emulated machine: fetches their images, runs them, saves their checkpoints and ends them.
 *
 * @property fetchGbPerS how fast the machine fetches images, in GB/s
 * @property onChange called on each change that the next heartbeat has to report
 */
internal class TaskExecution(
    private val scope: CoroutineScope,
    private val world: WorkerWorld,
    private val machine: WorkerEmulator,
    private val total: Resources,
    private val fetchGbPerS: Double,
    private val onChange: () -> Unit,
) {
    private val tasksById = LinkedHashMap<AttemptId, EmulatedTask>()
    private val images = HashSet<String>()

    /** All tasks in the order of their start commands, including those that have ended and are not cleared yet. */
    val tasks: Collection<EmulatedTask> get() = tasksById.values

    /** The resources of the machine that no task holds. A task holds its resources until it ends. */
    val free get() = freeBeside(tasks.filter { !it.hasEnded })

    private fun freeBeside(others: List<EmulatedTask>) = others.fold(total) { free, other -> free - other.resources }

    /** Removes all tasks without an exit reason, as when the machine or its lease is lost. */
    fun dropAll() {
        for (task in tasks.toList()) drop(task)
        tasksById.clear()
    }

    private fun drop(task: EmulatedTask) {
        task.job?.cancel()
        if (task.isOnMachine) world.left(machine, task.jobId, task.taskIndex, false)
        leaveGang(task)
    }

    /** Starts an attempt, or ends it at once if the machine can't run it. Does nothing if it is listed already. */
    fun run(id: AttemptId) {
        if (id in tasksById) return
        val spec = world.spec(id.jobId)
        val task = EmulatedTask(id.jobId, id.taskIndex, id.attempt, spec?.resources ?: Resources.NONE)
        tasksById[id] = task
        onChange()
        val others = tasks.filter { it !== task && !it.hasEnded }
        when {
            spec == null || task.taskIndex !in 0 until spec.taskCount -> end(task, "unknown")
            others.any { it.jobId == task.jobId && it.taskIndex == task.taskIndex } -> end(task, "in_use")
            !task.resources.fitsIn(freeBeside(others)) -> end(task, "full")
            else -> task.job = scope.launch { execute(task, spec) }
        }
    }

    private suspend fun execute(
        task: EmulatedTask,
        spec: JobSpec,
    ) {
        fetchImage(spec)
        awaitNotHung()
        task.status = EmulatedTask.RUNNING
        onChange()
        world.started(machine, task.jobId, task.taskIndex)
        if (spec.isGang && !machine.sick && !world.completed(task.jobId, task.taskIndex)) {
            joinGang(task, spec)
            return
        }
        if (machine.sick || world.isBroken(task.jobId)) {
            delay(FAILS_AFTER_MS)
            end(task, "error")
            return
        }
        if (world.completed(task.jobId, task.taskIndex)) {
            end(task, "done")
            return
        }
        val durationMs = world.runMs(task.jobId, task.taskIndex) ?: return
        delay(durationMs)
        awaitNotHung()
        end(task, "done")
    }

    private suspend fun fetchImage(spec: JobSpec) {
        if (spec.image in images) return
        delay((spec.imageGb / fetchGbPerS * MILLIS_PER_SECOND).toLong())
        images.add(spec.image)
    }

    private suspend fun awaitNotHung() {
        while (machine.hung) delay(HANG_POLL_MS)
    }

    /** Stops an attempt. It saves a checkpoint first if its job has checkpoints and [graceS] seconds are enough. */
    fun kill(
        id: AttemptId,
        graceS: Double,
    ) {
        val task = tasksById[id] ?: return
        if (task.hasEnded) return
        val spec = world.spec(task.jobId)
        val maySave = spec != null && spec.checkpointS > 0 && graceS >= spec.saveS && graceS > 0
        if (task.status == EmulatedTask.RUNNING && maySave) {
            saveAndEnd(task, spec)
            return
        }
        if (task.status == EmulatedTask.SAVING && graceS > 0) return
        task.job?.cancel()
        end(task, "stopped")
    }

    private fun saveAndEnd(
        task: EmulatedTask,
        spec: JobSpec,
    ) {
        val gangRun = task.gangRun
        val member = task.member
        if (gangRun != null && member != null) {
            gangRun.kill(member)
            return
        }
        task.job?.cancel()
        task.status = EmulatedTask.SAVING
        onChange()
        task.job =
            scope.launch {
                delay((spec.saveS * MILLIS_PER_SECOND).toLong())
                task.isSaved = true
                end(task, "stopped")
            }
    }

    /** Removes an attempt from the list if it has ended; otherwise does nothing. */
    fun clear(id: AttemptId) {
        if (tasksById[id]?.hasEnded == true) tasksById.remove(id)
    }

    private fun end(
        task: EmulatedTask,
        exitReason: String,
    ) {
        val wasOnMachine = task.isOnMachine
        task.status = EmulatedTask.ENDED
        task.exitReason = exitReason
        onChange()
        if (wasOnMachine) world.left(machine, task.jobId, task.taskIndex, exitReason == "done")
        leaveGang(task)
    }

    private fun joinGang(
        task: EmulatedTask,
        spec: JobSpec,
    ) {
        task.status = EmulatedTask.WAITING
        onChange()
        val gangRun = world.gangs.run(spec, task.attempt, world.runMs(task.jobId, 0) ?: 0L)
        val member = Member(task)
        task.gangRun = gangRun
        task.member = member
        gangRun.join(member)
    }

    private fun leaveGang(task: EmulatedTask) {
        task.member?.let { task.gangRun?.leave(it) }
    }

    /** A task of a gang whose image is on the machine: [GangTable.GangRun] now decides when it runs and ends. */
    private inner class Member(
        private val ownTask: EmulatedTask,
    ) : GangMember {
        override val taskIndex get() = ownTask.taskIndex
        override val isHung get() = machine.hung

        override fun run() {
            ownTask.status = EmulatedTask.RUNNING
            onChange()
        }

        override fun save() {
            ownTask.status = EmulatedTask.SAVING
            onChange()
        }

        override fun exit(
            reason: ExitReason,
            isSaved: Boolean,
        ) {
            if (!ownTask.isOnMachine || !machine.isAlive) return
            ownTask.isSaved = isSaved
            end(ownTask, reason.word)
        }
    }
}
