package micatally.fleet

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.http.queryPart
import micatally.state.RateBudget
import micatally.state.Urgency
import micatally.wire.ListedMachine
import micatally.wire.asObject
import micatally.wire.asText
import micatally.wire.bytes
import micatally.wire.listOrNull
import micatally.wire.parseObject

sealed interface ProvisioningResult {
    class Provisioned(
        val names: List<String>,
    ) : ProvisioningResult

    data object NoCapacity : ProvisioningResult

    /** Not carried out: an outage or a refused request. */
    data object Refused : ProvisioningResult

    /** Perhaps carried out; the same booking must be asked for again. */
    data object Unknown : ProvisioningResult
}

/** The cloud's protocol, within its limit of requests. */
class CloudClient(
    private val http: HttpCaller,
    private val addr: String,
    private val budget: RateBudget,
    private val timeoutMs: Long,
) {
    private suspend fun send(
        method: String,
        target: String,
        body: JsonObject?,
        urgency: Urgency,
    ): Outcome {
        budget.take(1, urgency)
        val outcome = http.call(addr, method, target, body?.bytes(), timeoutMs)
        if (outcome is Outcome.Answer && outcome.status == 429) budget.drained()
        return outcome
    }

    suspend fun machineTypes(): JsonObject? {
        val outcome = send("GET", "/flavors", null, Urgency.ACCEPTANCE)
        return if (outcome is Outcome.Answer && outcome.status == 200) parseObject(outcome.body) else null
    }

    suspend fun rent(
        request: String,
        type: String,
        zone: String,
        spot: Boolean,
        count: Int,
    ): ProvisioningResult {
        val body =
            buildJsonObject {
                put("booking", request)
                put("rig", type)
                put("circuit", zone)
                put("loaners", spot)
                put("count", count)
            }
        return when (val outcome = send("POST", "/machines", body, Urgency.ACCEPTANCE)) {
            is Outcome.NotSent -> ProvisioningResult.Refused
            is Outcome.Silence, is Outcome.TooLarge -> ProvisioningResult.Unknown
            is Outcome.Answer ->
                when {
                    outcome.status == 200 ->
                        ProvisioningResult.Provisioned(
                            (parseObject(outcome.body).listOrNull("cars") ?: emptyList()).map { it.asText() },
                        )
                    outcome.status == 503 &&
                        outcome.body.decodeToString().contains(
                            "no capacity",
                        )
                    -> ProvisioningResult.NoCapacity
                    outcome.status == 503 || outcome.status == 429 || outcome.status == 400 -> ProvisioningResult.Refused
                    else -> ProvisioningResult.Unknown
                }
        }
    }

    /** True when the machines and all on them are gone. */
    suspend fun delete(names: List<String>): Boolean {
        val outcome =
            send(
                "POST",
                "/machines/delete",
                buildJsonObject {
                    put("cars", JsonArray(names.map { JsonPrimitive(it) }))
                },
                Urgency.LEASE,
            )
        return outcome is Outcome.Answer && outcome.status == 200
    }

    suspend fun list(): List<ListedMachine>? {
        val all = ArrayList<ListedMachine>()
        var lastName: String? = null
        while (true) {
            val from = if (lastName == null) "" else "since=${queryPart(lastName)}&"
            val outcome = send("GET", "/machines?${from}page=500", null, Urgency.INTENT)
            if (outcome !is Outcome.Answer || outcome.status != 200) return null
            val answer = parseObject(outcome.body)
            val page = (answer.listOrNull("cars") ?: emptyList()).map { ListedMachine.parse(it.asObject()) }
            all.addAll(page)
            if (answer["more"]?.toString() != "true" || page.isEmpty()) return all
            lastName = page.last().name
        }
    }
}
