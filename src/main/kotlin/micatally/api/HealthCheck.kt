package micatally.api

import micatally.http.HttpResponse
import micatally.job.JobManager
import micatally.membership.LeadershipState
import micatally.membership.Membership
import micatally.peer.Peers
import micatally.worker.MachineRegistry

/** Whether users' requests are to be routed to this controller. */
class HealthCheck(
    private val membership: Membership,
    private val jobManager: JobManager,
    private val machines: MachineRegistry,
    private val peers: Peers,
    private val contact: ControllerContact,
) {
    /** Answers 200, or 503 with the reason why other controllers serve users better. */
    fun health(): HttpResponse =
        when {
            !isStarted() -> unavailable("starting")
            isLoadOverdue() -> unavailable("the ledger can't be loaded")
            isBehindOthers() -> unavailable("no contact with the state service")
            contact.isCutOffFromWorkers && peers.contacts.hasStateStoreContact() ->
                unavailable(
                    "no contact with the workers",
                )
            else -> HttpResponse(OK, "{}".encodeToByteArray())
        }

    private fun isStarted(): Boolean {
        if (membership.checkLeadership() != LeadershipState.LEADING) return false
        return jobManager.ownShard() != null && machines.machineTypes.isNotEmpty()
    }

    private fun isLoadOverdue(): Boolean = jobManager.ownShard()?.let { jobManager.isLoadOverdue(it) } == true

    /**
     * Others can serve what this controller has to turn away. In an outage of the state store for all of them each stays healthy: polls
     * are still answered.
     */
    private fun isBehindOthers(): Boolean {
        if (contact.isStateReachable) return false
        return peers.contacts.hasStateStoreContact() || !peers.contacts.isAnyPeerHeard()
    }
}
