package micatally.scheduling

import micatally.settings.Settings
import micatally.worker.Machine

/** The order in which controllers act where all of them see the same and would otherwise do the same. */
class ControllerTurns(
    settings: Settings,
) {
    private val controllerHosts = (settings.peers.map { it.host } + settings.host).sorted()
    private val ownIndex = controllerHosts.indexOf(settings.host)
    private val machineTurnMs = settings.heartbeatIntervalMs / TURNS_PER_HEARTBEAT

    val controllerCount get() = controllerHosts.size

    /**
     * This controller's place in the order in which controllers may use capacity that has become free on the machine; 0 is
     * first. All of them see it and would choose it, and the worker would refuse all but one. First comes the controller whose
     * task has left, then the others in an order that depends on the machine's name.
     */
    fun turnOf(machine: Machine): Int {
        if (machine.freedBy == null) return 0
        val order = Math.floorMod(machine.name.hashCode() - ownIndex, controllerHosts.size)
        return if (machine.freedBy == Machine.NOBODY) order else order + 1
    }

    /** Whether this controller's turn at the machine has come; it does not end. */
    fun hasTurn(
        machine: Machine,
        now: Long,
    ): Boolean = now >= machine.freedAt + turnOf(machine) * machineTurnMs

    /** Whether it is this controller's turn, in turns of this length, to do what only one of them should do at a time. */
    fun isOwnTurn(
        now: Long,
        lengthMs: Long,
    ): Boolean = (now / lengthMs % controllerHosts.size).toInt() == ownIndex

    private companion object {
        const val TURNS_PER_HEARTBEAT = 4
    }
}
