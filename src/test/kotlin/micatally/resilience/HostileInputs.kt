package micatally.resilience

import kotlin.random.Random

/**
 * What is sent on one connection.
 *
 * @property parts the bytes, in the pieces in which they are written
 * @property allowedStatuses the statuses that the protocol allows as an answer
 * @property isLeftOpen whether the connection stays open without a complete request
 */
class HostileInput(
    val kind: String,
    val parts: List<ByteArray>,
    val allowedStatuses: Set<Int>,
    val isLeftOpen: Boolean = false,
) {
    val size get() = parts.sumOf { it.size }
}

/**
 * Generates malformed requests for the address of users and workers.
 *
 * @param validJob a submission that would be accepted
 */
class HostileInputs(
    private val random: Random,
    private val validJob: () -> String,
) {
    private val generators: List<() -> HostileInput> =
        listOf(
            { request("nested field", insertField(nested())) },
            { request("nested value", replaceValue(nested())) },
            {
                request(
                    "changed type",
                    replaceValue(listOf("7", "\"x\"", "{}", "[]", "true", "-1e9", "null").random(random)),
                )
            },
            { request("truncated", validJob().let { it.take(random.nextInt(it.length)) }, REFUSED) },
            { request("repeated field", validJob().let { it.dropLast(1) + "," + it.drop(1) }) },
            { request("repeated body", validJob().let { it + it }, REFUSED) },
            { request("many fields", insertField("1" + (0..3000).joinToString("") { ",\"f$it\":[{},$it]" })) },
            { request("equal fields", insertField("1" + ",\"crew\":[]".repeat(3000))) },
            { request("long number", replaceValue("7".repeat(random.nextInt(1, 50_000)))) },
            { request("long text", replaceValue("\"" + "x".repeat(random.nextInt(1, 50_000)) + "\"")) },
            { request("oversized", insertField("\"" + "x".repeat(70_000) + "\""), setOf(TOO_LARGE, NO_ANSWER)) },
            { bytes("random bytes", random.nextBytes(random.nextInt(1, 5000))) },
            { bytes("changed bytes", changedBytes()) },
            { splitRequest() },
            { chunkedRequest() },
            { malformedHead() },
            { incompleteRequest() },
        )

    fun next(): HostileInput = generators.random(random)()

    private fun nested(): String {
        val depth = random.nextInt(1, 20_000)
        return when (random.nextInt(4)) {
            0 -> "[".repeat(depth) + "]".repeat(depth)
            1 -> "{\"a\":".repeat(depth / 3) + "1" + "}".repeat(depth / 3)
            2 -> "[{\"a\":".repeat(depth / 4) + "1" + "}]".repeat(depth / 4)
            else -> "[".repeat(depth)
        }
    }

    private fun insertField(value: String): String {
        val job = validJob()
        return if (random.nextBoolean()) {
            "{\"x_field\":$value," + job.drop(1)
        } else {
            job.dropLast(1) +
                ",\"x_field\":$value}"
        }
    }

    private fun replaceValue(value: String): String {
        val job = validJob()
        val field = FIELDS.random(random)
        return Regex("\"$field\":(\"[^\"]*\"|[^,}]*)").replace(job) { "\"$field\":$value" }
    }

    private fun changedBytes(): ByteArray {
        val body = validJob().encodeToByteArray()
        repeat(random.nextInt(1, 5)) { body[random.nextInt(body.size)] = random.nextInt(256).toByte() }
        return body
    }

    private fun target() = if (random.nextInt(3) == 0) "/v1/report" else "/work"

    private fun head(length: Int) =
        "POST ${target()} HTTP/1.1\r\nHost: x\r\nContent-Length: $length\r\n\r\n".toByteArray()

    private fun request(
        kind: String,
        body: String,
        statuses: Set<Int> = ANSWERED,
    ) = body.encodeToByteArray().let { HostileInput(kind, listOf(head(it.size) + it), statuses) }

    private fun bytes(
        kind: String,
        body: ByteArray,
    ) = HostileInput(kind, listOf(head(body.size) + body), ANSWERED)

    private fun splitRequest(): HostileInput {
        val body = insertField(nested()).encodeToByteArray()
        val whole = head(body.size) + body
        val first = random.nextInt(1, 60)
        val second = random.nextInt(first, whole.size)
        val parts = listOf(whole.copyOf(first), whole.copyOfRange(first, second), whole.copyOfRange(second, whole.size))
        return HostileInput("split", parts, ANSWERED)
    }

    private fun chunkedRequest(): HostileInput {
        val head = "POST ${target()} HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".toByteArray()
        val chunks =
            when (random.nextInt(4)) {
                0 -> "1\r\n{\r\n".repeat(random.nextInt(1, 20_000)) + "0\r\n\r\n"
                1 -> validJob().map { "1;x=y\r\n$it\r\n" }.joinToString("") + "0\r\nt: v\r\n\r\n"
                2 -> listOf("ffffffffffffffff", "7fffffffffffffff", "-1", "zz", "", "10000000").random(random) + "\r\n"
                else -> "2\r\n{}x\r\n0\r\n\r\n"
            }
        return HostileInput("chunks", listOf(head + chunks.toByteArray()), ANSWERED + TOO_LARGE + NO_ANSWER)
    }

    private fun malformedHead(): HostileInput {
        val heads =
            listOf(
                "\r\n\r\n",
                "GET\r\n\r\n",
                "POST /work HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                "POST /work HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
                "POST /work HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
                "POST /work HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
                "GET /work/%%%?%=% HTTP/1.1\r\n\r\n",
                "GET /${"x".repeat(random.nextInt(20_000))} HTTP/1.1\r\n\r\n",
                "GET / HTTP/1.1\r\n${"a: b\r\n".repeat(random.nextInt(200))}\r\n",
                "DELETE /work/j-1/cancel HTTP/1.1\r\n\r\n",
            )
        val statuses = ANSWERED + setOf(NOT_FOUND, NOT_ALLOWED, TOO_LARGE, HEADER_TOO_LARGE, NOT_IMPLEMENTED, NO_ANSWER)
        return HostileInput("head", listOf(heads.random(random).toByteArray()), statuses)
    }

    private fun incompleteRequest(): HostileInput {
        val body = validJob().encodeToByteArray()
        val whole = head(60_000) + body
        return HostileInput(
            "half-open",
            listOf(whole.copyOf(random.nextInt(whole.size))),
            setOf(NO_ANSWER),
            isLeftOpen = true,
        )
    }

    private companion object {
        const val NO_ANSWER = DeployedController.NO_ANSWER
        const val NOT_FOUND = 404
        const val NOT_ALLOWED = 405
        const val TOO_LARGE = 413
        const val HEADER_TOO_LARGE = 431
        const val NOT_IMPLEMENTED = 501

        /** Accepted, known, malformed, redirected or impossible; 503 is for a controller that can't answer now. */
        val ANSWERED = setOf(200, 201, 400, 421, 422, 429, 503)
        val REFUSED = setOf(400)
        val FIELDS = listOf("ref", "lane", "crew", "format", "laps", "cores", "livery", "chassis", "together", "flag_s")
    }
}
