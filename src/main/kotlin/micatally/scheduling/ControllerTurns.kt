package micatally.scheduling

import micatally.settings.Settings
import micatally.worker.Machine

/**
 * The order in which controllers act on the same information. Without an order, all controllers would choose the same
 * machine or preempt tasks for the same request at the same time.
 */
class ControllerTurns(
    settings: Settings,
) {
    private val controllerHosts = (settings.peers.map { it.host } + settings.host).sorted()
    private val ownIndex = controllerHosts.indexOf(settings.host)
    private val machineTurnMs = settings.heartbeatIntervalMs / TURNS_PER_HEARTBEAT

    val controllerCount get() = controllerHosts.size

    /**
     * This controller's position in the order in which controllers may use capacity that has become free on the
     * machine; 0 is first. The controller whose task has left comes first, then the others in an order that depends on
     * the machine's name. Without this order all controllers would choose the machine, and its worker would refuse all
     * but one of them.
     */
    fun turnOf(machine: Machine): Int {
        if (machine.freedBy == null) return 0
        val position = Math.floorMod(machine.name.hashCode() - ownIndex, controllerHosts.size)
        return if (machine.freedBy == Machine.NOBODY) position else position + 1
    }

    /** Whether this controller's turn at the machine has come. A turn has no end: later turns only add controllers. */
    fun hasTurn(
        machine: Machine,
        now: Long,
    ): Boolean = now >= machine.freedAt + turnOf(machine) * machineTurnMs

    /**
     * Whether it is this controller's turn to do what only one controller should do at a time. Each turn takes
     * [lengthMs], and the controllers take turns in the order of their host names.
     */
    fun isOwnTurn(
        now: Long,
        lengthMs: Long,
    ): Boolean = (now / lengthMs % controllerHosts.size).toInt() == ownIndex

    private companion object {
        const val TURNS_PER_HEARTBEAT = 4
    }
}
