package micatally.emulator

import micatally.wire.JobSpec

/** What the tasks of a fleet do, and the listener to their starts and ends. */
interface FleetTasks {
    fun spec(jobId: String): JobSpec?

    /** How long a task runs once its image is on the machine, in milliseconds; null: until it is stopped. */
    fun runMs(
        jobId: String,
        taskIndex: Int,
    ): Long?

    /** Called when a task begins to run on [machine]. */
    fun started(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
    )

    /** Called when a task that had started on [machine] is no longer there; [done]: it ended with success. */
    fun left(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
        done: Boolean,
    )
}

/** The simulated world around the emulated workers: the jobs with their tasks, and the gangs. */
interface WorkerWorld : FleetTasks {
    /** Whether the task has ended with success before: it then ends at once when it is started again. */
    fun completed(
        jobId: String,
        taskIndex: Int,
    ): Boolean

    /** Whether the job was submitted with a mistake: its tasks fail on every machine. */
    fun isBroken(jobId: String): Boolean = false

    /** Where the tasks of a gang, each on its own worker, find each other. */
    val gangs: GangTable
}
