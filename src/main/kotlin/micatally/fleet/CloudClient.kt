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
        val out = http.call(addr, method, target, body?.bytes(), timeoutMs)
        if (out is Outcome.Answer && out.status == 429) budget.markExhausted()
        return out
    }

    suspend fun machineTypes(): JsonObject? {
        val out = send("GET", "/flavors", null, Urgency.ACCEPTANCE)
        return if (out is Outcome.Answer && out.status == 200) parseObject(out.body) else null
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
        return when (val out = send("POST", "/machines", body, Urgency.ACCEPTANCE)) {
            is Outcome.NotSent -> ProvisioningResult.Refused
            is Outcome.Silence, is Outcome.TooLarge -> ProvisioningResult.Unknown
            is Outcome.Answer ->
                when {
                    out.status == 200 ->
                        ProvisioningResult.Provisioned(
                            (parseObject(out.body).listOrNull("cars") ?: emptyList()).map { it.asText() },
                        )
                    out.status == 503 &&
                        out.body.decodeToString().contains(
                            "no capacity",
                        )
                    -> ProvisioningResult.NoCapacity
                    out.status == 503 || out.status == 429 || out.status == 400 -> ProvisioningResult.Refused
                    else -> ProvisioningResult.Unknown
                }
        }
    }

    /** True when the machines and all on them are gone. */
    suspend fun delete(names: List<String>): Boolean {
        val out =
            send(
                "POST",
                "/machines/delete",
                buildJsonObject {
                    put("cars", JsonArray(names.map { JsonPrimitive(it) }))
                },
                Urgency.LEASE,
            )
        return out is Outcome.Answer && out.status == 200
    }

    suspend fun list(): List<ListedMachine>? {
        val all = ArrayList<ListedMachine>()
        var since: String? = null
        while (true) {
            val from = if (since == null) "" else "since=${queryPart(since)}&"
            val out = send("GET", "/machines?${from}page=500", null, Urgency.INTENT)
            if (out !is Outcome.Answer || out.status != 200) return null
            val o = parseObject(out.body)
            val page = (o.listOrNull("cars") ?: emptyList()).map { ListedMachine.parse(it.asObject()) }
            all.addAll(page)
            if (o["more"]?.toString() != "true" || page.isEmpty()) return all
            since = page.last().name
        }
    }
}
