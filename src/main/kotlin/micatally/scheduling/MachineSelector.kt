package micatally.scheduling

import micatally.gang.GangCandidate
import micatally.job.Attempt
import micatally.job.Job
import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.Resources
import micatally.worker.Machine

/** Whether a task may be placed on a machine that has to pull the image first. */
enum class ImagePreference { ANY_MACHINE, ONLY_WITH_IMAGE }

/**
 * Selects machines for the tasks of one job, best first. All scores are computed once at the start. After that, placing
 * a task changes only the score of its machine and the number of attempts in its zone.
 *
 * @param migrating an attempt that does not count for the zone rule, because it will have ended before the task starts
 * on the selected machine
 */
class MachineSelector(
    private val view: ClusterView,
    private val job: Job,
    private val spec: JobSpec,
    now: Long,
    private val imagePreference: ImagePreference = ImagePreference.ANY_MACHINE,
    migrating: Attempt? = null,
) {
    /**
     * Whether machines are skipped until this controller's turn at them has come. Services and gangs must start at once
     * and don't wait. For them, controllers that come earlier in the order only worsen the machine's score.
     */
    private val waitsForTurn = !spec.isService && !spec.isGang

    /**
     * The more important requests for which capacity is reserved: free capacity in which one of them fits is not used.
     */
    private val reservingRequests = if (spec.isService) emptyList() else view.reservingRequests(spec.priority.ordinal)

    /** Tells in which zones the next task may start. */
    var zoneRule = Placement.zoneRule(job, spec, migrating)
        private set
    private val candidates = ArrayList<Candidate>()

    /**
     * Whether a machine with enough free capacity was skipped because this controller's turn at it has not come yet. In
     * this case no further capacity is requested and nothing is preempted yet.
     */
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
        if (waitsForTurn && !view.turns.hasTurn(machine, now)) {
            isDeferred = true
        } else {
            candidates.add(candidate)
        }
    }

    /**
     * Returns the best machine for one more task, or null if there is none. Must be called only after a task has been
     * placed on the machine that the previous call returned.
     */
    fun next(): Machine? {
        lastChoice?.let {
            if (!it.updateScore()) candidates.remove(it)
            zoneRule = Placement.zoneRule(job, spec)
        }
        val best = bestCandidate()
        lastChoice = best
        return best?.machine
    }

    /** Returns the candidate with the lowest score. Among equal scores the first machine by name wins. */
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

    /** Returns all candidates in allowed zones, for tasks that are placed all at once. */
    fun gangCandidates(): List<GangCandidate<Machine>> =
        candidates.filter { zoneRule.allows(it.machine.zone) }.map { it.toGangCandidate() }

    private inner class Candidate(
        val machine: Machine,
        private val machineType: MachineType,
    ) {
        var score = 0.0
            private set

        /** Recomputes the score. Returns false if the task does not fit or the capacity is reserved. */
        fun updateScore(): Boolean {
            val free = machineType.resources - machine.used
            if (!spec.resources.fitsIn(free) || isReserved(free)) return false
            score = MachineScore.of(spec, machine, machineType, free)
            if (!waitsForTurn) score += view.turns.turnOf(machine) * TURN_WEIGHT
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
        /**
         * What each controller that comes before this one in the order at a machine adds to the machine's score, in
         * seconds. Used for tasks that don't wait for this controller's turn.
         */
        const val TURN_WEIGHT = 0.5

        /**
         * How many times each second of image pulling counts for a gang, which starts when its slowest machine is
         * ready.
         */
        const val GANG_PULL_WEIGHT = 10
    }
}
