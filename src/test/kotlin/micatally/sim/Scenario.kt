package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import micatally.emulator.Rehearsal
import micatally.emulator.WorkerEmulator
import micatally.state.StateLimits
import micatally.wire.JobSpec
import micatally.wire.bytes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Plays [test] on a fleet of [nodes] controllers that has run for a third of a lease. [before] prepares the fleet before
 * its controllers start. A failure names the seed.
 */
internal fun scenario(
    seed: Int,
    timing: Timing = Timing.PLAIN,
    nodes: Int = timing.nodes,
    nextLimits: StateLimits? = null,
    before: SimFleet.() -> Unit = {},
    test: Scenario.() -> Unit,
) {
    val fleet = SimFleet(seed, nodes, timing, nextLimits)
    try {
        fleet.before()
        for (i in 0 until nodes) fleet.startNode(i)
        fleet.runFor(fleet.lease / 3)
        Scenario(fleet).test()
    } catch (e: AssertionError) {
        throw AssertionError("seed $seed: ${e.message}", e)
    } finally {
        fleet.close()
    }
}

internal val SimFleet.lease get() = settings[0].leaseMs
internal val SimFleet.cancelMs get() = settings[0].cancelMs

/** What the scenarios share: a fleet that is up, jobs made to measure, users who repeat their requests, and partitions. */
internal class Scenario(
    val fleet: SimFleet,
) {
    private var jobs = 0
    val others = (1 until fleet.nodes).toList()

    fun spec(
        format: String,
        taskCount: Int,
        vararg more: Pair<String, Any>,
    ): JobSpec {
        val fields =
            more.associate { (name, value) ->
                name to
                    when (value) {
                        is Number -> JsonPrimitive(value)
                        is Boolean -> JsonPrimitive(value)
                        else -> JsonPrimitive(value.toString())
                    }
            }
        return JobSpec
            .parse(
                JsonObject(
                    Rehearsal.job(++jobs, format, taskCount) + ("scatter" to JsonPrimitive(false)) +
                        ("cores" to JsonPrimitive(1.0)) +
                        fields,
                ),
            ).also { fleet.rules.submitted(it) }
    }

    /** Submits a job at this node, which has to accept it at once; returns its id. */
    fun submit(
        node: Int,
        format: String,
        taskCount: Int,
        vararg more: Pair<String, Any>,
        runMs: Long? = null,
    ): String {
        val spec = spec(format, taskCount, *more)
        if (runMs != null) fleet.workers.fixedRunMs[spec.jobId] = runMs
        val (status, _) = fleet.asked(node, "POST", "/work", spec.source.bytes())
        assertEquals(201, status, spec.jobId)
        fleet.rules.answeredSubmit(spec.jobId, status)
        return spec.jobId
    }

    fun tasks(jobId: String) = fleet.rules.running.filter { it.jobId == jobId }

    fun worker(name: String): WorkerEmulator = fleet.cloud.workers.first { it.name == name }

    /** Runs the fleet until [done] holds; fails after [maxMs] milliseconds. */
    fun runUntil(
        maxMs: Long,
        what: String,
        done: () -> Boolean,
    ) {
        val until = fleet.now + maxMs
        while (!done()) {
            assertTrue(fleet.now < until, "in $maxMs ms this did not come about: $what")
            fleet.step(50)
        }
    }

    /** Runs the fleet until all tasks of these jobs run. */
    fun allRun(jobIds: Collection<String>) =
        runUntil(fleet.lease * 4 + 20_000, "all tasks run") {
            jobIds.all { jobId ->
                tasks(jobId).size ==
                    fleet.rules.specs
                        .getValue(jobId)
                        .taskCount
            }
        }

    /** Fails unless all tasks of these jobs run now. */
    fun assertAllTasksRun(jobIds: Collection<String>) {
        for (jobId in jobIds) {
            val taskCount =
                fleet.rules.specs
                    .getValue(jobId)
                    .taskCount
            assertEquals(taskCount, tasks(jobId).size, "all tasks of $jobId run")
        }
    }

    /** Launches a user who cancels the job at random ones of these nodes, again and again, until one confirms. */
    fun cancel(
        jobId: String,
        nodes: List<Int>,
    ) {
        fleet.rules.asksToCancel(jobId)
        fleet.scope.launch {
            while (!fleet.rules.isFinal(jobId)) {
                val up = nodes.filter { fleet.live[it] != null }
                if (up.isNotEmpty()) {
                    val (status, word) = fleet.users.askNode(up.random(fleet.random), "POST", "/work/$jobId/cancel")
                    fleet.note("cancel $jobId $status $word")
                    if (status == 200) fleet.rules.told(jobId, word, fleet.now)
                }
                delay(500)
            }
        }
    }

    /** Launches a user who polls the job at random nodes to the end of the test, about as often as users do. */
    fun poll(jobId: String) =
        fleet.scope.launch {
            while (true) {
                delay(2000 + fleet.random.nextLong(3000))
                val up = (0 until fleet.nodes).filter { fleet.live[it] != null }
                if (up.isEmpty()) continue
                val sentAt = fleet.now
                val (status, word) = fleet.users.askNode(up.random(fleet.random), "GET", "/work/$jobId", null, 2000)
                fleet.rules.answeredPoll(jobId, status, word, fleet.now, sentAt)
            }
        }

    /** Cuts the connections for which [between] holds, until [heal]. */
    fun cut(
        mode: CutMode,
        between: (SimNet.Host, SimNet.Host) -> Boolean,
    ) = SimNet.Cut(between, mode).also {
        fleet.net.cuts.add(it)
    }

    /** Ends the partition: messages that it held arrive now. */
    fun heal(partition: SimNet.Cut) {
        fleet.net.cuts.remove(partition)
        partition.over.complete(Unit)
    }

    /** The node whose membership holds this host's shard. */
    fun leaderOf(shard: Int) =
        (0 until fleet.nodes).firstOrNull { i ->
            fleet.live[i]?.membership?.holds("pitbox-$shard") ==
                true
        }

    /** Whether the node itself counts as the leader of this host's shard. */
    fun isLeaderOf(
        node: Int,
        shard: Int,
    ) = fleet.live[node]
        ?.jobManager
        ?.shards
        ?.get("pitbox-$shard")
        ?.isLedHere == true

    fun zoneOf(node: Int) =
        fleet.net.hosts
            .getValue("n$node")
            .zone

    /**
     * To be called once all troubles are over: runs the fleet for [ms] milliseconds and checks that every accepted job
     * ends or stays known, that no job waits beside free capacity, that cancelled jobs have no task left and that
     * services run with all their tasks.
     */
    fun checkRecovery(
        jobIds: Collection<String>,
        ms: Long = 80_000,
    ) {
        val over = fleet.now
        for (jobId in fleet.rules.acceptedJobs) if (!fleet.rules.isFinal(jobId)) poll(jobId)
        val until = fleet.now + ms
        while (fleet.now < until) {
            fleet.step(100)
            fleet.rules.checkKnown(fleet.now, over)
            if ((fleet.now - over) % 1000 == 0L) {
                fleet.checkWaiting(ms - 5000)
            }
        }
        for (jobId in jobIds) {
            if (fleet.rules.isCancelled(jobId)) {
                assertTrue(tasks(jobId).isEmpty(), "$jobId is cancelled and runs: ${tasks(jobId)}")
            } else if (fleet.rules.specs
                    .getValue(jobId)
                    .isService
            ) {
                assertEquals(
                    fleet.rules.specs
                        .getValue(jobId)
                        .taskCount,
                    tasks(jobId).size,
                    "$jobId runs again",
                )
            }
        }
    }
}

/** Seeds with which each scenario is played; more with `-Dmeeting.seeds=1-8`. */
internal val scenarioSeeds =
    (System.getProperty("meeting.seeds") ?: "1-2").split('-').map { it.toInt() }.let { (first, last) ->
        first..last
    }

/** Plays the scenario once with each of the [scenarioSeeds]. */
internal fun forEachSeed(
    timing: Timing = Timing.PLAIN,
    nodes: Int = timing.nodes,
    before: SimFleet.() -> Unit = {},
    test: Scenario.() -> Unit,
) {
    for (seed in scenarioSeeds) scenario(seed, timing, nodes, before = before, test = test)
}

/** The times of a deployment at its full size. */
internal val largeDeployment = Timing.DEPLOYMENTS.getValue("addis at size")

/** Submits a job array whose tasks outlive the test. */
internal fun Scenario.submitLongArray(
    node: Int,
    taskCount: Int,
    vararg more: Pair<String, Any>,
) = submit(node, "sweep", taskCount, *more, runMs = 3_600_000)

/** Plays a test on a fleet that has run for three seconds. */
internal fun withFleet(
    seed: Int,
    test: (SimFleet) -> Unit,
) {
    val fleet = SimFleet(seed)
    try {
        for (i in 0..2) fleet.startNode(i)
        fleet.runFor(3000)
        test(fleet)
    } finally {
        fleet.close()
    }
}

internal fun SimFleet.submit(
    node: Int,
    n: Int,
    format: String,
    taskCount: Int,
): String {
    val spec = JobSpec.parse(Rehearsal.job(n, format, taskCount))
    rules.submitted(spec)
    assertEquals(201, asked(node, "POST", "/work", spec.source.bytes()).first)
    return spec.jobId
}
