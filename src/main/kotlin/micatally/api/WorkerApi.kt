package micatally.api

import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.errorResponse
import micatally.membership.LeadershipState
import micatally.membership.Membership
import micatally.ownership.UnownedTasks
import micatally.peer.Peers
import micatally.settings.Settings
import micatally.wire.Command
import micatally.wire.CommandType
import micatally.wire.Heartbeat
import micatally.wire.MalformedMessage
import micatally.wire.bytes
import micatally.wire.heartbeatResponse
import micatally.wire.parseObject
import micatally.wire.redirectBody
import micatally.worker.AttemptId
import micatally.worker.CancelledTasks
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import micatally.worker.StatusSource

/**
 * Handles the heartbeats of workers. A 200 renews the worker's lease and so keeps its tasks running. It is returned
 * only while this controller is sure to learn of a cancellation in time.
 */
class WorkerApi(
    private val settings: Settings,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val peers: Peers,
    private val cancelledTasks: CancelledTasks,
    private val unownedTasks: UnownedTasks,
    private val nowMs: () -> Long,
) {
    private val redirects = WorkerRedirects(settings, machines, nowMs) { peers.zoneRedirects.bestControllerFor(it) }

    /**
     * Applies the heartbeat to the machine registry, whatever the response: it shows the present state of the machine
     * in any case.
     *
     * Returns 200 with the tasks to kill, 421 with the controller to report to instead, or 400 if the heartbeat is
     * malformed.
     */
    fun handleHeartbeat(request: HttpRequest): HttpResponse {
        val heartbeat =
            try {
                Heartbeat.parse(parseObject(request.body, Heartbeat.KNOWN_FIELDS))
            } catch (e: MalformedMessage) {
                return errorResponse(BAD_REQUEST, e.message ?: "")
            }
        val isNewer = machines.apply(heartbeat, StatusSource.HEARTBEAT)
        val machine =
            machines.findOrAdd(heartbeat.machine, heartbeat.addr, heartbeat.type, heartbeat.zone, heartbeat.isSpot)
        if (isNewer && isWorthForwarding(heartbeat, machine)) {
            peers.requestDelta(machine)
            unownedTasks.update(machine)
        }
        if (!mayRenewLease(heartbeat) || machine.deleted) return redirectTo(peers.contacts.redirectTarget())
        redirects.targetFor(machine, heartbeat)?.let { return redirectTo(it) }
        machine.heardHereAt = nowMs()
        val response =
            heartbeatResponse(
                membership.sharedKeys.fencingToken,
                killsFor(heartbeat) + unownedTasks.commandsFor(heartbeat),
            )
        return HttpResponse(OK, response.bytes())
    }

    /** Whether this controller may renew the lease of the worker that sent the heartbeat. */
    private fun mayRenewLease(heartbeat: Heartbeat): Boolean {
        // The worker knows a higher fencing token than this controller. Another controller may have taken over this
        // one's shards without this one having learned of it.
        if (heartbeat.token > membership.sharedKeys.fencingToken) {
            membership.catchUp(NO_CONTINUATION)
            return false
        }
        if (membership.checkLeadership() != LeadershipState.LEADING) return false
        // Other controllers that reach the state store may know of cancellations that this controller can't learn of
        // without it.
        return !isAloneWithoutStateStore()
    }

    /**
     * Whether this controller has lost the state store for too long while a peer still reaches it. A peer's report
     * counts only if it is newer than the time at which the loss became too long. When a zone is cut off, the contact
     * with the peers and with the state store ends at the same moment. A worker that is refused then would find no
     * other controller within its lease, so older reports must not count.
     */
    private fun isAloneWithoutStateStore(): Boolean {
        val maxViewAgeMs = settings.leaseMs * STATE_CONTACT_TENTHS / TENTHS
        val overdueMs = membership.viewAgeMs - maxViewAgeMs
        return overdueMs > 0 && peers.contacts.hasStateStoreContactSince(nowMs() - overdueMs)
    }

    /** Whether the heartbeat, which was just applied to the machine, contains something new for other controllers. */
    private fun isWorthForwarding(
        heartbeat: Heartbeat,
        machine: Machine,
    ) = heartbeat.spotNoticeS != null || machine.changedAtSequence == heartbeat.sequence

    /**
     * Kill commands for the listed tasks of cancelled jobs. The leaders of their shards may be unable to reach the
     * machine.
     */
    private fun killsFor(heartbeat: Heartbeat): List<Command> =
        heartbeat.tasks
            .filter { !it.isEnded && cancelledTasks.has(heartbeat.machine, AttemptId.of(it)) }
            .map { Command(CommandType.KILL, it.jobId, it.taskIndex, it.attempt, graceS = 0.0) }

    private fun redirectTo(controller: String?) = HttpResponse(MISDIRECTED, redirectBody(controller).bytes())

    private companion object {
        /** The same object for all calls of [Membership.catchUp], so that it is registered only once. */
        val NO_CONTINUATION = {}
    }
}
