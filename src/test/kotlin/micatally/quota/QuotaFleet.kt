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
import micatally.http.HttpCaller
import micatally.job.Job
import micatally.job.JobShard
import micatally.job.JobState
import micatally.job.ShardState
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.FixedTeams
import micatally.settings.Team
import micatally.sim.FreezableDispatcher
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

/**
 * Several controllers that share teams' limits through one state store, in simulated time. The fleet contains only what
 * affects limits: caches of the shared keys that lag, allotments, intents whose write is conditional on the leadership
 * of the shard, ends of tasks that are reported late, and failovers.
 *
 * A task counts as running once the state store holds its intent, since its run command may be sent from then on.
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
    private val store = FaultyStateStore(random, scope) { now }
    val emulator get() = store.emulator
    var faults by store::faults
    val controllers = List(controllerCount) { Controller(it) }
    private var nextTask = 0

    /** The specification of a job whose one task takes this many cores and GPUs of its team's limit. */
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
        private val pausableDispatcher = FreezableDispatcher(dispatcher)
        private val controllerScope = CoroutineScope(SupervisorJob() + pausableDispatcher + handler)
        private val sharedKeys = SharedKeyCache()
        private val state =
            StateStoreClient(
                HttpCaller { _, method, target, body, timeoutMs -> store.call(method, target, body, timeoutMs) },
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
            get() = pausableDispatcher.frozen
            set(value) {
                pausableDispatcher.frozen = value
            }

        /** Updates the cache of the shared keys after [afterMs] with a listing that is taken now. */
        fun refreshCache(afterMs: Long) {
            controllerScope.launch {
                val listing = store.reliableClient.list(Keys.PREFIX, Urgency.LEASE) ?: return@launch
                delay(afterMs)
                val changed = sharedKeys.load(listing)
                checkShards()
                for (key in changed.filter {
                    it.startsWith(
                        Keys.TEAM,
                    )
                }) {
                    quota.allotmentsChanged(key.removePrefix(Keys.TEAM))
                }
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

        /** Loads the stored tasks of the shard after a delay. Some of them may have ended just before. */
        private suspend fun load(shard: JobShard) {
            delay(random.nextLong(20, 400))
            if (!shard.isLedHere) return
            val stored = emulator.keysUnder(runPrefix(shard.name))
            for (key in stored) adopt(shard, key, emulator.value(key)!!)
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

        /** Starts up to [count] tasks of a new job, as many as the shard's allotment allows. */
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
                        Transaction(conditions, listOf(Put(task.key, value))).takeIf { shard.isLedHere }
                    }
                when (result) {
                    is TransactionResult.Applied -> {}
                    is TransactionResult.Unknown -> {
                        delay(FaultyStateStore.MAX_EXECUTION_DELAY_MS)
                        if (emulator.value(task.key) == null) taskEnded(task.key)
                    }
                    else -> taskEnded(task.key)
                }
            }
        }

        /** Called when this controller learns that a task does not run any more. */
        fun taskEnded(key: String) {
            val task = placed.remove(key) ?: return
            if (task.isReleased) return
            task.isReleased = true
            if (task.job.shard.isLedHere) quota.removeUsage(task.job)
        }

        /** Lets this controller learn of the end of a task after [afterMs]. */
        fun reportEndLater(
            key: String,
            afterMs: Long,
        ) {
            controllerScope.launch {
                delay(afterMs)
                taskEnded(key)
            }
        }

        fun end() = controllerScope.cancel()
    }

    private fun change(change: Write) {
        scope.launch { store.reliableClient.transact(1, Urgency.LEASE) { Transaction(emptyList(), listOf(change)) } }
    }

    private var fencingToken = 0

    /** Makes controller [to] the leader of the shard. The former leader learns of it only from its cache. */
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

    /** Ends one of the running tasks. Its controller learns of this later. */
    fun endRandomTask() {
        val running = emulator.keysUnder(RUN_PREFIX)
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

    /** The share that the state store holds as the allotment of the shard. */
    fun storedRow(
        team: String,
        shard: String,
    ): Share {
        val row = emulator.value(Keys.team(team))?.get(shard) as? JsonArray ?: return Share.NONE
        return Share(row[0].jsonPrimitive.double, row[1].jsonPrimitive.double)
    }

    /** What those tasks of the shard take that may be running. */
    fun runningShare(
        team: String,
        shard: String,
    ): Share =
        emulator.keysUnder(runPrefix(shard) + "$team/").fold(Share.NONE) { sum, key ->
            val value = emulator.value(key)!!
            sum + Share(value.number("cores"), value.number("cards"))
        }

    fun close() {
        for (controller in controllers) controller.end()
        scope.cancel()
        scheduler.runCurrent()
    }

    private fun JsonObject.number(field: String) = getValue(field).jsonPrimitive.double

    companion object {
        private const val RUN_PREFIX = "run/"

        private fun runPrefix(shard: String) = "$RUN_PREFIX$shard/"

        private fun teamOf(key: String) = key.split('/')[2]
    }
}
