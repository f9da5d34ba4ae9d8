package micatally.gang

/**
 * A machine that could take tasks of a gang.
 *
 * @property capacity how many of its tasks fit
 * @property imagePullS how long the image takes there
 * @property cost what the machine costs the gang, in seconds; the image's time is part of it
 */
class GangCandidate<M>(
    val machine: M,
    val zone: String,
    val capacity: Int,
    val imagePullS: Double,
    val cost: Double,
)

/** Where all tasks of a gang go: one machine for each task. */
class GangAssignment<M>(
    val machines: List<GangCandidate<M>>,
) {
    /** The gang starts when the last machine has the image; every further machine is one more that may be late. */
    val cost = machines.maxOf { it.cost } + machines.distinct().size * MACHINE_COST
    val imagePullS = machines.maxOf { it.imagePullS }

    private companion object {
        const val MACHINE_COST = 0.1
    }
}

/** Chooses machines for all tasks of a gang at once. Decisions only. */
object GangPlacement {
    /**
     * Null if there is no room for all [tasks].
     *
     * @param together whether all go to one zone
     * @param zoneRoom how many more tasks a zone may take
     */
    fun <M> choose(
        candidates: List<GangCandidate<M>>,
        tasks: Int,
        together: Boolean,
        zoneLimits: (String) -> Int,
    ): GangAssignment<M>? {
        val groups = if (together) candidates.groupBy { it.zone }.values else listOf(candidates)
        return groups.mapNotNull { fill(it, tasks, zoneLimits) }.minByOrNull { it.cost }
    }

    private fun <M> fill(
        candidates: List<GangCandidate<M>>,
        tasks: Int,
        zoneLimits: (String) -> Int,
    ): GangAssignment<M>? {
        val whole = candidates.filter { it.capacity >= tasks && zoneLimits(it.zone) >= tasks }.minByOrNull { it.cost }
        val onOne = whole?.let { machine -> GangAssignment(List(tasks) { machine }) }
        val onSeveral = spread(candidates, tasks, zoneLimits)
        return listOfNotNull(onOne, onSeveral).minByOrNull { it.cost }
    }

    private fun <M> spread(
        candidates: List<GangCandidate<M>>,
        tasks: Int,
        zoneLimits: (String) -> Int,
    ): GangAssignment<M>? {
        val left = HashMap<String, Int>()
        val chosen = ArrayList<GangCandidate<M>>(tasks)
        for (candidate in candidates.sortedWith(compareBy({ it.cost }, { -it.capacity }))) {
            val room = left.getOrPut(candidate.zone) { zoneLimits(candidate.zone) }
            val count = minOf(candidate.capacity, tasks - chosen.size, room)
            if (count <= 0) continue
            repeat(count) { chosen.add(candidate) }
            left[candidate.zone] = room - count
            if (chosen.size == tasks) return GangAssignment(chosen)
        }
        return null
    }
}
