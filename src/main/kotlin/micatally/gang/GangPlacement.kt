package micatally.gang

/**
 * A machine that could take tasks of a gang.
 *
 * @property capacity how many of the gang's tasks fit on it
 * @property imagePullS how many seconds the machine needs to pull the image
 * @property cost what using the machine costs the gang, in seconds; the time to pull the image is part of it
 */
class GangCandidate<M>(
    val machine: M,
    val zone: String,
    val capacity: Int,
    val imagePullS: Double,
    val cost: Double,
)

/**
 * Where all tasks of a gang go.
 *
 * @property machines one machine for each task, in the order of the tasks; several tasks may share one
 */
class GangAssignment<M>(
    val machines: List<GangCandidate<M>>,
) {
    /** The gang starts when its last machine has the image, and every further machine is one more that may be late. */
    val cost = machines.maxOf { it.cost } + machines.distinct().size * MACHINE_COST

    /** How many seconds pass until the last machine has pulled the image. */
    val imagePullS = machines.maxOf { it.imagePullS }

    private companion object {
        const val MACHINE_COST = 0.1
    }
}

/** Chooses machines for all tasks of a gang at once. Pure decisions: no I/O, no clock and no state. */
object GangPlacement {
    /**
     * Chooses the assignment of lowest cost; null if there is no free capacity for all [tasks].
     *
     * @param tasks how many tasks are to be placed
     * @param together whether all of them must go to one zone
     * @param remainingInZone how many more tasks a zone may take
     */
    fun <M> choose(
        candidates: List<GangCandidate<M>>,
        tasks: Int,
        together: Boolean,
        remainingInZone: (String) -> Int,
    ): GangAssignment<M>? {
        val groups = if (together) candidates.groupBy { it.zone }.values else listOf(candidates)
        return groups.mapNotNull { assign(it, tasks, remainingInZone) }.minByOrNull { it.cost }
    }

    private fun <M> assign(
        candidates: List<GangCandidate<M>>,
        tasks: Int,
        remainingInZone: (String) -> Int,
    ): GangAssignment<M>? {
        val single =
            candidates
                .filter { it.capacity >= tasks && remainingInZone(it.zone) >= tasks }
                .minByOrNull { it.cost }
        val onOneMachine = single?.let { machine -> GangAssignment(List(tasks) { machine }) }
        val onSeveralMachines = spread(candidates, tasks, remainingInZone)
        return listOfNotNull(onOneMachine, onSeveralMachines).minByOrNull { it.cost }
    }

    /** Fills the machines in the order of their cost, and of the same cost the largest first. */
    private fun <M> spread(
        candidates: List<GangCandidate<M>>,
        tasks: Int,
        remainingInZone: (String) -> Int,
    ): GangAssignment<M>? {
        val remainingByZone = HashMap<String, Int>()
        val chosen = ArrayList<GangCandidate<M>>(tasks)
        for (candidate in candidates.sortedWith(compareBy({ it.cost }, { -it.capacity }))) {
            val remaining = remainingByZone.getOrPut(candidate.zone) { remainingInZone(candidate.zone) }
            val count = minOf(candidate.capacity, tasks - chosen.size, remaining)
            if (count <= 0) continue
            repeat(count) { chosen.add(candidate) }
            remainingByZone[candidate.zone] = remaining - count
            if (chosen.size == tasks) return GangAssignment(chosen)
        }
        return null
    }
}
