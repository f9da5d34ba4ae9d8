package micatally.quota

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
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
import micatally.state.RateBudget
import micatally.state.StateStoreClient
import micatally.state.Urgency
import micatally.wire.JobSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests the allotments of a team's limit with two controllers and the state store emulator. */
@OptIn(ExperimentalCoroutinesApi::class)
class QuotaTest {
    private val limits = hashMapOf("vision" to Team("vision", 0.0, 40.0, 0.0, 0.0))
    private val teams = FixedTeams(limits)

    private inner class Setup(
        scope: TestScope,
        changesPerSecond: Double = 1000.0,
    ) {
        private val now = { scope.testScheduler.currentTime }
        val emulator = StateStoreEmulator(nowMs = now)
        var losesNextAnswer = false
        private val http =
            HttpCaller { _, method, target, body, timeoutMs ->
                val response = emulator.handle(HttpRequest(method, target, body ?: ByteArray(0)))
                if (losesNextAnswer &&
                    target == "/txn"
                ) {
                    losesNextAnswer = false
                    kotlinx.coroutines.delay(timeoutMs)
                    Outcome.NoResponse
                } else {
                    Outcome.Answer(response.status, response.body)
                }
            }
        val state =
            StateStoreClient(
                http,
                "state",
                RateBudget(scope.backgroundScope, 1000.0, now),
                RateBudget(scope.backgroundScope, changesPerSecond, now),
                500,
            )
        private val caches = List(2) { SharedKeyCache() }
        val shards = ArrayList<JobShard>()
        lateinit var quotas: List<Quota>

        suspend fun start(scope: TestScope) {
            for (i in 0..1) {
                emulator.handle(
                    HttpRequest(
                        "POST",
                        "/txn",
                        "{\"when\":[],\"then\":[{\"put\":\"c/ledger/l$i\",\"value\":{\"host\":\"l$i\",\"process\":\"p\",\"epoch\":1}}]}"
                            .toByteArray(),
                    ),
                )
            }
            refreshAllCaches()
            for (i in 0..1) {
                shards.add(
                    JobShard("l$i", caches[i].leader("l$i")!!).also { it.transitionTo(ShardState.ACTIVE) },
                )
            }
            quotas =
                List(2) { i -> Quota(scope.backgroundScope, state, caches[i], teams, { listOf(shards[i]) }, 2) {} }
        }

        /** The cores that the state store holds as the allotment of shard [i]. */
        fun allottedCores(i: Int) =
            (emulator.value(Keys.team("vision"))?.get("l$i") as? JsonArray)?.get(0)?.jsonPrimitive?.double ?: 0.0

        /** Updates the cache of the shared keys of controller [i]. */
        suspend fun refreshCache(i: Int) {
            caches[i].load(state.list(Keys.PREFIX, Urgency.LEASE)!!)
        }

        /** Updates the caches of the shared keys of both controllers. */
        suspend fun refreshAllCaches() {
            refreshCache(0)
            refreshCache(1)
        }

        fun job(
            i: Int,
            cores: Double,
            number: Int,
        ) = JobSpec
            .parse(
                JsonObject(Rehearsal.job(number, "sweep", 4) + ("cores" to JsonPrimitive(cores))),
            ).let { Job(it.jobId, it, shards[i], it.taskCount, 0, JobState.OPEN) }
    }

    private fun withSetup(
        changesPerSecond: Double = 1000.0,
        test: suspend TestScope.(Setup) -> Unit,
    ) = runTest {
        val setup = Setup(this, changesPerSecond)
        setup.start(this)
        test(setup)
    }

    /**
     * Guards against using a released share again. The write that lowered the allotment had no answer, and its
     * repetition failed because the key had changed. The controller then used the former allotment although the leader
     * of another shard could already take the released share.
     */
    @Test
    fun `a lowered allotment without an answer limits use until the cache shows it`() =
        withSetup { setup ->
            val big = setup.job(0, 16.0, 1)
            assertFalse(setup.quotas[0].allows(big))
            advanceTimeBy(100)
            setup.refreshAllCaches()
            assertTrue(setup.quotas[0].allows(big))
            setup.losesNextAnswer = true
            setup.quotas[0].releaseUnused()
            advanceTimeBy(5000)
            assertFalse(setup.quotas[0].allows(big), "released, whether or not the cache shows it")
            setup.refreshCache(0)
            advanceTimeBy(200)
            assertFalse(setup.quotas[0].allows(big), "only the stored allotment counts")
        }

    /**
     * Guards against treating a shard as unused after a failover until its jobs are loaded. Its allotment was released,
     * and new tasks were started in addition to those that were still running.
     */
    @Test
    fun `a shard that is not loaded neither uses nor releases its allotment`() =
        withSetup { setup ->
            val job = setup.job(0, 16.0, 1)
            assertFalse(setup.quotas[0].allows(job))
            advanceTimeBy(100)
            setup.refreshAllCaches()
            val before = setup.emulator.value(Keys.team("vision"))
            setup.shards[0] = JobShard("l0", setup.shards[0].leader)
            assertFalse(setup.quotas[0].allows(setup.job(0, 1.0, 2)))
            setup.quotas[0].releaseUnused()
            advanceTimeBy(1000)
            assertEquals(before, setup.emulator.value(Keys.team("vision")))
        }

    /**
     * Guards against a job that waits forever for the team's limit because the leaders of other shards keep a slack for
     * their next jobs.
     */
    @Test
    fun `while a shard is starved the other shards release their slack`() =
        withSetup { setup ->
            val small = setup.job(0, 1.0, 1)
            assertFalse(setup.quotas[0].allows(small))
            advanceTimeBy(100)
            setup.refreshAllCaches()
            setup.quotas[0].addUsage(small)
            val whole = setup.job(1, 39.0, 2)
            assertFalse(setup.quotas[1].allows(whole))
            advanceTimeBy(100)
            setup.refreshAllCaches()
            setup.quotas[0].allotmentsChanged("vision")
            advanceTimeBy(100)
            setup.refreshAllCaches()
            advanceTimeBy(100)
            assertFalse(setup.quotas[1].allows(whole), "not allotted yet")
            advanceTimeBy(100)
            setup.refreshAllCaches()
            assertTrue(setup.quotas[1].allows(whole))
            assertEquals(1.0, setup.quotas[0].used("l0", "vision").cores)
        }

    /**
     * Guards against two shards that are starved of the same limit passing the same share back and forth as fast as the
     * state store can write, which doubled the number of writes.
     */
    @Test
    fun `two starved shards don't pass a share back and forth`() =
        withSetup { setup ->
            val jobs = listOf(setup.job(0, 25.0, 1), setup.job(1, 25.0, 2))
            val before = setup.emulator.changesMade
            repeat(100) {
                for (i in 0..1) {
                    setup.quotas[i].allows(jobs[i])
                    advanceTimeBy(20)
                    setup.refreshAllCaches()
                    for (quota in setup.quotas) quota.allotmentsChanged("vision")
                }
            }
            assertTrue(setup.emulator.changesMade - before <= 8, "${setup.emulator.changesMade - before} writes")
        }

    /**
     * Guards against a raise that lowers the allotment. A second raise was decided before the cache showed the first
     * one, and its transaction was built afterwards. It lowered the allotment below the use of the tasks that were
     * placed in between, and the same GPUs were then allotted to another shard.
     */
    @Test
    fun `a delayed raise does not lower the allotment below what is in use`() =
        withSetup(changesPerSecond = 1.0) { setup ->
            val big = setup.job(0, 16.0, 1)
            assertFalse(setup.quotas[0].allows(big))
            advanceTimeBy(100)
            assertFalse(setup.quotas[0].allows(setup.job(0, 1.0, 2)), "the cache does not show the first raise yet")
            setup.refreshCache(0)
            assertTrue(setup.quotas[0].allows(big))
            setup.quotas[0].addUsage(big)
            advanceTimeBy(2000)
            assertTrue(setup.allottedCores(0) >= 16.0, "allotted ${setup.allottedCores(0)}, in use 16")
        }

    /**
     * Guards against a team that can't start any task after its limit was lowered below the allotments of two shards.
     * Neither shard could release its unused part, since the sum of both was still above the limit after each single
     * change.
     */
    @Test
    fun `two shards release their unused parts when the limit is lowered below their sum`() =
        withSetup { setup ->
            for (i in 0..1) {
                assertFalse(setup.quotas[i].allows(setup.job(i, 4.0, i)))
                advanceTimeBy(100)
                setup.refreshAllCaches()
            }
            limits["vision"] = Team("vision", 0.0, 8.0, 0.0, 0.0)
            for (i in 0..1) {
                setup.quotas[i].limitsChanged()
                advanceTimeBy(100)
                setup.refreshAllCaches()
            }
            val left = setup.allottedCores(0) + setup.allottedCores(1)
            assertTrue(left <= 8.0, "$left still allotted")
        }
}
