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

/** What the tests of meetings share: a fleet that is up, jobs made to measure, and users who insist. */
internal fun meeting(
    seed: Int,
    timing: Timing = Timing.PLAIN,
    nodes: Int = timing.nodes,
    nextLimits: StateLimits? = null,
    before: SimFleet.() -> Unit = {},
    test: Meeting.() -> Unit,
) {
    val f = SimFleet(seed, nodes, timing, nextLimits)
    try {
        f.before()
        for (i in 0 until nodes) f.startNode(i)
        f.runFor(f.lease / 3)
        Meeting(f).test()
    } catch (e: AssertionError) {
        throw AssertionError("seed $seed: ${e.message}", e)
    } finally {
        f.close()
    }
}

internal val SimFleet.lease get() = settings[0].leaseMs
internal val SimFleet.cancelMs get() = settings[0].cancelMs

internal class Meeting(
    val f: SimFleet,
) {
    private var jobs = 0
    val others = (1 until f.nodes).toList()

    fun spec(
        format: String,
        taskCount: Int,
        vararg more: Pair<String, Any>,
    ): JobSpec {
        val fields =
            more.associate { (k, v) ->
                k to
                    when (v) {
                        is Number -> JsonPrimitive(v)
                        is Boolean -> JsonPrimitive(v)
                        else -> JsonPrimitive(v.toString())
                    }
            }
        return JobSpec
            .parse(
                JsonObject(
                    Rehearsal.job(++jobs, format, taskCount) + ("scatter" to JsonPrimitive(false)) +
                        ("cores" to JsonPrimitive(1.0)) +
                        fields,
                ),
            ).also { f.rules.submitted(it) }
    }

    /** Submitted at this node, which accepts it at once. */
    fun submit(
        node: Int,
        format: String,
        taskCount: Int,
        vararg more: Pair<String, Any>,
        runMs: Long? = null,
    ): String {
        val s = spec(format, taskCount, *more)
        if (runMs != null) f.runs[s.jobId] = runMs
        val (status, _) = f.asked(node, "POST", "/work", s.source.bytes())
        assertEquals(201, status, s.jobId)
        f.rules.answeredSubmit(s.jobId, status)
        return s.jobId
    }

    fun tasks(jobId: String) = f.rules.running.filter { it.jobId == jobId }

    fun worker(name: String): WorkerEmulator = f.cloud.workers.first { it.name == name }

    fun runUntil(
        maxMs: Long,
        what: String,
        done: () -> Boolean,
    ) {
        val until = f.now + maxMs
        while (!done()) {
            assertTrue(f.now < until, "in $maxMs ms this did not come about: $what")
            f.step(50)
        }
    }

    /** Until all tasks of these jobs run. */
    fun allRun(jobIds: Collection<String>) =
        runUntil(f.lease * 4 + 20_000, "all tasks run") {
            jobIds.all { r ->
                tasks(r).size ==
                    f.rules.specs
                        .getValue(r)
                        .taskCount
            }
        }

    /** A user who asks these nodes, again and again, until one confirms. */
    fun cancel(
        jobId: String,
        nodes: List<Int>,
    ) {
        f.rules.asksToCancel(jobId)
        f.scope.launch {
            while (!f.rules.isFinal(jobId)) {
                val up = nodes.filter { f.live[it] != null }
                if (up.isNotEmpty()) {
                    val (status, word) = f.askNode(up.random(f.random), "POST", "/work/$jobId/cancel")
                    f.note("cancel $jobId $status $word")
                    if (status == 200) f.rules.told(jobId, word, f.now)
                }
                delay(500)
            }
        }
    }

    /** A user who polls at any node to the end, about as often as users do. */
    fun poll(jobId: String) =
        f.scope.launch {
            while (true) {
                delay(2000 + f.random.nextLong(3000))
                val up = (0 until f.nodes).filter { f.live[it] != null }
                if (up.isEmpty()) continue
                val sentAt = f.now
                val (status, word) = f.askNode(up.random(f.random), "GET", "/work/$jobId", null, 2000)
                f.rules.answeredPoll(jobId, status, word, f.now, sentAt)
            }
        }

    fun cut(
        mode: CutMode,
        between: (SimNet.Host, SimNet.Host) -> Boolean,
    ) = SimNet.Cut(between, mode).also {
        f.net.cuts.add(it)
    }

    fun heal(c: SimNet.Cut) {
        f.net.cuts.remove(c)
        c.over.complete(Unit)
    }

    fun leader(shard: Int) =
        (0 until f.nodes).firstOrNull { i ->
            f.live[i]?.membership?.holds("pitbox-$shard") ==
                true
        }

    fun holdsOf(
        node: Int,
        shard: Int,
    ) = f.live[node]
        ?.jobManager
        ?.shards
        ?.get("pitbox-$shard")
        ?.isLedHere == true

    fun zoneOf(node: Int) =
        f.net.hosts
            .getValue("n$node")
            .zone

    /** Once all troubles are over: every job ends or stays known, cancelled ones leave nothing, the rest is served. */
    fun afterwards(
        jobIds: Collection<String>,
        ms: Long = 80_000,
    ) {
        val over = f.now
        for (r in f.rules.acceptedJobs) if (!f.rules.isFinal(r)) poll(r)
        val until = f.now + ms
        while (f.now <
            until
        ) {
            f.step(100)
            f.rules.checkKnown(f.now, over)
            if ((f.now - over) % 1000 ==
                0L
            ) {
                f.checkWaiting(ms - 5000)
            }
        }
        for (r in jobIds) {
            if (f.rules.isCancelled(r)) {
                assertTrue(tasks(r).isEmpty(), "$r is cancelled and runs: ${tasks(r)}")
            } else if (f.rules.specs
                    .getValue(r)
                    .isService
            ) {
                assertEquals(
                    f.rules.specs
                        .getValue(r)
                        .taskCount,
                    tasks(r).size,
                    "$r runs again",
                )
            }
        }
    }
}
