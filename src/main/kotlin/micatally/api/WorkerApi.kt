package micatally.api

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
import micatally.wire.ListedTask
import micatally.wire.MalformedMessage
import micatally.wire.bytes
import micatally.wire.heartbeatResponse
import micatally.wire.parseObject
import micatally.wire.redirectBody
import micatally.worker.AttemptId
import micatally.worker.CancelledTasks
import micatally.worker.MachineRegistry
import micatally.worker.StatusSource

/**
 * Workers' heartbeats. A 200 renews the worker's lease and so keeps its tasks alive; it is given only while this controller may act, and
 * so would hear of a cancellation in time.
 */
class WorkerApi(
    private val settings: Settings,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val peers: Peers,
    private val cancelledTasks: CancelledTasks,
    private val nowMs: () -> Long,
) {
    private val redirects = WorkerRedirects(settings, machines, nowMs) { peers.zoneRedirects.bestControllerFor(it) }

    /**
     * Applies the heartbeat, whatever the answer to it: it is news about the machine in any case.
     *
     * Answers 200 with the tasks to be killed, 421 with the controller to report to instead, or 400.
     */
    fun handleHeartbeat(request: HttpRequest): HttpResponse {
        val heartbeat =
            try {
                Heartbeat.parse(parseObject(request.body))
            } catch (e: MalformedMessage) {
                return errorResponse(BAD_REQUEST, e.message ?: "")
            }
        val tasksBefore = machines.of(heartbeat.machine)?.tasks
        val isNewer = machines.apply(heartbeat, StatusSource.HEARTBEAT)
        val machine =
            machines.findOrAdd(heartbeat.machine, heartbeat.addr, heartbeat.type, heartbeat.zone, heartbeat.isSpot)
        if (isNewer && isWorthForwarding(heartbeat, tasksBefore)) peers.requestDelta(machine)
        if (!mayRenewLease(heartbeat) || machine.deleted) return redirectTo(peers.contacts.redirectTarget())
        redirects.targetFor(machine, heartbeat)?.let { return redirectTo(it) }
        machine.heardHereAt = nowMs()
        val response = heartbeatResponse(membership.sharedKeys.fencingToken, killsFor(heartbeat))
        return HttpResponse(OK, response.bytes())
    }

    private fun mayRenewLease(heartbeat: Heartbeat): Boolean {
        // This controller does not know a fencing token that the worker knows: it may have been replaced without having heard.
        if (heartbeat.token > membership.sharedKeys.fencingToken) {
            membership.catchUp(NO_CONTINUATION)
            return false
        }
        if (membership.checkLeadership() != LeadershipState.LEADING) return false
        // Others reach the state store and this controller does not: they know of cancellations of which it can't hear.
        return !isAloneWithoutState()
    }

    /**
     * A peer's word counts only if it is newer than the time from which this controller has been without contact for too long. When a
     * zone is cut off both end at the same moment: a worker refused then finds no other controller within its lease.
     */
    private fun isAloneWithoutState(): Boolean {
        val longestMs = settings.leaseMs * STATE_CONTACT_TENTHS / TENTHS
        val overdueMs = membership.viewAgeMs - longestMs
        return overdueMs > 0 && peers.contacts.hasStateStoreContactSince(nowMs() - overdueMs)
    }

    /** Whether the leaders of the tasks learn something from the heartbeat. */
    private fun isWorthForwarding(
        heartbeat: Heartbeat,
        tasksBefore: List<ListedTask>?,
    ): Boolean {
        if (tasksBefore == null || tasksBefore.size != heartbeat.tasks.size) return true
        if (heartbeat.spotNoticeS != null) return true
        return tasksBefore.zip(heartbeat.tasks).any { (before, now) ->
            AttemptId.of(before) != AttemptId.of(now) || before.status != now.status
        }
    }

    /** Kills for tasks of cancelled jobs, whose leaders may not be able to reach the machine. */
    private fun killsFor(heartbeat: Heartbeat): List<Command> =
        heartbeat.tasks
            .filter { !it.isEnded && cancelledTasks.has(heartbeat.machine, AttemptId.of(it)) }
            .map { Command(CommandType.KILL, it.jobId, it.taskIndex, it.attempt, graceS = 0.0) }

    private fun redirectTo(controller: String?) = HttpResponse(MISDIRECTED, redirectBody(controller).bytes())

    private companion object {
        /** One and the same object for all calls, so that it is registered once. */
        val NO_CONTINUATION = {}
    }
}
