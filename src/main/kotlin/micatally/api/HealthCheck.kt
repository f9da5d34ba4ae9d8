package micatally.api

import micatally.http.HttpResponse
import micatally.job.JobManager
import micatally.membership.LeadershipState
import micatally.membership.Membership
import micatally.peer.Peers
import micatally.worker.MachineRegistry

/** Decides whether users' requests are to be routed to this controller. */
class HealthCheck(
    private val membership: Membership,
    private val jobManager: JobManager,
    private val machines: MachineRegistry,
    private val peers: Peers,
    private val contact: ControllerContact,
) {
    /** Returns 200, or 503 with the reason why users' requests should go to other controllers. */
    fun health(): HttpResponse =
        when {
            !isStarted() -> unavailable("starting")
            isLoadOverdue() -> unavailable("the ledger can't be loaded")
            isCutOffFromStateStore() -> unavailable("no contact with the state service")
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
     * Whether this controller has lost the state store while others may still reach it and so can serve the requests
     * that this one has to refuse. If all controllers have lost the state store, each of them stays healthy, because
     * queries are still answered.
     */
    private fun isCutOffFromStateStore(): Boolean {
        if (contact.isStateReachable) return false
        return peers.contacts.hasStateStoreContact() || !peers.contacts.isAnyPeerHeard()
    }
}
