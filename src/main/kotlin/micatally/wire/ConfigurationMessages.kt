package micatally.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** A team's guarantee and limit; 0 means none. */
@Serializable
data class TeamSetting(
    @ProtoNumber(1) val name: String,
    @ProtoNumber(2) val cores: Double = 0.0,
    @ProtoNumber(3) val coresMax: Double = 0.0,
    @ProtoNumber(4) val gpus: Double = 0.0,
    @ProtoNumber(5) val gpusMax: Double = 0.0,
)

/**
 * A change of the configuration, all or nothing.
 *
 * @property id chosen by the operator's program; a repeat under the same id changes nothing
 * @property base version that the change was made from
 */
@Serializable
data class ConfigurationChange(
    @ProtoNumber(1) val id: String,
    @ProtoNumber(2) val base: Long,
    @ProtoNumber(3) val author: String,
    @ProtoNumber(4) val reason: String,
    @ProtoNumber(5) val set: List<TeamSetting> = emptyList(),
    @ProtoNumber(6) val remove: List<String> = emptyList(),
    @ProtoNumber(7) val isDryRun: Boolean = false,
)

/** What became of a change. */
@Serializable
enum class ChangeStatus {
    /** Durable under the answer's version. */
    APPLIED,

    /** It would have been applied. */
    VALID,

    /** One of its teams has changed since its base; the answer names the present version. */
    CONFLICT,

    /** A line is wrong; nothing was changed. */
    INVALID,

    /** Not carried out, and it will not be: try again later. */
    UNAVAILABLE,

    /** Nobody knows yet; repeat it under the same id. */
    UNKNOWN,

    /** The configuration is that of the settings files. */
    SWITCHED_OFF,
}

/** What is wrong with one line of a change; [team] is empty where the change as a whole is meant. */
@Serializable
data class LineError(
    @ProtoNumber(1) val team: String,
    @ProtoNumber(2) val message: String,
)

@Serializable
data class ChangeAnswer(
    @ProtoNumber(1) val status: ChangeStatus,
    @ProtoNumber(2) val version: Long = 0,
    @ProtoNumber(3) val errors: List<LineError> = emptyList(),
)

/** The configuration as one controller has it. */
@Serializable
data class ConfigurationView(
    @ProtoNumber(1) val isOn: Boolean,
    @ProtoNumber(2) val version: Long = 0,
    @ProtoNumber(3) val teams: List<TeamSetting> = emptyList(),
)

/** A change that is in the history. */
@Serializable
data class HistoryEntry(
    @ProtoNumber(1) val version: Long,
    @ProtoNumber(2) val author: String,
    @ProtoNumber(3) val reason: String,
    @ProtoNumber(4) val atMs: Long,
    @ProtoNumber(5) val set: Int,
    @ProtoNumber(6) val removed: Int,
)

@Serializable
data class HistoryAnswer(
    @ProtoNumber(1) val entries: List<HistoryEntry> = emptyList(),
    @ProtoNumber(2) val isAvailable: Boolean = true,
)

/** Asks for the configuration of [version] again, as a new change. */
@Serializable
data class RollbackRequest(
    @ProtoNumber(1) val id: String,
    @ProtoNumber(2) val version: Long,
    @ProtoNumber(3) val author: String,
    @ProtoNumber(4) val reason: String,
)

/** @property version the one whose state is asked for; 0: the newest */
@Serializable
data class StatusRequest(
    @ProtoNumber(1) val version: Long = 0,
)

/** Which version one controller decides by; 0 means that it is not known. */
@Serializable
data class AppliedVersion(
    @ProtoNumber(1) val host: String,
    @ProtoNumber(2) val version: Long = 0,
)

/**
 * How far a version has come.
 *
 * @property missing controllers that have not confirmed it
 * @property inForceInMs the latest time, from now, by which no controller starts anything on an older version; 0 when in force
 */
@Serializable
data class ConfigurationStatus(
    @ProtoNumber(1) val isOn: Boolean,
    @ProtoNumber(2) val version: Long = 0,
    @ProtoNumber(3) val newest: Long = 0,
    @ProtoNumber(4) val isInForce: Boolean = false,
    @ProtoNumber(5) val inForceInMs: Long = 0,
    @ProtoNumber(6) val applied: List<AppliedVersion> = emptyList(),
    @ProtoNumber(7) val missing: List<String> = emptyList(),
)
