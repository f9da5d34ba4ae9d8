package micatally.scale

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.http.HttpCaller
import micatally.http.Outcome
import kotlin.random.Random

/**
 * Chooses a random healthy controller for each user request. A controller is healthy if it answers its last health
 * check with status 200.
 */
class LoadBalancer(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val addresses: List<String>,
    private val random: Random,
) {
    private val healthy = HashSet<String>()

    /** Number of healthy controllers; may be read from any thread. */
    @Volatile
    var healthyCount = 0
        private set

    /** Starts a health check of each controller every [PROBE_MS] ms. */
    fun start() {
        for (address in addresses) {
            scope.launch {
                while (true) {
                    probe(address)
                    delay(PROBE_MS)
                }
            }
        }
    }

    private suspend fun probe(address: String) {
        val outcome = http.call(address, "GET", "/healthz", null, PROBE_MS)
        if (outcome is Outcome.Answer && outcome.status == 200) healthy.add(address) else healthy.remove(address)
        healthyCount = healthy.size
    }

    /** Returns the address of a healthy controller, or of any controller if none is healthy. */
    fun choose(): String = addresses.filter { it in healthy }.ifEmpty { addresses }.random(random)

    private companion object {
        const val PROBE_MS = 1000L
    }
}
