package micatally.fleet

import micatally.sim.plainSettings
import micatally.worker.MachineRegistry
import micatally.worker.NoMachineListener
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The fleet manager carries out the request of a shard leader only on what it knows itself. */
class ShardLeaderRequestsTest {
    private val now = 1_000_000L
    private val settings = plainSettings()
    private val machines = MachineRegistry(NoMachineListener) { now }
    private val requests = ShardLeaderRequests(settings, machines)
    private val longAgo = now - settings.leaseMs * 10

    private fun machine(
        name: String,
        silentMs: Long,
    ) {
        machines.findOrAdd(name, "$name:9", "small", "a", false).heardAt = now - silentMs
    }

    /** Guards against the request of a controller that was cut off or whose request was under way for long. */
    @Test
    fun `a machine that was heard within a lease is kept`() {
        machine("m-heard", settings.leaseMs)
        machine("m-silent", settings.leaseMs + 1)
        requests.add(listOf("m-heard", "m-silent", "m-unknown"), "pitbox-1")
        assertEquals(listOf("m-silent", "m-unknown"), requests.take(longAgo, now))
    }

    /** Guards against silence that the fleet manager has not observed itself. */
    @Test
    fun `silence before the fleet manager could observe the machines does not count`() {
        machine("m-silent", settings.leaseMs * 5)
        for (observedMs in listOf(0, settings.leaseMs)) {
            requests.add(listOf("m-silent", "m-unknown"), "pitbox-1")
            assertEquals(emptyList<String>(), requests.take(now - observedMs, now))
        }
        requests.add(listOf("m-silent", "m-unknown"), "pitbox-1")
        assertEquals(listOf("m-silent", "m-unknown"), requests.take(now - settings.leaseMs - 1, now))
    }

    /** Guards against a request that is carried out long after it was made, or in a later term. */
    @Test
    fun `a request is taken once, and not after it was cleared`() {
        requests.add(listOf("m-unknown"), "pitbox-1")
        assertEquals(listOf("m-unknown"), requests.take(longAgo, now))
        assertEquals(emptyList<String>(), requests.take(longAgo, now))
        requests.add(listOf("m-unknown"), "pitbox-1")
        requests.clear()
        assertEquals(emptyList<String>(), requests.take(longAgo, now))
    }
}
