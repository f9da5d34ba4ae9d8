package micatally.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

// Messages between controllers (paths in micatally.peer.PeerPaths) and summaries in the state store, encoded as
// protocol buffers. The field numbers are part of the protocol: they never change, and the number of a removed field is
// not reused.

/**
 * A task in a [MachineStatus].
 *
 * @property attempt number of the attempt under which the task was started on the machine
 * @property status one of [ListedTask.STATUSES]
 * @property exitReason the worker's word for why the task has ended (see [ExitReason]); empty if it has not ended
 * @property isSaved whether the task saved a checkpoint before it ended
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
 * @property incarnation number that grows with each restart of the worker
 * @property sequence number of the heartbeat within the incarnation
 * @property spotNoticeS time until the spot instance is reclaimed, in seconds; negative if there is no notice
 * @property tasks empty in heartbeat acknowledgements
 * @property ageMs time since the heartbeat arrived, in milliseconds
 * @property changedAtSequence sequence of the heartbeat in which the tasks last changed. A receiver whose latest
 *   sequence of the same incarnation is lower has missed a change.
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
 * Resources that one controller occupies on one machine, with running tasks and reservations.
 *
 * @property images images that the controller's own tasks have used on the machine
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
 * A zone that tasks may share.
 *
 * @property count how many of the tasks find no free capacity in the zone
 */
@Serializable
data class ZoneOption(
    @ProtoNumber(1) val zone: String,
    @ProtoNumber(2) val count: Int,
)

/**
 * Tasks with equal requirements. They wait for capacity, except in [CapacitySummary.recentServices].
 *
 * @property cores cores that one task takes; [gpus] and [memoryGb] are also per task
 * @property types labels of the machine types that they may run on; empty for all
 * @property zones zones that they may run in; empty for all
 * @property isSpot whether they may run on spot instances
 * @property count number of tasks
 * @property priority ordinal of the [Priority]: 0 is the most important
 * @property estimateS expected run time of one task, in seconds
 * @property zoneLimits for each of [zones], the maximum number of the tasks there; empty if the number is not limited
 * @property isGang whether they only start all together. A controller of the previous version treats them as
 *   independent tasks.
 * @property jobId the job of the tasks; empty unless there are [zoneOptions]
 * @property zoneOptions the zones of which the tasks must share one, if they may share several; or else empty. [zones]
 *   then has only the one with the most free capacity, and [count] is that of this zone: a controller of the previous
 *   version requests machines there.
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
    @ProtoNumber(14) val jobId: String = "",
    @ProtoNumber(15) val zoneOptions: List<ZoneOption> = emptyList(),
)

/**
 * The resources that a controller occupies on machines, and its requests that wait for capacity.
 *
 * A controller sends it directly to its peers in a [PeerDelta]: either in full or as the changes since an earlier
 * version. In the state store it is split into partitions, each of which is one value.
 *
 * @property host host of the controller
 * @property process name of the controller's process. Versions of different processes are not comparable.
 * @property version number that grows with each change of the summary
 * @property held machines on which the controller occupies resources. If [baseVersion] is not 0, it has only the
 *   machines that have changed since; a released machine is then an empty entry. A partition has only the machines
 *   whose names fall into it.
 * @property demand all waiting requests, also if [baseVersion] is not 0. Only the first partition has them.
 * @property baseVersion the version that the changes refer to; 0 for a full summary
 * @property partitionIndex index of the partition, from 0 to [partitionCount] - 1
 * @property partitionCount number of partitions; 0 in a summary that is sent directly
 * @property recentServices services that were submitted to the controller recently, as a forecast of what comes next
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
 * The changes at a controller since its last delta to the receiver. Each controller sends deltas to each peer.
 *
 * @property machineStatuses machines whose heartbeats showed a change, or whose status the receiver has missed
 * @property summary null if the receiver has the current version
 * @property deletionRequests machines that the sender wants deleted, because no controller has received their
 *   heartbeats for too long
 * @property heartbeatAcknowledgements machines whose heartbeats the sender has received itself, without their tasks
 * @property hasStateStoreContact whether the sender has recent proof of contact with the state store
 * @property host host of the sender
 * @property process name of the sender's process, as in [CapacitySummary.process]
 * @property summaryVersion version of the sender's current summary, by which a receiver notices that it does not have
 *   it; 0 if the sender holds nothing yet or does not report it, [UNKNOWN_SUMMARY_VERSION] if the sender does not know
 *   what it holds, because it has not loaded all its shards
 */
@Serializable
class PeerDelta(
    @ProtoNumber(1) val machineStatuses: List<MachineStatus> = emptyList(),
    @ProtoNumber(2) val summary: CapacitySummary? = null,
    @ProtoNumber(3) val deletionRequests: List<String> = emptyList(),
    @ProtoNumber(4) val heartbeatAcknowledgements: List<MachineStatus> = emptyList(),
    @ProtoNumber(5) val hasStateStoreContact: Boolean = false,
    @ProtoNumber(6) val host: String = "",
    @ProtoNumber(7) val process: String = "",
    @ProtoNumber(8) val summaryVersion: Long = 0,
) {
    /** Special values of its fields. */
    companion object {
        const val UNKNOWN_SUMMARY_VERSION = -1L
    }
}

/**
 * Response to a [PeerDelta].
 *
 * @property needsFullSummary whether the responder does not have the version of the sender's summary that the delta
 *   reports or that its summary refers to
 * @property fencingToken the fencing token that the responder knows, if [cancelledTasks] lists all cancelled tasks of
 *   its shards; 0 if the list may be incomplete
 * @property cancelledTasks tasks of cancelled jobs that are not proven to have ended. A controller that receives
 *   heartbeats of their machines commands the machines to stop them.
 * @property missedMachines machines in [PeerDelta.heartbeatAcknowledgements] of which the responder has missed a newer
 *   status. The sender of the delta sends these statuses with a later one.
 */
@Serializable
class PeerDeltaResponse(
    @ProtoNumber(1) val needsFullSummary: Boolean = false,
    @ProtoNumber(2) val fencingToken: Long = 0,
    @ProtoNumber(3) val cancelledTasks: List<CancelledTask> = emptyList(),
    @ProtoNumber(4) val missedMachines: List<String> = emptyList(),
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
 * All tasks of a cancelled job. The leader of the job's shard sends it to each peer, which confirms it with an empty
 * response.
 */
@Serializable
class CancelledTaskList(
    @ProtoNumber(1) val cancelledTasks: List<CancelledTask>,
)

/**
 * The machines whose heartbeats a controller has received itself, without their tasks. The controller writes it to the
 * state store for peers that it can't reach directly.
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
 * @property isKnown whether the responder knows the job's status; if not, the other fields have no meaning
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

/** An attempt that a machine lists. */
@Serializable
class AttemptOnMachine(
    @ProtoNumber(1) val machine: String,
    @ProtoNumber(2) val jobId: String,
    @ProtoNumber(3) val taskIndex: Int,
    @ProtoNumber(4) val attempt: Long,
)

/** Asks a controller which of these attempts it wants, as the leader of their jobs. */
@Serializable
class OwnershipQuery(
    @ProtoNumber(1) val attempts: List<AttemptOnMachine> = emptyList(),
)

/**
 * Response to an [OwnershipQuery].
 *
 * @property ownedIndexes positions in [OwnershipQuery.attempts] of those that are the current attempts of jobs which the
 *   responder leads. The responder may not know its jobs yet, so the lack of a position proves nothing.
 */
@Serializable
class OwnershipResponse(
    @ProtoNumber(1) val ownedIndexes: List<Int> = emptyList(),
)
