package micatally.worker

/** The source of a machine's newest status. */
enum class StatusSource {
    /** The machine itself, in a heartbeat or in the response to a probe. */
    HEARTBEAT,

    /** The machine itself, in the response to a command request of this controller. */
    COMMAND_RESPONSE,

    /** Another controller, which forwarded a heartbeat that it had received. */
    PEER,
}

/**
 * Called when [MachineRegistry] learns something new about a machine. The registry makes the calls on the event loop,
 * after it has updated the [Machine].
 */
interface MachineListener {
    /** A machine was added. Its other attributes may still be unknown; only the name is certain to be set. */
    fun machineAdded(machine: Machine)

    /** The machine has a new incarnation. Every task of the former one has ended. */
    fun incarnationChanged(machine: Machine)

    /**
     * The machine's task list has changed, or it came with the response to a command request. The response is reported
     * even if the list is unchanged, because it may prove that an attempt has ended and a heartbeat may not. Called
     * after [incarnationChanged] if the incarnation is new too.
     */
    fun tasksReported(
        machine: Machine,
        source: StatusSource,
    )

    /** Another controller has a newer task list of the machine, and this one has not received it. */
    fun statusMissed(machine: Machine)
}
