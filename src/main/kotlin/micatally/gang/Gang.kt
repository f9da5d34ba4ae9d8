package micatally.gang

/**
 * Where a gang job stands. A *run* is one try to run all of its tasks together; the attempts of a run share one number.
 *
 * PLACING: no task is on a machine; the next run needs free capacity for all of them at once.
 * WAITING: the run is placed and not known to have started. A lost task may be replaced under the same number.
 * RUNNING: a task of the run has been seen running, so losing any of them ends the run.
 * STOPPING: a graceful stop is under way; the tasks save a checkpoint and exit by themselves.
 * ENDING: the run has failed. Its tasks are stopped, and the next run waits until each of them is proven gone.
 */
enum class GangPhase { PLACING, WAITING, RUNNING, STOPPING, ENDING }

/**
 * The state of a gang job beside that of its attempts. It is held in memory only: after a failover all of it is derived anew
 * from the job's record and from heartbeats.
 */
class Gang {
    var phase = GangPhase.PLACING
        private set

    /** The attempt number of the present run, or of the last one. */
    var runNumber = 0L
        private set

    /** Since when some task of the present run is known to wait for the others; null if none is. */
    var waitingSinceMs: Long? = null
        private set

    /** Per task index, the machines to which it was assigned in this run: a repeated command for it has no effect there. */
    private val triedMachines = HashMap<Int, HashSet<String>>()

    /** The only place where the phase changes. */
    private fun transitionTo(next: GangPhase) {
        check(next in ALLOWED.getValue(phase)) { "a gang may not go from $phase to $next" }
        phase = next
    }

    /** A run has been placed, or found on machines after a failover. */
    fun beginRun(number: Long) {
        transitionTo(GangPhase.WAITING)
        runNumber = number
        waitingSinceMs = null
        triedMachines.clear()
    }

    /** A task of the run waits for the others. */
    fun onTaskWaiting(nowMs: Long) {
        if (phase == GangPhase.WAITING && waitingSinceMs == null) waitingSinceMs = nowMs
    }

    /** A task of the run has been seen running, so all of them had been there. */
    fun onTaskRunning() {
        if (phase == GangPhase.WAITING) transitionTo(GangPhase.RUNNING)
    }

    /** A graceful stop has been requested of all tasks of the run. */
    fun beginGracefulStop() = transitionTo(GangPhase.STOPPING)

    /** The run has failed, and its tasks are being stopped. */
    fun beginEnding() = transitionTo(GangPhase.ENDING)

    /** No attempt of the run is left; each is proven gone. */
    fun onAllTerminated() {
        if (phase != GangPhase.PLACING) transitionTo(GangPhase.PLACING)
    }

    /** Remembers that the task was assigned to the machine in this run. */
    fun addTriedMachine(
        taskIndex: Int,
        machine: String,
    ) {
        triedMachines.getOrPut(taskIndex) { HashSet() }.add(machine)
    }

    /** Whether the task was assigned to the machine in this run. */
    fun wasTried(
        taskIndex: Int,
        machine: String,
    ): Boolean = triedMachines[taskIndex]?.contains(machine) == true

    private companion object {
        val ALLOWED =
            mapOf(
                GangPhase.PLACING to setOf(GangPhase.WAITING),
                GangPhase.WAITING to setOf(GangPhase.RUNNING, GangPhase.STOPPING, GangPhase.ENDING, GangPhase.PLACING),
                GangPhase.RUNNING to setOf(GangPhase.STOPPING, GangPhase.ENDING, GangPhase.PLACING),
                GangPhase.STOPPING to setOf(GangPhase.PLACING),
                GangPhase.ENDING to setOf(GangPhase.PLACING),
            )
    }
}
