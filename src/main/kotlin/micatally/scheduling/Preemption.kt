package micatally.scheduling

import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.StopReason
import micatally.settings.Settings
import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.Resources
import micatally.worker.CommandDispatcher
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
            rule: Placement.ZoneRule,
            queue: Int,
        ) = PlacementRequest(
            spec.resources,
            spec.priority.ordinal,
            queue,
            spec.jobId,
            { m -> Placement.kindAllowed(spec, m) && rule.allows(m.zone) },
            { m, f, free -> Placement.score(spec, m, f, free) + Placement.zoneScore(spec, rule.used[m.zone] ?: 0) },
        )
    }
}

/** Stops array tasks to make room for more important work. Gangs are neither stopped for others, nor are others for them. */
class Preemption(
    private val settings: Settings,
    private val view: ClusterView,
    private val queues: PriorityQueues,
    private val dispatcher: CommandDispatcher,
) {
    private val log = LoggerFactory.getLogger("micatally.scheduling")

    /** Room that stops under way will leave, as far as it is meant for a waiter already; worked out anew each round. */
    private val promised = HashMap<String, Resources>()
    private val stoppedForPeersAt = HashMap<String, Long>()

    fun beginCycle() = promised.clear()

    /** The design's stop: an array task past its queue's bound may be stopped once for a waiter two queues higher that
     * fits nowhere. Of the machines where that helps, the one is taken that the waiter would like best. True if there
     * is room under way now. */
    fun makeRoom(
        need: PlacementRequest,
        now: Long,
    ): Boolean {
        var best: List<Attempt> = emptyList()
        var bestScore = Double.MAX_VALUE
        for (m in view.machines.byName.values) {
            if (!view.isUsable(m, now) || !need.fits(m)) continue
            val f = view.machines.machineTypes[m.type] ?: continue
            var free = f.resources - m.used - (promised[m.name] ?: Resources.NONE)
            // Room that is on its way already.
            for (a in m.attempts) if (a.stop != null) free = free + (a.job.spec?.resources ?: Resources.NONE)
            if (need.resources.fitsIn(free)) {
                promised.merge(m.name, need.resources, Resources::plus)
                return true
            }
            val victims = ArrayList<Attempt>()
            for (a in m.attempts.filter { mayStop(it, need, f, now) }.sortedByDescending { it.runningSince ?: 0L }) {
                victims.add(a)
                free = free + a.job.spec!!.resources
                if (need.resources.fitsIn(free)) break
            }
            if (!need.resources.fitsIn(free) || victims.isEmpty()) continue
            val score = need.score(m, f, free) + victims.size
            if (score < bestScore) {
                best = victims
                bestScore = score
            }
        }
        val m = best.firstOrNull()?.machine ?: return false
        stop(best, need, now)
        promised.merge(m.name, need.resources, Resources::plus)
        dispatcher.requestSync(m)
        return true
    }

    private fun mayStop(
        a: Attempt,
        need: PlacementRequest,
        flavor: MachineType,
        now: Long,
    ): Boolean {
        val spec = a.job.spec ?: return false
        val isArray = !spec.isService && !spec.isGang
        if (!isArray || a.stop != null || a.state != AttemptState.RUNNING) return false
        if (a.taskIndex in a.job.stoppedOnce || spec.priority.ordinal <= need.priority) return false
        val ranS = (now - (a.runningSince ?: now)) / 1000.0
        if (!queues.pastBound(a.inherited, ranS) || queues.of(a.inherited + ranS) < need.queue + 2) return false
        // A task that never saves loses all it did: beyond what a new machine takes to boot that is not worth it.
        return spec.checkpointS > 0 || ranS <= flavor.readyS
    }

    private fun stop(
        victims: List<Attempt>,
        need: PlacementRequest,
        now: Long,
    ) {
        for (a in victims) {
            a.job.stoppedOnce.add(a.taskIndex)
            a.stop(StopReason.PREEMPTED, now)
            log.info("task {} stopped for {}", a, need.name)
        }
    }

    /** Another owner's service still waits though that owner has stopped what it could: now it is this one's turn. The
     * turns go round, so that not all make room for the same waiter. */
    fun makeRoomForPeers(now: Long) {
        val turnMs = settings.heartbeatIntervalMs * 2
        if (!view.isOwnTurn(now, turnMs)) return
        for (d in view.peerServices) {
            val key = "${d.image}/${d.gpus}/${d.cores}"
            if (now - (stoppedForPeersAt[key] ?: Long.MIN_VALUE / 2) < turnMs * view.controllers) continue
            stoppedForPeersAt[key] = now
            val resources = Resources(d.cores, d.gpus, d.memoryGb)
            val need =
                PlacementRequest(resources, d.priority, 0, "a peer's ${d.image}", { m ->
                    view.mayUse(
                        d,
                        m,
                    )
                }, { m, f, free ->
                    (
                        if (d.image in
                            m.images
                        ) {
                            0.0
                        } else {
                            30.0
                        }
                    ) +
                        (free - resources).gpus / maxOf(1.0, f.resources.gpus)
                })
            for (i in 0 until minOf(d.count, STOPS_A_ROUND)) if (!makeRoom(need, now)) break
        }
    }

    companion object {
        const val STOPS_A_ROUND = 8
    }
}
