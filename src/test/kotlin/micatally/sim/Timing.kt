package micatally.sim

/** The workers' times of a deployment in seconds, and how many controllers it has. */
class Timing(
    val reportS: Double,
    val leaseS: Double,
    val cancelS: Double,
    val nodes: Int = 3,
) {
    companion object {
        /** Short times of three controllers, for tests that need no particular deployment. */
        val PLAIN = Timing(1.0, 10.0, 30.0)

        /** The times of the real deployments, by name; the two first ones also at their full size. */
        val DEPLOYMENTS =
            mapOf(
                "addis" to Timing(2.0, 10.0, 40.0),
                "hcmc" to Timing(0.8, 10.0, 30.0),
                "addis at size" to Timing(4.0, 22.0, 52.0),
                "hcmc at size" to Timing(3.0, 17.5, 37.5, 5),
                "motor" to Timing(5.0, 24.0, 44.0),
            )
    }
}
