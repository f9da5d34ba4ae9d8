package micatally.gang

/**
 * A machine that may take tasks of a gang.
 *
 * @property capacity how many of the gang's tasks fit on the machine
 * @property imagePullS how many seconds the machine needs to pull the image
 * @property cost the cost of using the machine in seconds, including the weighted time to pull the image
 */
class GangCandidate<M>(
    val machine: M,
    val zone: String,
    val capacity: Int,
    val imagePullS: Double,
    val cost: Double,
)

/**
 * The machines that were chosen for all tasks of a gang.
 *
 * @property machines one machine for each task, in the order of the tasks; several tasks may share a machine
 */
class GangAssignment<M>(
    val machines: List<GangCandidate<M>>,
) {
    /**
     * The cost in seconds. It is that of the most expensive machine, since the gang starts when its last machine has
     * the image, plus [MACHINE_COST] for each machine, since each one may be late.
     */
    val cost = machines.maxOf { it.cost } + machines.distinct().size * MACHINE_COST

    /** How many seconds pass until the last machine has pulled the image. */
    val imagePullS = machines.maxOf { it.imagePullS }

    private companion object {
        /** What each machine adds to the cost of an assignment, in seconds. */
        const val MACHINE_COST = 0.1
    }
}

/** Chooses machines for all tasks of a gang at once. All functions are pure: no I/O, no clock and no state. */
object GangPlacement {
    /**
     * Chooses the assignment with the lowest cost among those considered: for each zone, or for all zones together, the
     * cheapest single machine that fits all tasks, and the cheapest machines filled one after the other.
     *
     * @param tasks how many tasks must be placed
     * @param together whether all tasks must be in one zone
     * @param remainingInZone returns how many more tasks a zone may take
     * @return the assignment; null if the candidates have no free capacity for all tasks
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

    /**
     * Fills the machines in ascending order of cost. Among equal costs the machine with the largest capacity is first.
     */
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
