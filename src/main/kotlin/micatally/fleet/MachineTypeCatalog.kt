package micatally.fleet

import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import micatally.job.RecordPacking
import micatally.membership.Keys
import micatally.settings.Settings
import micatally.state.Put
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.wire.MachineType
import micatally.wire.MalformedMessage
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** Keeps the machine types known here: from the cloud, or from the state service while the cloud can't be asked. */
class MachineTypeCatalog(
    private val settings: Settings,
    private val state: StateStoreClient,
    private val cloud: CloudClient,
    private val machines: MachineRegistry,
    private val isLeader: () -> Boolean,
    private val onFirstKnown: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private var stored: String? = null

    suspend fun follow() {
        while (true) {
            if (machines.machineTypes.isEmpty()) loadStored()
            if (machines.machineTypes.isEmpty() || isLeader()) refreshFromCloud()
            delay(
                if (machines.machineTypes.isEmpty()) {
                    settings.leaseMs / ATTEMPTS_PER_LEASE
                } else {
                    settings.leaseMs *
                        REFRESH_LEASES
                },
            )
        }
    }

    private suspend fun loadStored() {
        val read = state.get(Keys.MACHINE_TYPES, Urgency.ACCEPTANCE)
        if (read !is ReadResult.Found) return
        stored = read.item.value.toString()
        applyTypes(read.item.value)
    }

    /** What the cloud says is stored for nodes that start while it can't be asked. */
    private suspend fun refreshFromCloud() {
        val answer = cloud.machineTypes() ?: return
        applyTypes(answer)
        val text = answer.toString()
        if (text == stored || RecordPacking.size(answer) > settings.valueBytes) return
        val written =
            state.transact(
                1,
                Urgency.SUMMARY,
            ) { Transaction(emptyList(), listOf(Put(Keys.MACHINE_TYPES, answer))) }
        if (written is TransactionResult.Applied) stored = text
    }

    private fun applyTypes(answer: JsonObject) {
        val types =
            try {
                MachineType.parseAll(answer)
            } catch (e: MalformedMessage) {
                log.error("machine types: {}", e.message)
                return
            }
        val isFirst = machines.machineTypes.isEmpty()
        machines.machineTypes = types.associateBy { it.label }
        if (isFirst) onFirstKnown()
    }

    private companion object {
        /** How often to ask: so many times a lease while nothing is known, and once in so many leases afterwards. */
        const val ATTEMPTS_PER_LEASE = 20
        const val REFRESH_LEASES = 3
    }
}
