package micatally.worker

/** Where the newest status of a machine came from. */
enum class StatusSource {
    /** From the machine itself: a heartbeat, or the response to a probe. */
    HEARTBEAT,

    /** From the machine itself, as the response to a command request of this controller. */
    COMMAND_RESPONSE,

    /** Forwarded by another controller that received a heartbeat. */
    PEER,
}

/**
 * What the rest of the controller does when [MachineRegistry] learns something new. The calls come from within the registry's functions,
 * on the event loop, after the [Machine] has been updated.
 */
interface MachineListener {
    /** The machine was not known before. Only its name is certain to be set. */
    fun machineAdded(machine: Machine)

    /** The machine has a new incarnation: whatever ran under the former one is gone. */
    fun incarnationChanged(machine: Machine)

    /**
     * The machine's task list has changed, or it came with the response to a command request, which proves more than an unchanged
     * heartbeat does. Follows [incarnationChanged] if the incarnation is new too.
     */
    fun tasksReported(
        machine: Machine,
        source: StatusSource,
    )

    /** Another controller has a newer task list of the machine, which has not come here. */
    fun statusMissed(machine: Machine)
}
