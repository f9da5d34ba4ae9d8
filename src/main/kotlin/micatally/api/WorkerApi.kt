package micatally.api

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.errorResponse
import micatally.membership.LeadershipState
import micatally.membership.Membership
import micatally.peer.Peers
import micatally.settings.Settings
import micatally.wire.Command
import micatally.wire.CommandType
import micatally.wire.Heartbeat
import micatally.wire.MalformedMessage
import micatally.wire.bytes
import micatally.wire.heartbeatResponse
import micatally.wire.parseObject
import micatally.worker.AttemptId
import micatally.worker.CancelledTasks
import micatally.worker.MachineRegistry
import micatally.worker.StatusSource

/** Workers' reports. A 200 keeps a worker's tasks alive, so it is given only while this node is entitled to. */
class WorkerApi(
    private val settings: Settings,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val peers: Peers,
    private val cancelledTasks: CancelledTasks,
    private val nowMs: () -> Long,
) {
    private val redirects = WorkerRedirects(settings, machines, nowMs) { peers.bestFor(it) }

    fun report(request: HttpRequest): HttpResponse {
        val report =
            try {
                Heartbeat.parse(parseObject(request.body))
            } catch (e: MalformedMessage) {
                return errorResponse(
                    400,
                    e.message ?: "",
                )
            }
        val m = machines.of(report.machine)
        val before = m?.tasks
        val news = machines.apply(report, StatusSource.HEARTBEAT)
        val known = machines.findOrAdd(report.machine, report.addr, report.type, report.zone, report.spot)
        if (news && (before == null || differs(before, report))) peers.tell(known)
        // The node does not know the fencing token that the worker knows: it may have been replaced without having heard.
        if (report.token > membership.sharedKeys.fencingToken) {
            membership.catchUp(NOTHING_MORE)
            return refuse()
        }
        if (membership.checkLeadership() != LeadershipState.LEADING) return refuse()
        // Others reach the state service and this node does not: they know of cancellations that it can't hear of.
        if (isAloneWithoutState()) return refuse()
        if (known.deleted) return refuse()
        redirects
            .targetFor(
                known,
                report,
            )?.let { return HttpResponse(421, buildJsonObject { put("marshal", it) }.bytes()) }
        known.heardHereAt = nowMs()
        return HttpResponse(200, heartbeatResponse(membership.sharedKeys.fencingToken, killsFor(report)).bytes())
    }

    /**
     * A peer's word counts only if it is newer than the time from which this node has been without contact for too long. When a
     * zone is cut off both end at the same moment: a worker refused then finds no other controller within its lease.
     */
    private fun isAloneWithoutState(): Boolean {
        val longestMs = settings.leaseMs * 3 / 10
        val overdueMs = membership.viewAgeMs - longestMs
        return overdueMs > 0 && peers.somePeerHasStateSince(nowMs() - overdueMs)
    }

    private fun differs(
        before: List<micatally.wire.ListedTask>,
        r: Heartbeat,
    ) = before.size != r.tasks.size || r.spotNoticeS != null ||
        before.zip(r.tasks).any { (a, b) ->
            a.jobId != b.jobId || a.taskIndex != b.taskIndex || a.attempt != b.attempt ||
                a.status != b.status
        }

    /** Tasks of cancelled jobs whose owner can't reach the machine. */
    private fun killsFor(r: Heartbeat): List<Command> =
        r.tasks
            .filter {
                !it.ended && cancelledTasks.has(r.machine, AttemptId(it.jobId, it.taskIndex, it.attempt))
            }.map { Command(CommandType.KILL, it.jobId, it.taskIndex, it.attempt, 0.0) }

    private fun refuse(): HttpResponse {
        val other = peers.leadingPeer()
        return HttpResponse(421, buildJsonObject { if (other != null) put("marshal", other) }.bytes())
    }

    private companion object {
        val NOTHING_MORE = {}
    }
}
