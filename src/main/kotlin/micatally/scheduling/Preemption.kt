package micatally.scheduling

import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.StopReason
import micatally.settings.Settings
import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.worker.Machine
import org.slf4j.LoggerFactory

/**
 * Preempts tasks of arrays to free capacity for more important tasks. Services and gangs are never preempted, and
 * nothing is preempted for a gang.
 */
class Preemption(
    private val settings: Settings,
    private val view: ClusterView,
    private val queues: PriorityQueues,
    private val actions: PlacementActions,
) {
    /** The tasks to preempt on one machine, and the capacity that will be free there once they are gone. */
    private class VictimPlan(
        val machine: Machine,
        val victims: List<Attempt>,
        val freeAfter: Resources,
    )

    /** Identifies a peer's request for a service, to remember when this controller last preempted tasks for it. */
    private data class PeerServiceKey(
        val image: String,
        val gpus: Double,
        val cores: Double,
    )

    private val log = LoggerFactory.getLogger("micatally.scheduling")

    /** By machine name, the capacity that is reserved for pending tasks and that stopping tasks will free. */
    private val reservedByMachine = HashMap<String, Resources>()

    /** When this controller last tried to free capacity for each service of a peer, in ms. */
    private val preemptedForPeersAt = HashMap<PeerServiceKey, Long>()

    /** Drops all reservations. Each pass over the jobs makes new ones. */
    fun beginPass() = reservedByMachine.clear()

    /**
     * Frees capacity for one pending task that fits nowhere. A task of an array may be preempted if it has passed the
     * upper bound of its queue and the pending task has a more important priority and waits at least two queues higher.
     * Each task is preempted at most once. Of the machines where preemption frees enough capacity, the one that suits
     * the pending task best is chosen.
     *
     * @return whether enough capacity is being freed on some machine; it stays reserved for the task until the next
     * pass
     */
    fun freeCapacityFor(
        request: PlacementRequest,
        now: Long,
    ): Boolean {
        var best: VictimPlan? = null
        var bestScore = Double.MAX_VALUE
        for (machine in view.machines.byName.values) {
            if (!view.isUsable(machine, now) || !request.mayUse(machine)) continue
            val machineType = view.machines.machineTypes[machine.type] ?: continue
            val expectedFree = expectedFreeCapacity(machine, machineType)
            if (request.resources.fitsIn(expectedFree)) {
                reserve(machine, request)
                return true
            }
            val plan = planVictims(machine, machineType, expectedFree, request, now) ?: continue
            val score = request.score(machine, machineType, plan.freeAfter) + plan.victims.size
            if (score < bestScore) {
                best = plan
                bestScore = score
            }
        }
        val plan = best ?: return false
        preempt(plan.victims, request, now)
        reserve(plan.machine, request)
        actions.requestSync(plan.machine)
        return true
    }

    /** The capacity that will be free and not reserved once the attempts that are being stopped have ended. */
    private fun expectedFreeCapacity(
        machine: Machine,
        machineType: MachineType,
    ): Resources {
        var free = machineType.resources - machine.used - (reservedByMachine[machine.name] ?: Resources.NONE)
        for (attempt in machine.attempts) if (attempt.stop != null) free = free + resourcesOf(attempt)
        return free
    }

    /**
     * Chooses the tasks to preempt on the machine. Those that started last come first, as they lose the least progress.
     * Returns null if preempting all preemptible tasks would not free enough capacity.
     */
    private fun planVictims(
        machine: Machine,
        machineType: MachineType,
        expectedFree: Resources,
        request: PlacementRequest,
        now: Long,
    ): VictimPlan? {
        val preemptible = machine.attempts.filter { mayPreempt(it, request, machineType, now) }
        var free = expectedFree
        val victims = ArrayList<Attempt>()
        for (attempt in preemptible.sortedByDescending { it.runningSince ?: 0L }) {
            victims.add(attempt)
            free = free + resourcesOf(attempt)
            if (request.resources.fitsIn(free)) return VictimPlan(machine, victims, free)
        }
        return null
    }

    private fun mayPreempt(
        attempt: Attempt,
        request: PlacementRequest,
        machineType: MachineType,
        now: Long,
    ): Boolean {
        val spec = attempt.job.spec ?: return false
        val isArray = !spec.isService && !spec.isGang
        if (!isArray || attempt.stop != null || attempt.state != AttemptState.RUNNING) return false
        if (attempt.taskIndex in attempt.job.preemptedTasks || spec.priority.ordinal <= request.priority) return false
        val runS = (now - (attempt.runningSince ?: now)) / MS_PER_S
        if (!queues.hasPassedUpperBound(attempt.inheritedServiceS, runS)) return false
        if (queues.queueOf(attempt.inheritedServiceS + runS) < request.queue + QUEUES_ABOVE_VICTIM) return false
        // A task without checkpoints loses all its progress. Once that is more than the boot time of a new machine,
        // preempting it is not worth it.
        return spec.checkpointS > 0 || runS <= machineType.readyS
    }

    private fun preempt(
        victims: List<Attempt>,
        request: PlacementRequest,
        now: Long,
    ) {
        for (attempt in victims) {
            attempt.job.preemptedTasks.add(attempt.taskIndex)
            attempt.stop(StopReason.PREEMPTED, now)
            log.info("task {} preempted for {}", attempt, request.name)
        }
    }

    private fun reserve(
        machine: Machine,
        request: PlacementRequest,
    ) {
        reservedByMachine.merge(machine.name, request.resources, Resources::plus)
    }

    private fun resourcesOf(attempt: Attempt): Resources = attempt.job.spec?.resources ?: Resources.NONE

    /**
     * Preempts tasks of this controller for services of other controllers that are still pending although those
     * controllers have preempted what they could. Controllers take turns, so that they don't all free capacity for the
     * same service.
     */
    fun freeCapacityForPeers(now: Long) {
        val turnMs = settings.heartbeatIntervalMs * HEARTBEATS_PER_TURN
        if (!view.turns.isOwnTurn(now, turnMs)) return
        for (peerRequest in view.peerServiceRequests) {
            val key = PeerServiceKey(peerRequest.image, peerRequest.gpus, peerRequest.cores)
            val preemptedAt = preemptedForPeersAt[key] ?: NEVER
            if (now - preemptedAt < turnMs * view.turns.controllerCount) continue
            preemptedForPeersAt[key] = now
            freeCapacityForPeer(peerRequest, now)
        }
    }

    private fun freeCapacityForPeer(
        peerRequest: ResourceRequest,
        now: Long,
    ) {
        val request = PeerPlacementRequest(peerRequest, view)
        repeat(minOf(peerRequest.count, MAX_PREEMPTIONS_PER_CYCLE)) {
            if (!freeCapacityFor(request, now)) return
        }
    }

    /** Limits of preemption; [UnplacedTasks] uses one of them too. */
    companion object {
        /** For how many tasks of one request capacity is freed in one cycle. */
        const val MAX_PREEMPTIONS_PER_CYCLE = 8

        /** How many queues higher than a running task a pending task must wait to preempt it. */
        private const val QUEUES_ABOVE_VICTIM = 2

        /** How many heartbeat intervals a controller's turn to preempt for peers takes. */
        private const val HEARTBEATS_PER_TURN = 2
        private const val MS_PER_S = 1000.0
        private const val NEVER = Long.MIN_VALUE / 2
    }
}
