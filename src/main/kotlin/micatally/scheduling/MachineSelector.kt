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
 * The machines that could take tasks of a job, best first. Scores are worked out once: placing one task changes that of
 * its own machine only, and what its zone counts.
 *
 * @param migrating an attempt that will be gone before the task starts elsewhere
 */
class MachineSelector(
    private val view: ClusterView,
    private val job: Job,
    private val spec: JobSpec,
    now: Long,
    private val imagePreference: ImagePreference = ImagePreference.ANY_MACHINE,
    migrating: Attempt? = null,
) {
    /** Services and gangs are to start at once; that another owner may choose the same room only counts against it. */
    private val takesTurns = !spec.isService && !spec.isGang

    /** Room that a more important waiter is short of is not filled again. */
    private val reservingRequests = if (spec.isService) emptyList() else view.requestsBefore(spec.priority.ordinal)

    var zoneRule = Placement.zoneRule(job, spec, migrating)
        private set
    private val candidates = ArrayList<Candidate>()

    /** There is room whose turn is still to come, so that more machines need not be asked for yet. */
    var isDeferred = false
        private set
    private var lastChoice: Candidate? = null

    init {
        for (machine in view.candidatesFor(spec)) {
            if (!isAllowed(machine, now) || !suitsImagePreference(machine)) continue
            val machineType = view.machines.machineTypes[machine.type] ?: continue
            val candidate = Candidate(machine, machineType)
            if (!candidate.updateScore()) continue
            if (takesTurns && !view.hasTurn(machine, now)) isDeferred = true else candidates.add(candidate)
        }
    }

    private fun isAllowed(
        machine: Machine,
        now: Long,
    ): Boolean = view.isUsable(machine, now) && Placement.mayUse(spec, machine) && !job.health.avoids(machine.name)

    private fun suitsImagePreference(machine: Machine): Boolean =
        imagePreference == ImagePreference.ANY_MACHINE || spec.image in machine.images

    /** The best machine for one more task; the one given before has been filled meanwhile. */
    fun next(): Machine? {
        lastChoice?.let {
            if (!it.updateScore()) candidates.remove(it)
            zoneRule = Placement.zoneRule(job, spec)
        }
        var best: Candidate? = null
        var bestScore = Double.MAX_VALUE
        for (candidate in candidates) {
            val machine = candidate.machine
            if (!zoneRule.allows(machine.zone)) continue
            val score = candidate.score + MachineScore.ofZone(spec, zoneRule.attemptsIn(machine.zone))
            if (score < bestScore || score == bestScore && machine.name < best!!.machine.name) {
                best = candidate
                bestScore = score
            }
        }
        lastChoice = best
        return best?.machine
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

        /** False if there is no room. */
        fun updateScore(): Boolean {
            val free = machineType.resources - machine.used
            if (!spec.resources.fitsIn(free) || isReserved(free)) return false
            score = MachineScore.of(spec, machine, machineType, free)
            if (!takesTurns) score += view.turnOf(machine) * TURN_WEIGHT
            return true
        }

        private fun isReserved(free: Resources) =
            reservingRequests.any { view.mayUse(it, machine) && Resources(it.cores, it.gpus, it.memoryGb).fitsIn(free) }

        fun toGangCandidate(): GangCandidate<Machine> {
            val imagePullS = MachineScore.imagePullS(spec, machine, machineType)
            val capacity = spec.resources.countIn(machineType.resources - machine.used)
            return GangCandidate(
                machine,
                machine.zone,
                capacity,
                imagePullS,
                score + imagePullS * (GANG_PULL_WEIGHT - 1),
            )
        }
    }

    private companion object {
        /** What a later turn counts against a machine, for tasks that don't wait for theirs. */
        const val TURN_WEIGHT = 0.5

        /** A second of fetching counts so much more for a gang, which starts with its slowest machine. */
        const val GANG_PULL_WEIGHT = 10
    }
}
