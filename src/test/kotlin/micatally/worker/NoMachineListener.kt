package micatally.worker

/** Ignores all changes of machines. */
internal object NoMachineListener : MachineListener {
    override fun machineAdded(machine: Machine) = Unit

    override fun incarnationChanged(machine: Machine) = Unit

    override fun tasksReported(
        machine: Machine,
        source: StatusSource,
    ) = Unit

    override fun statusMissed(machine: Machine) = Unit
}
