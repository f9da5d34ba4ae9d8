package micatally.emulator

import micatally.wire.JobSpec

/** Tells how the tasks of a fleet behave, and is told when they start and end. */
interface FleetTasks {
    /** The submission of a job; null if the job is not known. */
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

    /** Called when a task that had started on [machine] has left it; [done] tells whether it ended with success. */
    fun left(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
        done: Boolean,
    )
}

/** What all emulated workers share: the jobs with their tasks, and the gangs. */
interface WorkerWorld : FleetTasks {
    /** Whether the task has ended with success before. If so, it ends at once when it is started again. */
    fun completed(
        jobId: String,
        taskIndex: Int,
    ): Boolean

    /** Whether the job was submitted with a mistake, so that its tasks fail on every machine. */
    fun isBroken(jobId: String): Boolean = false

    /** The gangs, through which the tasks of a gang find each other across workers. */
    val gangs: GangTable
}
