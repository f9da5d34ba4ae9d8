package micatally.fleet

import micatally.settings.Settings
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/**
 * The requests of shard leaders to delete machines from which they have heard nothing for too long. The fleet manager
 * carries one out only if it has heard nothing from the machine either: a request may come from a controller that was
 * cut off, or may have been under way for long.
 */
class ShardLeaderRequests(
    settings: Settings,
    private val machines: MachineRegistry,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")

    /**
     * How long the fleet manager must have heard nothing from the machine, in milliseconds. A worker that gets no
     * response tries the other controllers within its lease.
     */
    private val minSilenceMs = settings.leaseMs

    /** The host of the controller that requests the deletion, by the name of the machine. */
    private val hosts = LinkedHashMap<String, String>()

    /** Machines whose deletion was refused, to log each refusal once. */
    private val refused = HashSet<String>()

    /** Adds the requests of the controller on [host]. They are kept until the next [take]. */
    fun add(
        names: List<String>,
        host: String,
    ) {
        for (name in names) hosts[name] = host
    }

    /** Drops all requests. */
    fun clear() {
        hosts.clear()
        refused.clear()
    }

    /**
     * Removes all requests, and returns the names of the machines that are to be deleted. Shard leaders repeat their
     * requests while the machines stay silent.
     *
     * @param observedSinceMs since when this process has observed the machines; silence before that does not count
     */
    fun take(
        observedSinceMs: Long,
        now: Long,
    ): List<String> {
        val (due, early) = hosts.keys.partition { silentMs(it, observedSinceMs, now) > minSilenceMs }
        for (name in early) logRefusal(name, silentMs(name, observedSinceMs, now))
        refused.removeAll(due.toSet())
        hosts.clear()
        return due
    }

    private fun silentMs(
        name: String,
        observedSinceMs: Long,
        now: Long,
    ) = now - maxOf(machines.of(name)?.heardAt ?: 0L, observedSinceMs)

    private fun logRefusal(
        name: String,
        silentMs: Long,
    ) {
        if (!refused.add(name)) return
        log.info("{} requests the deletion of machine {}, refused: silent for {} ms here", hosts[name], name, silentMs)
    }
}
