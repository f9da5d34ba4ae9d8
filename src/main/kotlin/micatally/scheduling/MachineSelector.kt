package micatally.scheduling

import micatally.gang.GangCandidate
import micatally.job.Attempt
import micatally.job.Job
import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.Resources
import micatally.worker.Machine

/** Whether a task may be placed where its image has to be pulled first. */
enum class ImagePreference { ANY_MACHINE, ONLY_WITH_IMAGE }

/**
 * Selects machines for the tasks of one job, best first. Scores are computed once: placing a task changes only the score of
 * its own machine and the task count of its zone.
 *
 * @param migrating an attempt that will have ended before the task starts elsewhere
 */
class MachineSelector(
    private val view: ClusterView,
    private val job: Job,
    private val spec: JobSpec,
    now: Long,
    private val imagePreference: ImagePreference = ImagePreference.ANY_MACHINE,
    migrating: Attempt? = null,
) {
    /** Services and gangs must start at once; that another controller may choose the same machine only worsens the score. */
    private val takesTurns = !spec.isService && !spec.isGang

    /** Capacity in which one of these more important requests fits is left alone. */
    private val reservingRequests = if (spec.isService) emptyList() else view.requestsBefore(spec.priority.ordinal)

    /** The zones in which the next task may start. */
    var zoneRule = Placement.zoneRule(job, spec, migrating)
        private set
    private val candidates = ArrayList<Candidate>()

    /** Whether a machine has capacity at which this controller's turn is still to come, so that none need be requested yet. */
    var isDeferred = false
        private set
    private var lastChoice: Candidate? = null

    init {
        for (machine in view.candidatesFor(spec)) {
            if (isAllowed(machine, now)) addCandidate(machine, now)
        }
    }

    private fun isAllowed(
        machine: Machine,
        now: Long,
    ): Boolean {
        val isAllowed =
            view.isUsable(machine, now) && Placement.mayUse(spec, machine) && !job.health.avoids(machine.name)
        return isAllowed && (imagePreference == ImagePreference.ANY_MACHINE || spec.image in machine.images)
    }

    private fun addCandidate(
        machine: Machine,
        now: Long,
    ) {
        val machineType = view.machines.machineTypes[machine.type] ?: return
        val candidate = Candidate(machine, machineType)
        if (!candidate.updateScore()) return
        if (takesTurns && !view.turns.hasTurn(machine, now)) {
            isDeferred = true
        } else {
            candidates.add(candidate)
        }
    }

    /** The best machine for one more task, or null. The caller has placed a task on the machine that it got before. */
    fun next(): Machine? {
        lastChoice?.let {
            if (!it.updateScore()) candidates.remove(it)
            zoneRule = Placement.zoneRule(job, spec)
        }
        val best = bestCandidate()
        lastChoice = best
        return best?.machine
    }

    /** Of machines with the same score the first by name. */
    private fun bestCandidate(): Candidate? {
        var best: Candidate? = null
        var bestScore = Double.MAX_VALUE
        for (candidate in candidates) {
            val machine = candidate.machine
            if (!zoneRule.allows(machine.zone)) continue
            val score = candidate.score + MachineScore.ofZone(spec, zoneRule.attemptsIn(machine.zone))
            val winsTie = score == bestScore && best != null && machine.name < best.machine.name
            if (score < bestScore || winsTie) {
                best = candidate
                bestScore = score
            }
        }
        return best
    }

    /** All machines, for tasks that are placed at once. */
    fun gangCandidates(): List<GangCandidate<Machine>> =
        candidates.filter { zoneRule.allows(it.machine.zone) }.map { it.toGangCandidate() }

    private inner class Candidate(
        val machine: Machine,
        private val machineType: MachineType,
    ) {
        var score = 0.0
            private set

        /** Computes the score anew; false if the task does not fit or the capacity is reserved. */
        fun updateScore(): Boolean {
            val free = machineType.resources - machine.used
            if (!spec.resources.fitsIn(free) || isReserved(free)) return false
            score = MachineScore.of(spec, machine, machineType, free)
            if (!takesTurns) score += view.turns.turnOf(machine) * TURN_WEIGHT
            return true
        }

        private fun isReserved(free: Resources): Boolean =
            reservingRequests.any { request ->
                view.mayUse(request, machine) &&
                    Resources(request.cores, request.gpus, request.memoryGb).fitsIn(free)
            }

        fun toGangCandidate(): GangCandidate<Machine> {
            val imagePullS = MachineScore.imagePullS(spec, machine, machineType)
            val capacity = spec.resources.countIn(machineType.resources - machine.used)
            val cost = score + imagePullS * (GANG_PULL_WEIGHT - 1)
            return GangCandidate(machine, machine.zone, capacity, imagePullS, cost)
        }
    }

    private companion object {
        /** What each turn that other controllers have before this one adds to a machine's score, for tasks that don't wait. */
        const val TURN_WEIGHT = 0.5

        /** A second of image pulling counts this much more for a gang, which starts with its slowest machine. */
        const val GANG_PULL_WEIGHT = 10
    }
}
