package micatally.fleet

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.membership.SharedKeyCache
import micatally.sim.plainSettings
import micatally.state.RateBudget
import micatally.state.StateStoreClient
import micatally.state.Urgency
import micatally.wire.asText
import micatally.wire.listOrNull
import micatally.wire.parseObject
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** What a fleet manager has decided holds only while it is the fleet manager, and only while the reason holds. */
@OptIn(ExperimentalCoroutinesApi::class)
class ScaleInTest {
    private val deleted = ArrayList<String>()
    private val heard = HashSet<String>()
    private var isLeader = true

    /** Answers every request with 200, and records which machines are deleted. */
    private val http =
        HttpCaller { _, _, target, body, _ ->
            if (target == "/machines/delete") {
                deleted += (parseObject(body!!).listOrNull("cars") ?: emptyList()).map { it.asText() }
            }
            Outcome.Answer(200, "{\"odometer\":1}".encodeToByteArray())
        }

    private fun TestScope.budget() = RateBudget(backgroundScope, 1.0, { testScheduler.currentTime })

    private fun TestScope.scaleIn(cloudBudget: RateBudget): ScaleIn {
        val state = StateStoreClient(http, "state:1", budget(), budget(), 1000)
        val cloud = CloudClient(http, "cloud:1", cloudBudget, 1000)
        return ScaleIn(backgroundScope, plainSettings(), state, cloud, SharedKeyCache(), { isLeader }) {
            testScheduler.currentTime
        }
    }

    private fun request(machine: String) =
        DeletionRequest(machine, DeletionReason.SILENT_FOR_SHARD_LEADER) { machine !in heard }

    /** Guards against deletions that were requested in a former term of this process. */
    @Test
    fun `what was requested in an earlier term is not deleted in the next one`() =
        runTest {
            val scaleIn = scaleIn(budget())
            scaleIn.request(request("m-1"))
            scaleIn.beginTerm()
            scaleIn.request(request("m-2"))
            scaleIn.submit()
            runCurrent()
            assertEquals(listOf("m-2"), deleted)
        }

    /** Guards against deletions that leave long after they were decided, because of the cloud's rate limit. */
    @Test
    fun `a deletion that waited for the rate limit is not sent for a machine that was heard meanwhile`() =
        runTest {
            val cloudBudget = budget()
            val scaleIn = scaleIn(cloudBudget)
            cloudBudget.take(1, Urgency.LEASE)
            scaleIn.request(request("m-1"))
            scaleIn.request(request("m-2"))
            scaleIn.submit()
            runCurrent()
            heard.add("m-1")
            advanceTimeBy(2000)
            assertEquals(listOf("m-2"), deleted)
        }

    /** Guards the same for a fleet manager whose term ends while the deletion waits. */
    @Test
    fun `a deletion that waited for the rate limit is not sent by a former fleet manager`() =
        runTest {
            val cloudBudget = budget()
            val scaleIn = scaleIn(cloudBudget)
            cloudBudget.take(1, Urgency.LEASE)
            scaleIn.request(request("m-1"))
            scaleIn.submit()
            runCurrent()
            isLeader = false
            advanceTimeBy(2000)
            assertEquals(emptyList<String>(), deleted)
        }
}
