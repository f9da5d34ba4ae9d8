package micatally.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

// Messages between controllers (paths in micatally.peer.PeerPaths) and summaries in the state store, encoded as protocol
// buffers. The numbers are part of the protocol: they never change and are never used again.

/**
 * A task in a [MachineStatus].
 *
 * @property attempt number under which the task was started on the machine
 * @property status one of [ListedTask.STATUSES]
 * @property exitReason why an ended task has ended, in the worker's word (see [ExitReason]); empty if it has not
 * @property isSaved whether the task has saved a checkpoint before it ended
 */
@Serializable
class TaskStatus(
    @ProtoNumber(1) val jobId: String,
    @ProtoNumber(2) val taskIndex: Int,
    @ProtoNumber(3) val attempt: Long,
    @ProtoNumber(4) val status: String,
    @ProtoNumber(5) val exitReason: String = "",
    @ProtoNumber(6) val isSaved: Boolean = false,
)

/**
 * A worker's heartbeat, as forwarded by the controller that received it.
 *
 * @property addr host and port of the worker
 * @property type label of its [MachineType]
 * @property isSpot whether it is a spot instance
 * @property incarnation grows with each restart of the worker
 * @property sequence number of the heartbeat within the incarnation
 * @property spotNoticeS time until the spot instance is reclaimed, in seconds; negative without a notice
 * @property tasks empty in heartbeat acknowledgements
 * @property ageMs how long ago the heartbeat arrived, in milliseconds
 * @property changedAtSequence sequence of the heartbeat in which the tasks last changed: who knows none as recent has
 *   missed a change
 */
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
    @ProtoNumber(10) val ageMs: Long = 0,
    @ProtoNumber(11) val changedAtSequence: Long = 0,
)

/**
 * What one controller holds on one machine, for running tasks and reservations.
 *
 * @property images images that the controller's own tasks ran with there
 * @property imagesGb their sizes in gigabytes, in the same order
 */
@Serializable
data class HeldCapacity(
    @ProtoNumber(1) val machine: String,
    @ProtoNumber(2) val cores: Double = 0.0,
    @ProtoNumber(3) val gpus: Double = 0.0,
    @ProtoNumber(4) val memoryGb: Double = 0.0,
    @ProtoNumber(5) val images: List<String> = emptyList(),
    @ProtoNumber(6) val imagesGb: List<Double> = emptyList(),
)

/**
 * Tasks with equal requirements that wait for capacity.
 *
 * @property cores of one task, as are [gpus] and [memoryGb]
 * @property types labels of the machine types that they may run on; empty for all
 * @property zones zones that they may run in; empty for all
 * @property isSpot whether spot instances will do
 * @property count number of tasks
 * @property priority ordinal of the [Priority]: 0 is the most important
 * @property estimateS expected run time of one task, in seconds
 * @property zoneLimits for each of [zones], how many of the tasks may go there at most; empty for any number
 * @property isGang whether they start only all together; a controller of the previous version takes them for
 *   independent tasks
 */
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
    @ProtoNumber(12) val zoneLimits: List<Int> = emptyList(),
    @ProtoNumber(13) val isGang: Boolean = false,
)

/**
 * What a controller holds on machines and what waits there.
 *
 * Sent directly to peers, in a [PeerDelta], it is either full or holds the changes since an earlier version. Through the
 * state store it goes in partitions of one value each.
 *
 * @property host the controller
 * @property process its process; versions of different processes are not comparable
 * @property version grows with each change of the summary
 * @property held machines on which the controller holds anything. With a [baseVersion] only those that have changed since,
 *   a machine that was released as an empty entry. In a partition all whose names fall in it.
 * @property demand all requests that wait, also with a [baseVersion]; of the partitions only the first one has them
 * @property baseVersion the version that the changes refer to; 0 for a full summary
 * @property partitionIndex index of the partition, of [partitionCount]
 * @property partitionCount 0 in a summary that is sent directly
 * @property recentServices services that were submitted to the controller lately: what may come next
 */
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
    @ProtoNumber(9) val recentServices: List<ResourceRequest> = emptyList(),
)

/**
 * What has changed at a controller since its last delta to the receiver. Sent by each controller to each other one.
 *
 * @property machineStatuses machines whose heartbeats showed something new
 * @property summary null if the receiver has the present version
 * @property deletionRequests machines that the sender wants deleted, because they are silent or fail what they start
 * @property heartbeatAcknowledgements machines whose heartbeats the sender has received itself, without their tasks
 * @property hasStateStoreContact whether the sender has proof of contact with the state store from just now
 * @property host the sender
 */
@Serializable
class PeerDelta(
    @ProtoNumber(1) val machineStatuses: List<MachineStatus> = emptyList(),
    @ProtoNumber(2) val summary: CapacitySummary? = null,
    @ProtoNumber(3) val deletionRequests: List<String> = emptyList(),
    @ProtoNumber(4) val heartbeatAcknowledgements: List<MachineStatus> = emptyList(),
    @ProtoNumber(5) val hasStateStoreContact: Boolean = false,
    @ProtoNumber(6) val host: String = "",
)

/**
 * Response to a [PeerDelta].
 *
 * @property needsFullSummary the summary's changes refer to a version that the responder does not have
 * @property fencingToken the fencing token that the responder knows, if [cancelledTasks] lists all cancelled tasks of its
 *   shards; 0 otherwise
 * @property cancelledTasks tasks of cancelled jobs that are not proven to have ended: who receives heartbeats of their
 *   machines sends them the command to stop
 */
@Serializable
class PeerDeltaResponse(
    @ProtoNumber(1) val needsFullSummary: Boolean = false,
    @ProtoNumber(2) val fencingToken: Long = 0,
    @ProtoNumber(3) val cancelledTasks: List<CancelledTask> = emptyList(),
)

/** An attempt of a cancelled job's task, and the machine that it was placed on. */
@Serializable
class CancelledTask(
    @ProtoNumber(1) val machine: String,
    @ProtoNumber(2) val jobId: String,
    @ProtoNumber(3) val taskIndex: Int,
    @ProtoNumber(4) val attempt: Long,
)

/**
 * All tasks of a cancelled job. Sent by the leader of its shard to each other controller, which confirms with an empty
 * response.
 */
@Serializable
class CancelledTaskList(
    @ProtoNumber(1) val cancelledTasks: List<CancelledTask>,
)

/**
 * The machines whose heartbeats a controller has received itself, without their tasks. Written to the state store for
 * controllers that it can't reach directly.
 */
@Serializable
class HeartbeatAcknowledgements(
    @ProtoNumber(1) val machineStatuses: List<MachineStatus>,
)

/** Asks for the status of a job or cancels it, depending on the path. Sent to the leader of the job's shard. */
@Serializable
class PeerJobRequest(
    @ProtoNumber(1) val jobId: String,
)

/**
 * Response to a [PeerJobRequest].
 *
 * @property isKnown false if the responder can say nothing of the job; the other fields mean nothing then
 * @property status as in [JobAnswer.status]
 * @property doneCount number of completed tasks
 * @property runningCount number of running tasks
 */
@Serializable
class PeerJobResponse(
    @ProtoNumber(1) val isKnown: Boolean = false,
    @ProtoNumber(2) val status: String = "",
    @ProtoNumber(3) val doneCount: Int = 0,
    @ProtoNumber(4) val runningCount: Int = 0,
)
