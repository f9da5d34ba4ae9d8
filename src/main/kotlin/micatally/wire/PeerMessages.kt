package micatally.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** A task line of a report, handed on to other controllers. */
@Serializable
class TaskStatus(
    @ProtoNumber(1) val jobId: String,
    @ProtoNumber(2) val taskIndex: Int,
    @ProtoNumber(3) val attempt: Long,
    @ProtoNumber(4) val status: String,
    @ProtoNumber(5) val exitReason: String = "",
    @ProtoNumber(6) val isSaved: Boolean = false,
)

/** A worker's report as handed on by the controller that got it. */
@Serializable
class MachineStatus(
    @ProtoNumber(1) val machine: String,
    @ProtoNumber(2) val addr: String,
    @ProtoNumber(3) val type: String,
    @ProtoNumber(4) val zone: String,
    @ProtoNumber(5) val isSpot: Boolean,
    @ProtoNumber(6) val incarnation: Long,
    @ProtoNumber(7) val sequence: Long,
    @ProtoNumber(8) val spotNoticeS: Double = -1.0,
    @ProtoNumber(9) val tasks: List<TaskStatus> = emptyList(),
    /** How long ago the report came, in milliseconds. */
    @ProtoNumber(10) val ageMs: Long = 0,
    /** The tick of the report in which its tasks last changed: who has heard of none as late lacks something. */
    @ProtoNumber(11) val changedAtSequence: Long = 0,
)

/** What one owner holds on one machine, together with the images that its own tasks ran with there and their sizes. */
@Serializable
data class HeldCapacity(
    @ProtoNumber(1) val machine: String,
    @ProtoNumber(2) val cores: Double = 0.0,
    @ProtoNumber(3) val gpus: Double = 0.0,
    @ProtoNumber(4) val memoryGb: Double = 0.0,
    @ProtoNumber(5) val images: List<String> = emptyList(),
    @ProtoNumber(6) val imagesGb: List<Double> = emptyList(),
)

/** Tasks of one shape that find no room. */
@Serializable
data class ResourceRequest(
    @ProtoNumber(1) val cores: Double,
    @ProtoNumber(2) val gpus: Double,
    @ProtoNumber(3) val memoryGb: Double,
    @ProtoNumber(4) val types: List<String> = emptyList(),
    @ProtoNumber(5) val zones: List<String> = emptyList(),
    @ProtoNumber(6) val isSpot: Boolean = false,
    @ProtoNumber(7) val count: Int = 1,
    @ProtoNumber(8) val priority: Int = 0,
    @ProtoNumber(9) val isService: Boolean = false,
    @ProtoNumber(10) val estimateS: Double = 0.0,
    @ProtoNumber(11) val image: String = "",
    /** For each of [zones], how many of them may go there at the most; empty: any number. */
    @ProtoNumber(12) val zoneLimits: List<Int> = emptyList(),
    /** They start only all together; a receiver of the previous version takes them for independent ones. */
    @ProtoNumber(13) val isGang: Boolean = false,
)

/** An owner's free-room summary: what it holds where, and what it could not place. With a [baseVersion] only the rooms are in
 * it that have changed since the summary of that number, those given up as empty ones; the demand is always whole.
 * Through the state service it goes in pieces of one value each: piece [partitionIndex] of [partitionCount] holds all rooms whose
 * machines fall in it, and the first one holds the demand. */
@Serializable
class CapacitySummary(
    @ProtoNumber(1) val host: String,
    @ProtoNumber(2) val process: String,
    @ProtoNumber(3) val version: Long,
    @ProtoNumber(4) val held: List<HeldCapacity> = emptyList(),
    @ProtoNumber(5) val demand: List<ResourceRequest> = emptyList(),
    @ProtoNumber(6) val baseVersion: Long = 0,
    @ProtoNumber(7) val partitionIndex: Int = 0,
    @ProtoNumber(8) val partitionCount: Int = 0,
    /** Services that were submitted here lately, by shape: what may come next. */
    @ProtoNumber(9) val recentServices: List<ResourceRequest> = emptyList(),
)

@Serializable
class PeerDeltaResponse(
    /** The changes did not join on to what the receiver has: it needs the whole summary. */
    @ProtoNumber(1) val needsFullSummary: Boolean = false,
    /** The fencing token that the answering node knows, if it knows all cancelled tasks of its shards; 0 if it doesn't. */
    @ProtoNumber(2) val fencingToken: Long = 0,
    /** Tasks of cancelled jobs that are not proven gone: whoever hears their machines hands the stop on. */
    @ProtoNumber(3) val cancelledTasks: List<CancelledTask> = emptyList(),
)

@Serializable
class CancelledTask(
    @ProtoNumber(1) val machine: String,
    @ProtoNumber(2) val jobId: String,
    @ProtoNumber(3) val taskIndex: Int,
    @ProtoNumber(4) val attempt: Long,
)

/** All tasks of a job that was cancelled. */
@Serializable
class CancelledTaskList(
    @ProtoNumber(1) val cancelledTasks: List<CancelledTask>,
)

@Serializable
class PeerDelta(
    @ProtoNumber(1) val machineStatuses: List<MachineStatus> = emptyList(),
    @ProtoNumber(2) val summary: CapacitySummary? = null,
    /** Machines that the sender wants deleted, because they are silent or fail what they start. */
    @ProtoNumber(3) val deletionRequests: List<String> = emptyList(),
    /** Machines that the sender has heard itself, without their tasks. */
    @ProtoNumber(4) val heartbeatAcknowledgements: List<MachineStatus> = emptyList(),
    /** Whether the sender has proof of contact with the state service from just now. */
    @ProtoNumber(5) val hasStateStoreContact: Boolean = false,
    @ProtoNumber(6) val host: String = "",
)

/** What a node writes to the state service for nodes that can't be told directly. */
@Serializable
class HeartbeatAcknowledgements(
    @ProtoNumber(1) val machineStatuses: List<MachineStatus>,
)

@Serializable
class PeerJobRequest(
    @ProtoNumber(1) val jobId: String,
)

@Serializable
class PeerJobResponse(
    @ProtoNumber(1) val isKnown: Boolean = false,
    @ProtoNumber(2) val status: String = "",
    @ProtoNumber(3) val doneCount: Int = 0,
    @ProtoNumber(4) val runningCount: Int = 0,
)
