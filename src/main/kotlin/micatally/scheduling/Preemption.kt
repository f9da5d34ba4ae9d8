package micatally.scheduling

import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.StopReason
import micatally.settings.Settings
import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.Resources
import micatally.worker.Machine
import org.slf4j.LoggerFactory

/** A waiting task that fits nowhere, of this owner or of another one. */
class PlacementRequest(
    val resources: Resources,
    val priority: Int,
    val queue: Int,
    val name: String,
    val fits: (Machine) -> Boolean,
    val score: (Machine, MachineType, Resources) -> Double,
) {
    companion object {
        fun of(
            spec: JobSpec,
            zoneRule: ZoneRule,
            queue: Int,
        ) = PlacementRequest(
            spec.resources,
            spec.priority.ordinal,
            queue,
            spec.jobId,
            { machine -> Placement.mayUse(spec, machine) && zoneRule.allows(machine.zone) },
            { machine, machineType, free ->
                MachineScore.of(spec, machine, machineType, free) +
                    MachineScore.ofZone(spec, zoneRule.attemptsIn(machine.zone))
            },
        )
    }
}

/** Stops array tasks to make room for more important work. Gangs are neither stopped for others, nor are others for them. */
class Preemption(
    private val settings: Settings,
    private val view: ClusterView,
    private val queues: PriorityQueues,
    private val actions: PlacementActions,
) {
    private val log = LoggerFactory.getLogger("micatally.scheduling")

    /** Room that stops under way will leave, as far as it is meant for a waiter already; worked out anew each round. */
    private val reservedByMachine = HashMap<String, Resources>()
    private val preemptedForPeersAt = HashMap<String, Long>()

    fun beginCycle() = reservedByMachine.clear()

    /** The design's stop: an array task past its queue's bound may be stopped once for a waiter two queues higher that
     * fits nowhere. Of the machines where that helps, the one is taken that the waiter would like best. True if there
     * is room under way now. */
    fun freeCapacityFor(
        request: PlacementRequest,
        now: Long,
    ): Boolean {
        var best: List<Attempt> = emptyList()
        var bestScore = Double.MAX_VALUE
        for (machine in view.machines.byName.values) {
            if (!view.isUsable(machine, now) || !request.fits(machine)) continue
            val machineType = view.machines.machineTypes[machine.type] ?: continue
            var free = machineType.resources - machine.used - (reservedByMachine[machine.name] ?: Resources.NONE)
            // Room that is on its way already.
            for (attempt in machine.attempts) {
                if (attempt.stop !=
                    null
                ) {
                    free = free + (attempt.job.spec?.resources ?: Resources.NONE)
                }
            }
            if (request.resources.fitsIn(free)) {
                reservedByMachine.merge(machine.name, request.resources, Resources::plus)
                return true
            }
            val victims = ArrayList<Attempt>()
            for (attempt in machine.attempts.filter { mayPreempt(it, request, machineType, now) }.sortedByDescending {
                it.runningSince
                    ?: 0L
            }) {
                victims.add(attempt)
                free = free + attempt.job.spec!!.resources
                if (request.resources.fitsIn(free)) break
            }
            if (!request.resources.fitsIn(free) || victims.isEmpty()) continue
            val score = request.score(machine, machineType, free) + victims.size
            if (score < bestScore) {
                best = victims
                bestScore = score
            }
        }
        val machine = best.firstOrNull()?.machine ?: return false
        preempt(best, request, now)
        reservedByMachine.merge(machine.name, request.resources, Resources::plus)
        actions.requestSync(machine)
        return true
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
        if (attempt.taskIndex in attempt.job.stoppedOnce || spec.priority.ordinal <= request.priority) return false
        val runS = (now - (attempt.runningSince ?: now)) / 1000.0
        if (!queues.hasPassedBound(attempt.inherited, runS) ||
            queues.queueOf(attempt.inherited + runS) < request.queue + 2
        ) {
            return false
        }
        // A task that never saves loses all it did: beyond what a new machine takes to boot that is not worth it.
        return spec.checkpointS > 0 || runS <= machineType.readyS
    }

    private fun preempt(
        victims: List<Attempt>,
        request: PlacementRequest,
        now: Long,
    ) {
        for (attempt in victims) {
            attempt.job.stoppedOnce.add(attempt.taskIndex)
            attempt.stop(StopReason.PREEMPTED, now)
            log.info("task {} preempted for {}", attempt, request.name)
        }
    }

    /** Another owner's service still waits though that owner has stopped what it could: now it is this one's turn. The
     * turns go round, so that not all make room for the same waiter. */
    fun freeCapacityForPeers(now: Long) {
        val turnMs = settings.heartbeatIntervalMs * 2
        if (!view.isOwnTurn(now, turnMs)) return
        for (peerRequest in view.peerServiceRequests) {
            val key = "${peerRequest.image}/${peerRequest.gpus}/${peerRequest.cores}"
            if (now - (preemptedForPeersAt[key] ?: Long.MIN_VALUE / 2) < turnMs * view.controllerCount) continue
            preemptedForPeersAt[key] = now
            val resources = Resources(peerRequest.cores, peerRequest.gpus, peerRequest.memoryGb)
            val request =
                PlacementRequest(resources, peerRequest.priority, 0, "a peer's ${peerRequest.image}", { machine ->
                    view.mayUse(
                        peerRequest,
                        machine,
                    )
                }, { machine, machineType, free ->
                    (
                        if (peerRequest.image in
                            machine.images
                        ) {
                            0.0
                        } else {
                            30.0
                        }
                    ) +
                        (free - resources).gpus / maxOf(1.0, machineType.resources.gpus)
                })
            for (
            index in 0 until
                minOf(
                    peerRequest.count,
                    MAX_PREEMPTIONS_PER_CYCLE,
                )
            ) {
                if (!freeCapacityFor(request, now)) break
            }
        }
    }

    companion object {
        const val MAX_PREEMPTIONS_PER_CYCLE = 8
    }
}
