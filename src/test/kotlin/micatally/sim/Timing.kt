package micatally.sim

/**
 * The timing of the workers of a deployment, and its number of controllers.
 *
 * @property reportS the interval of heartbeats, in seconds
 * @property leaseS the lease of a worker, in seconds
 * @property cancelS how long a cancelled task may still run after its user was told, in seconds
 */
class Timing(
    val reportS: Double,
    val leaseS: Double,
    val cancelS: Double,
    val nodes: Int = 3,
) {
    companion object {
        /** Short times with three controllers, for tests that need no particular deployment. */
        val PLAIN = Timing(1.0, 10.0, 30.0)

        /** The times of real deployments by name; for the first two also those at full size. */
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
