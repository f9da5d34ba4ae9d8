package micatally.scale

import com.sun.management.UnixOperatingSystemMXBean
import micatally.settings.Settings
import java.lang.management.ManagementFactory

/** This machine has too little memory or too few sockets for a run. Thrown before anything is started. */
class InsufficientResources(
    message: String,
) : Exception(message)

/**
 * Checks before a run that it needs at most half of the machine's memory and no more sockets than this process may
 * open.
 */
object MachineLimits {
    /**
     * Estimates the needs of [scenario]. Does nothing where the operating system does not tell its limits.
     *
     * @throws InsufficientResources if the scenario is too large for this machine
     */
    fun check(scenario: Scenario) {
        val bean = ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean ?: return
        val neededBytes = scenario.controllers * CONTROLLER_BYTES + EMULATOR_BYTES + scenario.workerCount * WORKER_BYTES
        val halfOfMemory = bean.totalMemorySize / 2
        if (neededBytes > halfOfMemory) {
            throw InsufficientResources(
                "the scenario needs about ${neededBytes.mebibytes} MB of memory; " +
                    "a run may use half of this machine's, ${halfOfMemory.mebibytes} MB",
            )
        }
        val sockets = socketsNeeded(scenario)
        if (sockets > bean.maxFileDescriptorCount) {
            throw InsufficientResources(
                "the scenario needs about $sockets sockets; this process may open ${bean.maxFileDescriptorCount}",
            )
        }
    }

    /**
     * Estimates the sockets that this process needs. Each worker needs two, one to listen and one for its heartbeats.
     * Each controller keeps connections to the workers, at most as many as it may open itself.
     */
    private fun socketsNeeded(scenario: Scenario): Int {
        val commandSocketsPerController =
            minOf(scenario.workerCount, Settings.outgoingSockets(scenario.controllerSockets))
        val commandSockets = scenario.controllers * commandSocketsPerController
        return scenario.workerCount * 2 + commandSockets + OTHER_SOCKETS
    }

    private val Long.mebibytes get() = this / (1024 * 1024)

    private const val OTHER_SOCKETS = 1000

    /** Estimates of the memory of one controller process, of the emulators together and of each emulated worker. */
    private const val CONTROLLER_BYTES = 250L * 1024 * 1024
    private const val EMULATOR_BYTES = 1024L * 1024 * 1024
    private const val WORKER_BYTES = 256L * 1024
}
