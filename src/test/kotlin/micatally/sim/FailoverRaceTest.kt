package micatally.sim

import kotlinx.coroutines.launch
import micatally.membership.Keys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test

/** Takeovers that are decided on one holder and written when there is another. */
class FailoverRaceTest {
    /**
     * Found in the audit of the incident of 2 December: a takeover waits for its turn at the state service. That its holder was
     * dead was decided on the holder of before; the condition was on the shard's mark of after, which may be that of a
     * controller that has taken the shard meanwhile and lives.
     */
    @Test
    fun `a takeover that waited does not take the ledger from its next holder`() =
        scenario(1) {
            val shard = f.settings[0].host
            val dead =
                f.live[1]!!
                    .membership.sharedKeys
                    .leader(shard)!!
            f.crash(0)
            runUntil(f.lease * 3, "another controller has the ledger") { leader(0) != null }
            val next = leader(0)!!
            val slow = others.first { it != next }
            val membership = f.live[slow]!!.membership
            runUntil(f.lease, "the other one has seen it") {
                membership.sharedKeys.leader(shard)?.modRevision !=
                    dead.modRevision
            }
            var taken: Boolean? = null
            f.scope.launch { taken = membership.acquire(shard, "its holder ${dead.host} is dead", dead) }
            runUntil(f.lease, "the takeover has ended") { taken != null }
            assertFalse(taken!!)
            assertEquals(next, leader(0))
            assertNotEquals(dead.modRevision, membership.sharedKeys.modRevision(Keys.shard(shard)))
        }
}
