package micatally.scheduling

import micatally.gang.GangCandidate
import micatally.job.Attempt
import micatally.job.Job
import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.Resources
import micatally.worker.Machine

/**
 * The machines that could take tasks of a job, best first. Scores are worked out once: placing one task changes that of
 * its own machine only, and what its zone counts.
 *
 * @param withImage only machines that have the job's image
 * @param moving an attempt that will be gone before the task starts elsewhere
 */
class MachineSelector(
    private val view: ClusterView,
    private val job: Job,
    private val spec: JobSpec,
    now: Long,
    withImage: Boolean = false,
    moving: Attempt? = null,
) {
    /** Services and gangs are to start at once; that another owner may choose the same room only counts against it. */
    private val takesTurns = !spec.isService && !spec.isGang

    /** Room that a more important waiter is short of is not filled again. */
    private val reservedFor = if (spec.isService) emptyList() else view.waitersBefore(spec.priority.ordinal)

    var rule = Placement.zones(job, spec, moving)
        private set
    private val candidates = ArrayList<Candidate>()

    /** There is room whose turn is still to come, so that more machines need not be asked for yet. */
    var deferred = false
        private set
    private var last: Candidate? = null

    init {
        for (machine in view.among(spec)) {
            if (!isAllowed(machine, now) || withImage && spec.image !in machine.images) continue
            val flavor = view.machines.machineTypes[machine.type] ?: continue
            val candidate = Candidate(machine, flavor)
            if (!candidate.rate()) continue
            if (takesTurns && !view.hasTurn(machine, now)) deferred = true else candidates.add(candidate)
        }
    }

    private fun isAllowed(
        machine: Machine,
        now: Long,
    ): Boolean = view.isUsable(machine, now) && Placement.kindAllowed(spec, machine) && !job.health.avoids(machine.name)

    /** The best machine for one more task; the one given before has been filled meanwhile. */
    fun next(): Machine? {
        last?.let {
            if (!it.rate()) candidates.remove(it)
            rule = Placement.zones(job, spec)
        }
        var best: Candidate? = null
        var bestScore = Double.MAX_VALUE
        for (candidate in candidates) {
            val machine = candidate.machine
            if (!rule.allows(machine.zone)) continue
            val score = candidate.score + Placement.zoneScore(spec, rule.used[machine.zone] ?: 0)
            if (score < bestScore || score == bestScore && machine.name < best!!.machine.name) {
                best = candidate
                bestScore = score
            }
        }
        last = best
        return best?.machine
    }

    /** All machines, for tasks that are placed at once. */
    fun forGang(): List<GangCandidate<Machine>> =
        candidates.filter { rule.allows(it.machine.zone) }.map { it.forGang() }

    private inner class Candidate(
        val machine: Machine,
        private val flavor: MachineType,
    ) {
        var score = 0.0
            private set

        /** False if there is no room. */
        fun rate(): Boolean {
            val free = flavor.resources - machine.used
            if (!spec.resources.fitsIn(free) || isReserved(free)) return false
            score = Placement.score(spec, machine, flavor, free)
            if (!takesTurns) score += view.turn(machine) * TURN_WEIGHT
            return true
        }

        private fun isReserved(free: Resources) =
            reservedFor.any { view.mayUse(it, machine) && Resources(it.cores, it.gpus, it.memoryGb).fitsIn(free) }

        fun forGang(): GangCandidate<Machine> {
            val fetchS = Placement.fetchS(spec, machine, flavor)
            val capacity = spec.resources.countIn(flavor.resources - machine.used)
            return GangCandidate(machine, machine.zone, capacity, fetchS, score + fetchS * (GANG_FETCH_WEIGHT - 1))
        }
    }

    private companion object {
        /** What a later turn counts against a machine, for tasks that don't wait for theirs. */
        const val TURN_WEIGHT = 0.5

        /** A second of fetching counts so much more for a gang, which starts with its slowest machine. */
        const val GANG_FETCH_WEIGHT = 10
    }
}
