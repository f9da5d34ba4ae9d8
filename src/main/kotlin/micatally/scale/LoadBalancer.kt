package micatally.scale

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.http.HttpCaller
import micatally.http.Outcome
import kotlin.random.Random

/** Chooses a controller for each request of a user, among those that are healthy. */
class LoadBalancer(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val addresses: List<String>,
    private val random: Random,
) {
    private val healthy = HashSet<String>()

    /** How many controllers answer their health check; read from other threads too. */
    @Volatile
    var healthyCount = 0
        private set

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

    /** The address of a controller; one that is not healthy only when none is. */
    fun choose(): String = addresses.filter { it in healthy }.ifEmpty { addresses }.random(random)

    private companion object {
        const val PROBE_MS = 1000L
    }
}
