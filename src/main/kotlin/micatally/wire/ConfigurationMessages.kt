package micatally.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

// Messages between the operator's command line and a controller, and between controllers, about the configuration that is
// kept in the state store. Encoded as protocol buffers; the numbers and the order of enum values are part of the protocol.

/**
 * A team's guarantee and limit; 0 means none.
 *
 * @property cores guaranteed cores
 * @property coresMax limit of cores in use
 * @property gpus guaranteed gpus
 * @property gpusMax limit of gpus in use
 */
@Serializable
data class TeamSetting(
    @ProtoNumber(1) val name: String,
    @ProtoNumber(2) val cores: Double = 0.0,
    @ProtoNumber(3) val coresMax: Double = 0.0,
    @ProtoNumber(4) val gpus: Double = 0.0,
    @ProtoNumber(5) val gpusMax: Double = 0.0,
)

/**
 * A change of the configuration, all or nothing. Sent by the operator's command line.
 *
 * @property id chosen by the command line; a repetition under the same id changes nothing
 * @property base version that the change was made from
 * @property set teams to add or replace
 * @property remove names of teams to remove
 * @property isDryRun whether to check the change only
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

/** Outcome of a change. The order is part of the protocol. */
@Serializable
enum class ChangeStatus {
    /** Durable under the answer's version. */
    APPLIED,

    /** A dry run that would have been applied. */
    VALID,

    /** One of its teams has changed since its base; the answer names the present version. */
    CONFLICT,

    /** The change is wrong, see the errors; nothing was changed. */
    INVALID,

    /** Not applied, and it will not be: try again later. */
    UNAVAILABLE,

    /** Not known whether it was applied: repeat it under the same id. */
    UNKNOWN,

    /** The configuration is read from the settings files, so it can't be changed this way. */
    SWITCHED_OFF,
}

/** What is wrong with one line of a change; [team] is empty where the change as a whole is meant. */
@Serializable
data class LineError(
    @ProtoNumber(1) val team: String,
    @ProtoNumber(2) val message: String,
)

/**
 * Response to a [ConfigurationChange] or a [RollbackRequest].
 *
 * @property version version of the configuration: the one that holds the change if it was applied, else the present
 *   one; 0 if not known
 * @property errors what is wrong with an invalid change
 */
@Serializable
data class ChangeAnswer(
    @ProtoNumber(1) val status: ChangeStatus,
    @ProtoNumber(2) val version: Long = 0,
    @ProtoNumber(3) val errors: List<LineError> = emptyList(),
)

/**
 * The configuration as one controller has it. Response to a request for the configuration.
 *
 * @property isOn whether the configuration is kept in the state store
 */
@Serializable
data class ConfigurationView(
    @ProtoNumber(1) val isOn: Boolean,
    @ProtoNumber(2) val version: Long = 0,
    @ProtoNumber(3) val teams: List<TeamSetting> = emptyList(),
)

/**
 * A change in the history of the configuration.
 *
 * @property version the version that it led to
 * @property atMs when it was made, in milliseconds since the epoch
 * @property set number of teams that it added or replaced
 * @property removed number of teams that it removed
 */
@Serializable
data class HistoryEntry(
    @ProtoNumber(1) val version: Long,
    @ProtoNumber(2) val author: String,
    @ProtoNumber(3) val reason: String,
    @ProtoNumber(4) val atMs: Long,
    @ProtoNumber(5) val set: Int,
    @ProtoNumber(6) val removed: Int,
)

/**
 * Response to a request for the history.
 *
 * @property isAvailable false if the history could not be read from the state store
 */
@Serializable
data class HistoryAnswer(
    @ProtoNumber(1) val entries: List<HistoryEntry> = emptyList(),
    @ProtoNumber(2) val isAvailable: Boolean = true,
)

/**
 * Asks for the configuration of an earlier version again, as a new change. Sent by the operator's command line.
 *
 * @property id chosen by the command line; a repetition under the same id changes nothing
 * @property version the earlier version
 */
@Serializable
data class RollbackRequest(
    @ProtoNumber(1) val id: String,
    @ProtoNumber(2) val version: Long,
    @ProtoNumber(3) val author: String,
    @ProtoNumber(4) val reason: String,
)

/**
 * Asks how far a version has come. Sent by the operator's command line.
 *
 * @property version 0 for the newest
 */
@Serializable
data class StatusRequest(
    @ProtoNumber(1) val version: Long = 0,
)

/** Which version the controller on [host] decides by; 0 if that is not known. */
@Serializable
data class AppliedVersion(
    @ProtoNumber(1) val host: String,
    @ProtoNumber(2) val version: Long = 0,
)

/**
 * How far a version has come. Response to a [StatusRequest].
 *
 * @property isOn whether the configuration is kept in the state store
 * @property newest the newest version
 * @property isInForce whether no controller starts anything on an older version any more
 * @property inForceInMs milliseconds from now after which that holds at the latest; 0 when in force
 * @property applied the version of each controller
 * @property missing controllers that have not confirmed [version]
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
