package micatally.scale

import com.sun.management.UnixOperatingSystemMXBean
import micatally.settings.Settings
import java.lang.management.ManagementFactory

/** What a run needs that this machine does not have; found before anything is started. */
class InsufficientResources(
    message: String,
) : Exception(message)

/** Keeps a run to half of the machine's memory and to the sockets that a process may open. */
object MachineLimits {
    fun check(scenario: Scenario) {
        val bean = ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean ?: return
        val memory = scenario.controllers * CONTROLLER_BYTES + EMULATOR_BYTES + scenario.workerCount * WORKER_BYTES
        val half = bean.totalMemorySize / 2
        if (memory > half) {
            throw InsufficientResources(
                "needs about ${memory.mebibytes} MB of memory; half of this machine's is ${half.mebibytes} MB",
            )
        }
        val sockets = socketsNeeded(scenario)
        if (sockets > bean.maxFileDescriptorCount) {
            throw InsufficientResources(
                "needs about $sockets sockets; this process may open ${bean.maxFileDescriptorCount}",
            )
        }
    }

    /** A worker listens and reports; each controller keeps connections to workers within its share of sockets. */
    private fun socketsNeeded(scenario: Scenario): Int {
        val ofOneController = minOf(scenario.workerCount, Settings.outgoingSockets(scenario.controllerSockets))
        val orders = scenario.controllers * ofOneController
        return scenario.workerCount * 2 + orders + OTHER_SOCKETS
    }

    private val Long.mebibytes get() = this / (1024 * 1024)

    private const val OTHER_SOCKETS = 1000
    private const val CONTROLLER_BYTES = 250L * 1024 * 1024
    private const val EMULATOR_BYTES = 1024L * 1024 * 1024
    private const val WORKER_BYTES = 256L * 1024
}
