package micatally.scale

import java.nio.file.Path

/** The run could not be carried out; says nothing about whether a rule was broken. */
class ScaleRunFailed(
    message: String,
) : Exception(message)

/** Receives a line on the progress of a run every few seconds. */
fun interface ProgressLog {
    fun line(text: String)
}

/**
 * One scale run: controllers as processes of the packaged program, everything else as emulators in this process, on
 * loopback only. [close] ends every process that it starts.
 *
 * @param command starts a controller; the settings file is appended
 */
class ScaleRun(
    private val name: String,
    private val scenario: Scenario,
    command: List<String>,
    private val progress: ProgressLog,
) : AutoCloseable {
    private val environment = ScaleEnvironment(scenario, command)
    private val controllers = environment.controllers
    private val balancer = environment.balancer
    private val fleet = environment.fleet
    private val history = environment.history

    /** The first broken rule; null if none is broken. */
    val violation get() = history.violation

    /** Where the logs of the controllers are kept after a broken rule. */
    val logDirectory: Path get() = environment.directory

    /**
     * Runs the scenario to its end, or to the first broken rule. Blocks the calling thread for the whole run.
     *
     * @throws ScaleRunFailed if the controllers do not become healthy
     */
    fun run(): ScaleReport {
        environment.start()
        awaitHealthy()
        environment.startUsers()
        val measurement =
            Measurement(
                environment.loops,
                fleet,
                controllers,
                history,
                environment.messageCounters,
                environment.latencies,
                scenario.leaseMs,
            )
        runPhase("warm-up", scenario.warmupSeconds)
        measurement.begin()
        environment.startDisturbances()
        runPhase("measured", scenario.seconds)
        val report = measurement.end(origin(), environment.restarts, environment.readStoredKeys())
        environment.endLoad()
        drain()
        return report.copy(
            load =
                report.load.copy(
                    jobsNotEnded = history.openJobs.size,
                    brokenRule = violation?.violation?.message,
                ),
        )
    }

    private fun origin() =
        RunParameters(name, scenario.seed, scenario.workerCount, scenario.controllers, scenario.teams.count, 0.0)

    private fun awaitHealthy() {
        val deadlineNs = System.nanoTime() + HEALTHY_SECONDS * NS_PER_SECOND
        while (balancer.healthyCount < controllers.size) {
            controllers.find { !it.isAlive }?.let {
                throw ScaleRunFailed(
                    "${it.place.host} has ended; see $logDirectory",
                )
            }
            if (System.nanoTime() > deadlineNs) {
                val healthy = "${balancer.healthyCount} of ${controllers.size} controllers"
                throw ScaleRunFailed("only $healthy are healthy after $HEALTHY_SECONDS s")
            }
            Thread.sleep(STEP_MS)
        }
    }

    /** Lets the load run for [seconds], or until a rule is broken. */
    private fun runPhase(
        phase: String,
        seconds: Int,
    ) {
        watch(seconds, { true }) { secondsLeft ->
            "$phase, $secondsLeft s left: ${fleet.cloud.count()} workers, ${balancer.healthyCount} of " +
                "${controllers.size} controllers healthy, ${history.acceptedCount} jobs accepted, " +
                "${history.tasksRunning} tasks running, ${history.starts} starts"
        }
    }

    /** Waits until all accepted jobs have ended; it breaks a rule if they do not in time. */
    private fun drain() {
        watch(scenario.drainSeconds, { history.openJobs.isNotEmpty() }) {
            "ending: ${history.openJobs.size} jobs are left, ${history.tasksRunning} tasks running"
        }
        if (violation == null) history.checkAllEnded()
    }

    /**
     * Checks the rules for [seconds], or until one is broken or [shouldContinue] returns false.
     *
     * @param progressLine what to report, given the seconds that are left
     */
    private fun watch(
        seconds: Int,
        shouldContinue: () -> Boolean,
        progressLine: (secondsLeft: Long) -> String,
    ) {
        val deadlineNs = System.nanoTime() + seconds * NS_PER_SECOND
        var nextLineNs = 0L
        while (System.nanoTime() < deadlineNs && violation == null && shouldContinue()) {
            Thread.sleep(STEP_MS)
            history.check()
            if (System.nanoTime() < nextLineNs) continue
            nextLineNs = System.nanoTime() + LINE_SECONDS * NS_PER_SECOND
            progress.line(progressLine((deadlineNs - System.nanoTime()) / NS_PER_SECOND))
        }
    }

    /** Ends the load and every controller process; may be called from any thread, also during [run], and more than once. */
    override fun close() = environment.close()

    private companion object {
        const val NS_PER_SECOND = 1_000_000_000L
        const val STEP_MS = 250L
        const val LINE_SECONDS = 5L
        const val HEALTHY_SECONDS = 60L
    }
}
