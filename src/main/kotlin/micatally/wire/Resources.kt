package micatally.wire

/** An amount of each resource, such as those that a task takes or a machine has. */
data class Resources(
    val cores: Double,
    val gpus: Double,
    val memoryGb: Double,
) {
    operator fun plus(other: Resources) = Resources(cores + other.cores, gpus + other.gpus, memoryGb + other.memoryGb)

    operator fun minus(other: Resources) = Resources(cores - other.cores, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(factor: Int) = Resources(cores * factor, gpus * factor, memoryGb * factor)

    /** Whether each amount is at most that of [capacity], with a tolerance of [SLACK]. */
    fun fitsIn(capacity: Resources) =
        cores <= capacity.cores + SLACK && gpus <= capacity.gpus + SLACK && memoryGb <= capacity.memoryGb + SLACK

    /** How many times these amounts fit in [capacity]. A resource whose amount is 0 does not limit the count. */
    fun countIn(capacity: Resources): Int =
        minOf(
            count(cores, capacity.cores),
            count(gpus, capacity.gpus),
            count(memoryGb, capacity.memoryGb),
        )

    private fun count(
        amount: Double,
        capacity: Double,
    ): Int {
        if (amount <= 0) return Int.MAX_VALUE
        return ((capacity + SLACK) / amount).toInt().coerceAtLeast(0)
    }

    /** The tolerance of comparisons and the zero amount. */
    companion object {
        /** Tolerance for rounding errors when sums of decimal amounts are compared. */
        const val SLACK = 1e-6
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}
