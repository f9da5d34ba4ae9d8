package micatally.resilience

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/** One request, whatever its body, ends at most its own connection. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class HostileBodyTest {
    private val controller = DeployedController()

    @AfterAll
    fun stop() = controller.close()

    @BeforeEach
    fun restart() = controller.restartUnlessServing()

    private fun expect(
        status: Int,
        target: String,
        body: ByteArray,
        port: Int = controller.userPort,
    ) {
        val answered = controller.call(port, "POST", target, body)
        assertTrue(controller.isServing(), "the controller serves no longer after ${body.size} bytes to $target")
        assertEquals(status, answered)
    }

    private fun deep(
        kind: String,
        depth: Int,
    ): String =
        when (kind) {
            "lists" -> "[".repeat(depth) + "]".repeat(depth)
            "objects" -> "{\"a\":".repeat(depth) + "1" + "}".repeat(depth)
            "both" -> "[{\"a\":".repeat(depth / 2) + "1" + "}]".repeat(depth / 2)
            else -> error(kind)
        }

    /** The object with a further first or last field, or with another value for a field that it has. */
    private fun JsonObject.with(
        name: String,
        value: String,
        isFirst: Boolean = false,
    ): ByteArray {
        val others = filterKeys { it != name }.map { (key, field) -> "\"$key\":$field" }
        val field = listOf("\"$name\":$value")
        return (if (isFirst) field + others else others + field).joinToString(",", "{", "}").encodeToByteArray()
    }

    @ParameterizedTest
    @CsvSource(
        "lists,100",
        "lists,500",
        "lists,1000",
        "lists,12000",
        "lists,32000",
        "objects,500",
        "objects,9000",
        "both,5000",
    )
    fun `an unknown field of any depth is ignored`(
        kind: String,
        depth: Int,
    ) {
        expect(CREATED, JOBS, controller.nextJob().with("x_tree", deep(kind, depth)))
        expect(CREATED, JOBS, controller.nextJob().with("x_tree", deep(kind, depth), isFirst = true))
    }

    @ParameterizedTest
    @CsvSource(
        "crew,lists",
        "crew,objects",
        "chassis,lists",
        "chassis,both",
        "laps,lists",
        "ref,lists",
        "together,lists",
    )
    fun `a deep value in a known field of a submission is refused`(
        field: String,
        kind: String,
    ) = expect(BAD_REQUEST, JOBS, controller.nextJob().with(field, deep(kind, SHALLOWER)))

    @ParameterizedTest
    @ValueSource(strings = ["car", "addr", "rig", "circuit", "loaners", "stint", "tick", "baton", "recall_s", "laps"])
    fun `a deep value in a known field of a heartbeat is refused`(field: String) =
        expect(BAD_REQUEST, HEARTBEATS, heartbeat().with(field, deep("lists", DEPTH)))

    @ParameterizedTest
    @ValueSource(strings = [JOBS, HEARTBEATS])
    fun `a body that is no JSON object is refused`(target: String) {
        val bodies =
            listOf(
                deep("lists", DEPTH),
                "[".repeat(DEPTH),
                "{\"a\":".repeat(DEPTH),
                "[{\"a\":".repeat(DEPTH / 2),
                "",
                "\"text\"",
                "{\"ref\":hello}",
                "{} {}",
                "1".repeat(DEPTH),
            )
        for (body in bodies) expect(BAD_REQUEST, target, body.encodeToByteArray())
    }

    @ParameterizedTest
    @ValueSource(strings = ["livery", "ref", "x_note"])
    fun `a body with bytes that are not UTF-8 is refused`(field: String) {
        val body = controller.nextJob().with(field, "\"img-501?(?\"")
        val invalid = body.map { if (it == '?'.code.toByte()) 0xF0.toByte() else it }.toByteArray()
        expect(BAD_REQUEST, JOBS, invalid)
    }

    @ParameterizedTest
    @ValueSource(strings = ["\"\"", "\"j-\"", "7", "null"])
    fun `a submission with an invalid id is refused`(ref: String) =
        expect(BAD_REQUEST, JOBS, controller.nextJob().with("ref", ref))

    @ParameterizedTest
    @ValueSource(strings = ["/peer/news", "/peer/kills", "/peer/query", "/peer/cancel", "/peer/owned", "/config/apply"])
    fun `a body at the address for other controllers that is no message of theirs is refused`(target: String) {
        for (body in listOf(deep("lists", DEPTH), "\u0001".repeat(DEPTH), "\u007f".repeat(DEPTH))) {
            controller.call(controller.peerPort, "POST", target, body.encodeToByteArray())
            assertTrue(controller.isServing())
            assertTrue(controller.isAnsweringPeers(), target)
        }
    }

    private fun heartbeat() =
        buildJsonObject {
            put("car", "m-900001")
            put("addr", "127.0.0.1:1")
            put("rig", "small")
            put("circuit", "a")
            put("loaners", true)
            put("stint", 1)
            put("tick", 1)
            put("baton", 0)
            put("recall_s", JsonPrimitive(null as String?))
            put("laps", buildJsonArray { })
        }

    @ParameterizedTest
    @ValueSource(ints = [500, 12_000])
    fun `a heartbeat with a deep unknown field is answered`(depth: Int) {
        val answered =
            controller.call(
                controller.userPort,
                "POST",
                HEARTBEATS,
                heartbeat().with("x", deep("lists", depth)),
            )
        assertTrue(controller.isServing())
        assertTrue(answered in setOf(OK, MISDIRECTED), "$answered")
    }

    private companion object {
        const val JOBS = "/work"
        const val HEARTBEATS = "/v1/report"
        const val DEPTH = 12_000

        /** Nested objects of this depth fit into a body. */
        const val SHALLOWER = 9000
        const val OK = 200
        const val CREATED = 201
        const val BAD_REQUEST = 400
        const val MISDIRECTED = 421
    }
}
