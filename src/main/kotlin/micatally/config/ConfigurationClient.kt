package micatally.config

import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.wire.ChangeAnswer
import micatally.wire.ConfigurationChange
import micatally.wire.ConfigurationStatus
import micatally.wire.ConfigurationView
import micatally.wire.HistoryAnswer
import micatally.wire.RollbackRequest
import micatally.wire.StatusRequest

/** Thrown if a controller gave no usable response. A change that was sent to it may still have been applied. */
class NoAnswer(
    message: String,
) : Exception(message)

/**
 * Client of the [ConfigurationApi] of the controller at [address]. Each call suspends for at most [timeoutMs] and
 * throws [NoAnswer] if there is no usable response.
 */
class ConfigurationClient(
    private val http: HttpCaller,
    private val address: String,
    private val timeoutMs: Long,
) {
    suspend fun get(): ConfigurationView = ProtoBuf.decodeFromByteArray(post(ConfigurationPaths.GET))

    suspend fun apply(change: ConfigurationChange): ChangeAnswer =
        ProtoBuf.decodeFromByteArray(post(ConfigurationPaths.APPLY, ProtoBuf.encodeToByteArray(change)))

    suspend fun history(): HistoryAnswer = ProtoBuf.decodeFromByteArray(post(ConfigurationPaths.HISTORY))

    suspend fun rollback(request: RollbackRequest): ChangeAnswer =
        ProtoBuf.decodeFromByteArray(post(ConfigurationPaths.ROLLBACK, ProtoBuf.encodeToByteArray(request)))

    /** @param version the version to look up; 0 is the newest */
    suspend fun status(version: Long = 0): ConfigurationStatus =
        ProtoBuf.decodeFromByteArray(
            post(ConfigurationPaths.STATUS, ProtoBuf.encodeToByteArray(StatusRequest(version))),
        )

    private suspend fun post(
        path: String,
        body: ByteArray = ByteArray(0),
    ): ByteArray {
        val outcome = http.call(address, "POST", path, body, timeoutMs)
        if (outcome !is Outcome.Answer) throw NoAnswer("no answer from $address")
        if (outcome.status != HTTP_OK) throw NoAnswer("$address answers ${outcome.status}")
        return outcome.body
    }

    private companion object {
        const val HTTP_OK = 200
    }
}
