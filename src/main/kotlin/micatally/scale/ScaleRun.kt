package micatally.scale

import java.nio.file.Path

/** The controllers did not become healthy, so the load was not started and no rule was checked. */
class ScaleRunFailed(
    message: String,
) : Exception(message)

/** Receives a line about the progress of a run every few seconds. */
fun interface ProgressLog {
    fun line(text: String)
}

/**
 * One scale run. The controllers run as separate processes of the packaged program; everything else is emulated in this
 * process. All connections are on loopback. [close] ends every process that the run has started.
 *
 * @param command command line that starts a controller; the settings file is appended
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

    /** Directory with the logs of the controllers. [close] deletes it unless a rule was broken. */
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
        environment.startFailuresAndChanges()
        runPhase("measured", scenario.seconds)
        val report = measurement.end(runParameters(), environment.restarts, environment.readStoredKeys())
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

    private fun runParameters() =
        RunParameters(name, scenario.seed, scenario.workerCount, scenario.controllers, scenario.teams.count, 0.0)

    /** Blocks until all controllers are healthy. */
    private fun awaitHealthy() {
        val deadlineNs = System.nanoTime() + HEALTHY_TIMEOUT_SECONDS * NS_PER_SECOND
        while (balancer.healthyCount < controllers.size) {
            controllers.find { !it.isAlive }?.let {
                throw ScaleRunFailed(
                    "controller ${it.place.host} has ended before all controllers were healthy; see $logDirectory",
                )
            }
            if (System.nanoTime() > deadlineNs) {
                val healthy = "${balancer.healthyCount} of ${controllers.size} controllers"
                throw ScaleRunFailed("only $healthy are healthy after $HEALTHY_TIMEOUT_SECONDS s")
            }
            Thread.sleep(CHECK_INTERVAL_MS)
        }
    }

    /** Lets the load run for [seconds], or until a rule is broken. */
    private fun runPhase(
        phase: String,
        seconds: Int,
    ) {
        checkRules(seconds, { true }) { secondsLeft ->
            "$phase, $secondsLeft s left: ${fleet.cloud.count()} workers, ${balancer.healthyCount} of " +
                "${controllers.size} controllers healthy, ${history.acceptedCount} jobs accepted, " +
                "${history.tasksRunning} tasks running, ${history.starts} starts"
        }
    }

    /** Waits until all accepted jobs have ended. Records a broken rule if some have not ended in time. */
    private fun drain() {
        checkRules(scenario.drainSeconds, { history.openJobs.isNotEmpty() }) {
            "ending: ${history.openJobs.size} jobs are left, ${history.tasksRunning} tasks running"
        }
        if (violation == null) history.checkAllEnded()
    }

    /**
     * Checks the rules every [CHECK_INTERVAL_MS] ms for [seconds], or until one is broken or [shouldContinue] returns
     * false.
     *
     * @param progressLine returns the line for the progress log, given the seconds that are left
     */
    private fun checkRules(
        seconds: Int,
        shouldContinue: () -> Boolean,
        progressLine: (secondsLeft: Long) -> String,
    ) {
        val deadlineNs = System.nanoTime() + seconds * NS_PER_SECOND
        var nextProgressNs = 0L
        while (System.nanoTime() < deadlineNs && violation == null && shouldContinue()) {
            Thread.sleep(CHECK_INTERVAL_MS)
            history.checkCancelledTasks()
            if (System.nanoTime() < nextProgressNs) continue
            nextProgressNs = System.nanoTime() + PROGRESS_INTERVAL_SECONDS * NS_PER_SECOND
            progress.line(progressLine((deadlineNs - System.nanoTime()) / NS_PER_SECOND))
        }
    }

    /**
     * Ends the load and every controller process. May be called from any thread, also during [run], and more than once.
     */
    override fun close() = environment.close()

    private companion object {
        const val NS_PER_SECOND = 1_000_000_000L
        const val CHECK_INTERVAL_MS = 250L
        const val PROGRESS_INTERVAL_SECONDS = 5L
        const val HEALTHY_TIMEOUT_SECONDS = 60L
    }
}
