package micatally.gang

/**
 * The phase of a gang job. A *run* is one try to run all tasks of the job together. The attempts of a run share one
 * number.
 *
 * PLACING: no task is on a machine. The next run needs free capacity for all tasks at once.
 * WAITING: the run is placed, and none of its tasks is known to have started. A lost task may be replaced under the
 * same number.
 * RUNNING: a task of the run has been reported running. The loss of any task ends the run.
 * STOPPING: a graceful stop is under way. The tasks save a checkpoint and exit by themselves.
 * ENDING: the run has failed. Its tasks are being stopped, and the next run waits until all of them are proven to have
 * ended.
 */
enum class GangPhase { PLACING, WAITING, RUNNING, STOPPING, ENDING }

/**
 * The state of a gang job, apart from the states of its attempts. It is held in memory only. After a failover the new
 * leader derives it from the job's record and from heartbeats.
 */
class Gang {
    var phase = GangPhase.PLACING
        private set

    /** The attempt number of the current run, or of the last one if there is none; 0 before the first run. */
    var runNumber = 0L
        private set

    /** When a task of the current run was first known to wait for the others, in ms; null if none is known to. */
    var waitingSinceMs: Long? = null
        private set

    /**
     * By task index, the machines to which the task was assigned in this run. A machine ignores a second command for
     * the same task of the same run.
     */
    private val triedMachines = HashMap<Int, HashSet<String>>()

    /** Changes the phase. All other functions change it only through this one. */
    private fun transitionTo(next: GangPhase) {
        check(next in ALLOWED_TRANSITIONS.getValue(phase)) { "a gang may not go from $phase to $next" }
        phase = next
    }

    /** Called when a run has been placed, or was found in the job's record after a failover. */
    fun beginRun(number: Long) {
        transitionTo(GangPhase.WAITING)
        runNumber = number
        waitingSinceMs = null
        triedMachines.clear()
    }

    /** Called when a task of the run is reported waiting for the others. */
    fun onTaskWaiting(nowMs: Long) {
        if (phase == GangPhase.WAITING && waitingSinceMs == null) waitingSinceMs = nowMs
    }

    /** Called when a task of the run is reported running, which shows that all tasks had been on their machines. */
    fun onTaskRunning() {
        if (phase == GangPhase.WAITING) transitionTo(GangPhase.RUNNING)
    }

    /** Called when a graceful stop of all tasks of the run begins. */
    fun beginGracefulStop() = transitionTo(GangPhase.STOPPING)

    /** Called when the run has failed, before its tasks are stopped. */
    fun beginEnding() = transitionTo(GangPhase.ENDING)

    /** Called when no attempt of the run is left, since all of them are proven to have ended. */
    fun onAllTerminated() {
        if (phase != GangPhase.PLACING) transitionTo(GangPhase.PLACING)
    }

    /** Records that the task was assigned to the machine in this run. */
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
        val ALLOWED_TRANSITIONS =
            mapOf(
                GangPhase.PLACING to setOf(GangPhase.WAITING),
                GangPhase.WAITING to setOf(GangPhase.RUNNING, GangPhase.STOPPING, GangPhase.ENDING, GangPhase.PLACING),
                GangPhase.RUNNING to setOf(GangPhase.STOPPING, GangPhase.ENDING, GangPhase.PLACING),
                GangPhase.STOPPING to setOf(GangPhase.PLACING),
                GangPhase.ENDING to setOf(GangPhase.PLACING),
            )
    }
}
