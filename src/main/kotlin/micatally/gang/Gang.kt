package micatally.gang

/**
 * Where a gang job stands. A *run* is one try to run all of its tasks together; the attempts of a run share one number.
 *
 * PLACING: no task is on a machine; the next run needs room for all of them at once.
 * WAITING: the run is placed and not known to have started. A lost task may be replaced under the same number.
 * RUNNING: a task of the run has been seen running, so losing any of them ends the run.
 * STOPPING: an orderly stop is under way; its tasks save and exit by themselves.
 * ENDING: the run has failed. Its tasks are stopped, and the next run waits until each of them is proven gone.
 */
enum class GangPhase { PLACING, WAITING, RUNNING, STOPPING, ENDING }

/** The state of a gang job beside that of its attempts. Everything here can be derived anew from the record and reports. */
class Gang {
    var phase = GangPhase.PLACING
        private set

    /** The attempt number of the present run, or of the last one. */
    var runNumber = 0L
        private set

    /** Since when some task of the run is known to wait for the others. */
    var waitingSinceMs: Long? = null
        private set

    /** Machines that were sent a task of the present run: a repeated command for the same task has no effect there. */
    private val triedMachines = HashMap<Int, HashSet<String>>()

    /** The one place where the phase changes. */
    private fun transitionTo(next: GangPhase) {
        check(next in ALLOWED.getValue(phase)) { "a gang may not go from $phase to $next" }
        phase = next
    }

    /** A run is placed, or found on machines after a takeover. */
    fun beginRun(number: Long) {
        transitionTo(GangPhase.WAITING)
        runNumber = number
        waitingSinceMs = null
        triedMachines.clear()
    }

    fun onTaskWaiting(nowMs: Long) {
        if (phase == GangPhase.WAITING && waitingSinceMs == null) waitingSinceMs = nowMs
    }

    fun onTaskRunning() {
        if (phase == GangPhase.WAITING) transitionTo(GangPhase.RUNNING)
    }

    fun beginGracefulStop() = transitionTo(GangPhase.STOPPING)

    fun beginEnding() = transitionTo(GangPhase.ENDING)

    /** No task of the run is on a machine any more. */
    fun onAllTerminated() {
        if (phase != GangPhase.PLACING) transitionTo(GangPhase.PLACING)
    }

    fun addTriedMachine(
        taskIndex: Int,
        machine: String,
    ) {
        triedMachines.getOrPut(taskIndex) { HashSet() }.add(machine)
    }

    fun wasTried(
        taskIndex: Int,
        machine: String,
    ) = triedMachines[taskIndex]?.contains(machine) == true

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
