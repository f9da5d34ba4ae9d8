package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import micatally.emulator.Rehearsal
import micatally.emulator.WorkerEmulator
import micatally.state.StateLimits
import micatally.wire.JobSpec
import micatally.wire.asText
import micatally.wire.bytes
import micatally.wire.listOrNull
import micatally.wire.parseObject
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Runs [test] on a fleet of [nodes] controllers that has been up for a third of a lease. [before] prepares the fleet
 * before its controllers start. The message of a failure names the seed.
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

/** The lease of the workers, in milliseconds. */
internal val SimFleet.lease get() = settings[0].leaseMs

/** How long after its confirmation a cancelled task may still run, in milliseconds. */
internal val SimFleet.cancelMs get() = settings[0].cancelMs

/**
 * What the scenarios share: a running fleet, jobs with chosen fields, users who repeat their requests, and partitions.
 */
internal class Scenario(
    val fleet: SimFleet,
) {
    private var jobCount = 0

    /** All nodes but node 0. */
    val otherNodes = (1 until fleet.nodes).toList()

    /**
     * Creates a job that is not submitted yet: a rehearsal job with one core per task, changed by the fields in [more].
     */
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
                    Rehearsal.job(++jobCount, format, taskCount) + ("scatter" to JsonPrimitive(false)) +
                        ("cores" to JsonPrimitive(1.0)) +
                        fields,
                ),
            ).also { fleet.rules.submitted(it) }
    }

    /**
     * Submits a job at this node, which must accept it at once, and returns its id. [runMs] fixes how long its tasks
     * run, in milliseconds.
     */
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

    /** The tasks of the job that run now. */
    fun tasks(jobId: String) = fleet.rules.running.filter { it.jobId == jobId }

    fun worker(name: String): WorkerEmulator = fleet.cloud.workers.first { it.name == name }

    /**
     * Runs the fleet until [done] holds. Fails after [maxMs] milliseconds with a message that names the [condition].
     */
    fun runUntil(
        maxMs: Long,
        condition: String,
        done: () -> Boolean,
    ) {
        val until = fleet.now + maxMs
        while (!done()) {
            assertTrue(fleet.now < until, "not reached within $maxMs ms: $condition")
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

    /**
     * Launches a user who requests the cancellation at random nodes of [nodes], every 500 ms, until one confirms it.
     */
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

    /** Launches a user who polls the job at random nodes every 2 to 5 s until the end of the test. */
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

    /** The machines that are deleted from now on while tasks run on them, in the order of their deletion. */
    fun recordDeletionsInUse(): List<String> {
        val deletedInUse = ArrayList<String>()
        val cloud = fleet.net.hosts.getValue("cloud")
        val handle = checkNotNull(cloud.handler)
        cloud.handler = { address, request ->
            if (request.target == "/machines/delete") {
                val names = (parseObject(request.body).listOrNull("cars") ?: emptyList()).map { it.asText() }
                deletedInUse += names.filter { name -> fleet.rules.running.any { it.machine == name } }
            }
            handle(address, request)
        }
        return deletedInUse
    }

    /** Cuts all connections between two hosts for which [between] holds, until [heal]. */
    fun cut(
        mode: CutMode,
        between: (SimNet.Host, SimNet.Host) -> Boolean,
    ) = SimNet.Cut(between, mode).also {
        fleet.net.cuts.add(it)
    }

    /** Ends the partition. Messages that it held are delivered within the next two seconds. */
    fun heal(partition: SimNet.Cut) {
        fleet.net.cuts.remove(partition)
        partition.healed.complete(Unit)
    }

    /** The node whose membership holds the shard of host `pitbox-`[shard]; null if none does. */
    fun leaderOf(shard: Int) =
        (0 until fleet.nodes).firstOrNull { i ->
            fleet.live[i]?.membership?.holds("pitbox-$shard") ==
                true
        }

    /** Whether the job manager of the node counts the node as leader of the shard of host `pitbox-`[shard]. */
    fun isLeaderOf(
        node: Int,
        shard: Int,
    ) = fleet.live[node]
        ?.jobManager
        ?.shards
        ?.get("pitbox-$shard")
        ?.isLedHere == true

    /** The node that counts itself as the fleet manager; null if none does. */
    fun fleetManager() = (0 until fleet.nodes).firstOrNull { fleet.live[it]?.isFleetManager == true }

    fun zoneOf(node: Int) =
        fleet.net.hosts
            .getValue("n$node")
            .zone

    /**
     * To be called once all faults are over. Runs the fleet for [ms] milliseconds and checks that every accepted job
     * ends or stays known, and that no job waits beside free capacity. Then checks for [jobIds] that cancelled jobs
     * have no running task and that services run with all their tasks.
     */
    fun checkRecovery(
        jobIds: Collection<String>,
        ms: Long = 80_000,
    ) {
        val faultsEndedAt = fleet.now
        for (jobId in fleet.rules.acceptedJobs) if (!fleet.rules.isFinal(jobId)) poll(jobId)
        val until = fleet.now + ms
        while (fleet.now < until) {
            fleet.step(100)
            fleet.rules.checkKnown(fleet.now, faultsEndedAt)
            if ((fleet.now - faultsEndedAt) % 1000 == 0L) {
                fleet.checkStarvation(ms - 5000)
            }
        }
        for (jobId in jobIds) {
            if (fleet.rules.isCancelled(jobId)) {
                assertTrue(tasks(jobId).isEmpty(), "$jobId is cancelled but runs: ${tasks(jobId)}")
            } else if (fleet.rules.specs
                    .getValue(jobId)
                    .isService
            ) {
                assertEquals(
                    fleet.rules.specs
                        .getValue(jobId)
                        .taskCount,
                    tasks(jobId).size,
                    "all tasks of $jobId run",
                )
            }
        }
    }
}

/** The seeds with which each scenario is run; `-Dmeeting.seeds=1-8` selects others. */
internal val scenarioSeeds =
    (System.getProperty("meeting.seeds") ?: "1-2").split('-').map { it.toInt() }.let { (first, last) ->
        first..last
    }

/** Runs the scenario once with each of the [scenarioSeeds]. */
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

/** Submits a job array whose tasks run for an hour, which is longer than any test. */
internal fun Scenario.submitLongArray(
    node: Int,
    taskCount: Int,
    vararg more: Pair<String, Any>,
) = submit(node, "sweep", taskCount, *more, runMs = 3_600_000)

/** Runs a test on a fleet that has been up for three seconds. */
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

/** Submits a rehearsal job with the number [n] at this node, which must accept it at once, and returns its id. */
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
