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

/**
 * Keeps the machine types in [MachineRegistry] up to date. They come from the cloud, or from the state store while the
 * cloud does not respond.
 *
 * @param isLeader whether this process is the fleet manager; once the types are known, only the fleet manager requests
 * them again
 * @param onFirstKnown called when the types become known
 */
class MachineTypeCatalog(
    private val settings: Settings,
    private val state: StateStoreClient,
    private val cloud: CloudClient,
    private val machines: MachineRegistry,
    private val isLeader: () -> Boolean,
    private val onFirstKnown: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")

    /** The value that is in the state store, as text, as far as this process knows. */
    private var storedText: String? = null
    private val areTypesUnknown get() = machines.machineTypes.isEmpty()

    /** Requests the machine types at regular intervals; never returns. */
    suspend fun refreshLoop() {
        while (true) {
            if (areTypesUnknown) loadStored()
            if (areTypesUnknown || isLeader()) refreshFromCloud()
            delay(if (areTypesUnknown) settings.leaseMs / ATTEMPTS_PER_LEASE else settings.leaseMs * REFRESH_LEASES)
        }
    }

    private suspend fun loadStored() {
        val read = state.get(Keys.MACHINE_TYPES, Urgency.ACCEPTANCE)
        if (read !is ReadResult.Found) return
        storedText = read.item.value.toString()
        applyTypes(read.item.value)
    }

    /**
     * Reads the machine types from the cloud, and stores them for controllers that start while the cloud does not
     * respond.
     */
    private suspend fun refreshFromCloud() {
        val answer = cloud.machineTypes() ?: return
        applyTypes(answer)
        val text = answer.toString()
        if (text == storedText || RecordPacking.size(answer) > settings.valueBytes) return
        val result =
            state.transact(1, Urgency.SUMMARY) {
                Transaction(emptyList(), listOf(Put(Keys.MACHINE_TYPES, answer)))
            }
        if (result is TransactionResult.Applied) storedText = text
    }

    private fun applyTypes(answer: JsonObject) {
        val types =
            try {
                MachineType.parseAll(answer)
            } catch (malformed: MalformedMessage) {
                log.error("machine types can't be read, those known before stay in use: {}", malformed.message)
                return
            }
        val isFirst = areTypesUnknown
        machines.machineTypes = types.associateBy { it.label }
        if (isFirst) onFirstKnown()
    }

    private companion object {
        /** How many times per lease the types are requested while they are unknown. */
        const val ATTEMPTS_PER_LEASE = 20

        /** Once the types are known, they are requested again after this many leases. */
        const val REFRESH_LEASES = 3
    }
}
