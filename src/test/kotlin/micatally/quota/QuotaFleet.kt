package micatally.quota

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.double
import kotlinx.serialization.json.jsonPrimitive
import micatally.emulator.Rehearsal
import micatally.emulator.StateStoreEmulator
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.Outcome
import micatally.job.Job
import micatally.job.JobShard
import micatally.job.JobState
import micatally.job.ShardState
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.FixedTeams
import micatally.settings.Team
import micatally.sim.Stoppable
import micatally.state.Compare
import micatally.state.Delete
import micatally.state.Put
import micatally.state.RateBudget
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.state.Write
import micatally.wire.JobSpec
import kotlin.random.Random

/** Shares of transactions that go wrong, and how wrong. */
class StateFaults(
    val late: Double = 0.0,
    val answerLost: Double = 0.0,
    val refused: Double = 0.0,
    val limited: Double = 0.0,
) {
    companion object {
        val NONE = StateFaults()
        val MANY = StateFaults(0.06, 0.06, 0.04, 0.08)
    }
}

/**
 * Several controllers that share teams' limits through one state service, on simulated time. Only what bears on limits is
 * there: copies of the shared keys that lag, allotments, intents under a shard's mark, ends that are told late, takeovers.
 *
 * A task counts as being on a machine from the moment at which the state service holds its intent, which is the earliest
 * at which its start may leave.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class QuotaFleet(
    seed: Int,
    private val controllerCount: Int,
    private val teams: List<Team>,
    private val changesPerSecond: Double,
) {
    private val random = Random(seed)
    private val scheduler = TestCoroutineScheduler()
    private val dispatcher = StandardTestDispatcher(scheduler)
    private var failure: Throwable? = null
    private val handler = CoroutineExceptionHandler { _, thrown -> if (failure == null) failure = thrown }
    private val scope = CoroutineScope(SupervisorJob() + dispatcher + handler)
    val now get() = scheduler.currentTime
    val service = StateStoreEmulator(nowMs = { now })
    var faults = StateFaults.NONE
    val controllers = List(controllerCount) { Controller(it) }
    private var nextTask = 0

    /** What a job of this fleet takes for each of its tasks, by team. */
    private fun spec(
        team: String,
        cores: Double,
        gpus: Double,
    ) = JobSpec.parse(
        JsonObject(
            Rehearsal.job(nextTask++, "sweep", 1) +
                mapOf("crew" to JsonPrimitive(team), "cores" to JsonPrimitive(cores), "cards" to JsonPrimitive(gpus)),
        ),
    )

    /** A task that a controller has decided to start. */
    class PlacedTask(
        val key: String,
        val job: Job,
    ) {
        var isReleased = false
    }

    inner class Controller(
        private val index: Int,
    ) {
        private val thread = Stoppable(dispatcher)
        private val controllerScope = CoroutineScope(SupervisorJob() + thread + handler)
        private val sharedKeys = SharedKeyCache()
        private val state =
            StateStoreClient(
                HttpCaller { _, method, target, body, timeoutMs -> call(method, target, body, timeoutMs) },
                "state",
                RateBudget(controllerScope, changesPerSecond * 10, { now }),
                RateBudget(controllerScope, changesPerSecond, { now }, changesPerSecond / 2),
                500,
            )
        val shards = HashMap<String, JobShard>()
        private val placed = HashMap<String, PlacedTask>()
        val quota =
            Quota(
                controllerScope,
                state,
                sharedKeys,
                FixedTeams(teams.associateBy { it.name }),
                { shards.values },
                controllerCount,
            ) {}

        var isFrozen: Boolean
            get() = thread.frozen
            set(value) {
                thread.frozen = value
            }

        /** A listing as it is now arrives after a while. */
        fun refreshCache(afterMs: Long) {
            controllerScope.launch {
                val listing = plain.list(Keys.PREFIX, Urgency.LEASE) ?: return@launch
                delay(afterMs)
                val changed = sharedKeys.load(listing)
                checkShards()
                for (key in changed.filter { it.startsWith(Keys.TEAM) }) quota.allotmentsChanged(key.removePrefix(Keys.TEAM))
            }
        }

        private fun checkShards() {
            for (shard in shards.values.toList()) {
                if (sharedKeys.leader(shard.name)?.modRevision != shard.leader.modRevision) loseShard(shard)
            }
            for (name in sharedKeys.shards()) {
                val leader = sharedKeys.leader(name) ?: continue
                if (leader.host == "host-$index" && name !in shards) {
                    val shard = JobShard(name, leader, now)
                    shards[name] = shard
                    controllerScope.launch { load(shard) }
                }
            }
        }

        private fun loseShard(shard: JobShard) {
            shard.transitionTo(ShardState.LOST)
            shards.remove(shard.name)
            placed.values.removeIf { it.job.shard === shard }
            quota.forget(shard.name)
        }

        /** The records as they are stored, some of them with tasks that have just ended. */
        private suspend fun load(shard: JobShard) {
            delay(random.nextLong(20, 400))
            if (!shard.mine) return
            val stored = service.keysUnder(runPrefix(shard.name))
            for (key in stored) adopt(shard, key, service.value(key)!!)
            shard.transitionTo(ShardState.ACTIVE)
        }

        private fun adopt(
            shard: JobShard,
            key: String,
            value: JsonObject,
        ) {
            val spec = spec(teamOf(key), value.number("cores"), value.number("cards"))
            val job = Job(spec.jobId, spec, shard, 1, 0, JobState.OPEN)
            placed[key] = PlacedTask(key, job)
            quota.addUsage(job)
        }

        /** Starts tasks of one job of a shard and a team, if its allotment allows it. */
        fun tryToStart(
            shard: JobShard,
            team: String,
            task: Share,
            count: Int,
        ) {
            val spec = spec(team, task.cores, task.gpus)
            val job = Job(spec.jobId, spec, shard, count, 0, JobState.OPEN)
            repeat(count) {
                if (!quota.allows(job)) return
                val key = runPrefix(shard.name) + "$team/${nextTask++}"
                placed[key] = PlacedTask(key, job).also { start(it, task) }
            }
        }

        private fun start(
            task: PlacedTask,
            share: Share,
        ) {
            val shard = task.job.shard
            quota.addUsage(task.job)
            controllerScope.launch {
                val value =
                    JsonObject(
                        mapOf(
                            "cores" to JsonPrimitive(share.cores),
                            "cards" to JsonPrimitive(share.gpus),
                        ),
                    )
                val result =
                    state.transact(1, Urgency.INTENT) {
                        val conditions = listOf(Compare(Keys.shard(shard.name), shard.leader.modRevision))
                        Transaction(conditions, listOf(Put(task.key, value))).takeIf { shard.mine }
                    }
                when (result) {
                    is TransactionResult.Applied -> {}
                    is TransactionResult.Unknown -> {
                        delay(MAX_EXECUTION_DELAY_MS)
                        if (service.value(task.key) == null) taskEnded(task.key)
                    }
                    else -> taskEnded(task.key)
                }
            }
        }

        /** This controller hears that a task is not on a machine any more. */
        fun taskEnded(key: String) {
            val task = placed.remove(key) ?: return
            if (task.isReleased) return
            task.isReleased = true
            if (task.job.shard.mine) quota.removeUsage(task.job)
        }

        /** The end of a task is told when the controller gets to it. */
        fun reportEndLater(
            key: String,
            afterMs: Long,
        ) {
            controllerScope.launch {
                delay(afterMs)
                taskEnded(key)
            }
        }

        private suspend fun call(
            method: String,
            target: String,
            body: ByteArray?,
            timeoutMs: Long,
        ): Outcome {
            val request = HttpRequest(method, target, body ?: ByteArray(0))
            val luck = random.nextDouble()
            val current = faults
            return when {
                luck < current.late -> unanswered(request, random.nextLong(timeoutMs, MAX_EXECUTION_DELAY_MS - timeoutMs), timeoutMs)
                luck < current.late + current.answerLost -> unanswered(request, 1, timeoutMs)
                luck < current.late + current.answerLost + current.refused -> Outcome.Answer(503, ByteArray(0))
                luck < current.late + current.answerLost + current.refused + current.limited -> Outcome.Answer(429, ByteArray(0))
                else -> {
                    delay(random.nextLong(1, 20))
                    val response = service.handle(request)
                    delay(random.nextLong(1, 20))
                    Outcome.Answer(response.status, response.body)
                }
            }
        }

        fun end() = controllerScope.cancel()
    }

    private suspend fun unanswered(
        request: HttpRequest,
        afterMs: Long,
        timeoutMs: Long,
    ): Outcome {
        scope.launch {
            delay(afterMs)
            service.handle(request)
        }
        delay(timeoutMs)
        return Outcome.Silence
    }

    /** Without faults or limits, for what is not under test. */
    private val plain =
        StateStoreClient(
            HttpCaller { _, method, target, body, _ ->
                val response = service.handle(HttpRequest(method, target, body ?: ByteArray(0)))
                Outcome.Answer(response.status, response.body)
            },
            "state",
            RateBudget(scope, 1e9, { now }),
            RateBudget(scope, 1e9, { now }),
            500,
        )

    private fun change(change: Write) {
        scope.launch { plain.transact(1, Urgency.LEASE) { Transaction(emptyList(), listOf(change)) } }
    }

    private var fencingToken = 0

    /** The shard is in another controller's hands from now on, whether or not the former holder has heard of it. */
    fun transferShard(
        name: String,
        to: Int,
    ) {
        val leader =
            JsonObject(
                mapOf(
                    "host" to JsonPrimitive("host-$to"),
                    "process" to JsonPrimitive("p$to"),
                    "epoch" to JsonPrimitive(++fencingToken),
                ),
            )
        change(Put(Keys.shard(name), leader))
    }

    /** A task that runs ends on its machine; its owner hears of it later. */
    fun endRandomTask() {
        val running = service.keysUnder(RUN)
        if (running.isEmpty()) return
        val key = running.random(random)
        val reportedAfterMs = random.nextLong(1, 1500)
        change(Delete(key))
        for (controller in controllers) controller.reportEndLater(key, reportedAfterMs)
    }

    fun runFor(ms: Long) {
        scheduler.advanceTimeBy(ms)
        scheduler.runCurrent()
        failure?.let { throw AssertionError("at $now ms: ${it.message}", it) }
    }

    /** What the state service holds for a shard. */
    fun storedRow(
        team: String,
        shard: String,
    ): Share {
        val row = service.value(Keys.team(team))?.get(shard) as? JsonArray ?: return Share.NONE
        return Share(row[0].jsonPrimitive.double, row[1].jsonPrimitive.double)
    }

    /** What the tasks of a shard that may be on machines take. */
    fun runningShare(
        team: String,
        shard: String,
    ): Share =
        service.keysUnder(runPrefix(shard) + "$team/").fold(Share.NONE) { sum, key ->
            val value = service.value(key)!!
            sum + Share(value.number("cores"), value.number("cards"))
        }

    fun close() {
        for (controller in controllers) controller.end()
        scope.cancel()
        scheduler.runCurrent()
    }

    private fun JsonObject.number(field: String) = getValue(field).jsonPrimitive.double

    companion object {
        private const val RUN = "run/"

        /** A transaction without an answer is carried out by then, or never. */
        private const val MAX_EXECUTION_DELAY_MS = 6000L

        private fun runPrefix(shard: String) = "$RUN$shard/"

        private fun teamOf(key: String) = key.split('/')[2]
    }
}
