package micatally.quota

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.job.JobShard
import micatally.job.ShardState
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Team
import micatally.settings.TeamDirectory
import micatally.state.Compare
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency

/**
 * Writes the allotments of this controller's shards to the state store, one change per team at a time.
 *
 * A write waits for its turn in the budget, and meanwhile both the stored rows and the use may change. So only the
 * request is kept during the wait: the row is decided when the transaction is built, from the value whose
 * modRevision the transaction compares. A lowered share limits this controller from before the transaction is sent
 * until the cache of the shared keys shows the outcome.
 *
 * @param snapshot takes what a decision about the shard and the team rests on, as it is now
 * @param onChanged called after each change has ended, whether it was applied or not
 */
class AllotmentWriter(
    private val scope: CoroutineScope,
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
    private val teams: TeamDirectory,
    private val rule: AllotmentRule,
    private val audit: AllotmentAudit,
    private val snapshot: (JobShard, Team) -> AllotmentSnapshot,
    private val onChanged: () -> Unit,
) {
    /** The change in flight of each team. */
    private val inFlight = HashMap<String, Change>()

    /** What an allotment is being lowered to. */
    private val pendingBounds = HashMap<AllotmentId, Share>()

    /** Returns what the shard may use of its [stored] share: less while the share is being lowered. */
    fun usable(
        id: AllotmentId,
        stored: Share,
    ) = pendingBounds[id]?.let { stored.atMost(it) } ?: stored

    /** Drops what was noted for a shard that this controller does not lead any more. */
    fun forget(shard: String) {
        pendingBounds.keys.removeIf { it.shard == shard }
    }

    /**
     * A change, from the request until the cache of the shared keys shows the outcome.
     *
     * @property isVisible whether the cache shows the outcome; false as long as there is none
     */
    private class Change(
        val shard: JobShard,
        val id: AllotmentId,
        val request: AllotmentRequest,
    ) {
        var isVisible: () -> Boolean = { false }
    }

    /** Starts a change and returns at once. The request is dropped while another change of the team is in flight. */
    fun submit(
        shard: JobShard,
        team: Team,
        request: AllotmentRequest,
        urgency: Urgency,
    ) {
        inFlight[team.name]?.let { former ->
            if (!former.isVisible()) return
            end(former)
        }
        val change = Change(shard, AllotmentId(shard.name, team.name), request)
        inFlight[team.name] = change
        scope.launch {
            try {
                execute(change, urgency)
            } finally {
                if (end(change)) onChanged()
            }
        }
    }

    /** The one place where a change ends, and with it the bound that it set. Returns false if it had ended before. */
    private fun end(change: Change): Boolean {
        if (!inFlight.remove(change.id.team, change)) return false
        pendingBounds.remove(change.id)
        return true
    }

    /** The transaction of a change, with the decision and what it rests on. */
    private class Pending(
        val transaction: Transaction,
        val snapshot: AllotmentSnapshot,
        val decision: AllotmentDecision,
    )

    private suspend fun execute(
        change: Change,
        urgency: Urgency,
    ) {
        var pending: Pending? = null
        val result =
            state.transact(1, urgency) {
                pendingBounds.remove(change.id)
                pending = decide(change)
                pending?.let { applyBound(change.id, it) }
                pending?.transaction
            }
        val sent = pending ?: return
        when (result) {
            is TransactionResult.Applied -> {
                logApplied(sent, result.revision)
                // Until the cache shows it, any other change from here would fail its comparison.
                visibleWhen(change) { sharedKeys.revision >= result.revision }
                awaitVisible(change)
            }
            // The transaction may still be applied. A late raise does no harm, since it grants only what was free at
            // the modRevision that it compares; but a lowered share must not be used again.
            is TransactionResult.Unknown ->
                if (sent.decision.lowers) {
                    visibleWhen(change) { hasNewRevision(sent) }
                    retryUntilAnswered(change, sent)
                    awaitVisible(change)
                }
            // The key has changed since the cache was filled: until the cache shows that, any other change would
            // fail too.
            is TransactionResult.Failed -> {
                visibleWhen(change) { hasNewRevision(sent) }
                awaitVisible(change)
            }
            else -> {}
        }
    }

    /** Returns null if there is nothing to write any more, or nothing may be written. */
    private fun decide(change: Change): Pending? {
        val shard = change.shard
        if (shard.state != ShardState.ACTIVE || !teams.isCurrent) return null
        val team = teams.team(change.id.team)?.takeIf { it.isLimited } ?: return null
        val snapshot = snapshot(shard, team)
        val decision = rule.decide(snapshot, change.request)
        if (!decision.isWorthWriting) return null
        return Pending(buildTransaction(shard, snapshot, decision), snapshot, decision)
    }

    private fun buildTransaction(
        shard: JobShard,
        snapshot: AllotmentSnapshot,
        decision: AllotmentDecision,
    ): Transaction {
        val key = Keys.team(snapshot.team.name)
        val conditions =
            listOf(Compare(Keys.shard(shard.name), shard.leader.modRevision), Compare(key, snapshot.stored.modRevision))
        return Transaction(conditions, listOf(Put(key, snapshot.stored.encodeWith(shard.name, decision.row))))
    }

    private fun applyBound(
        id: AllotmentId,
        pending: Pending,
    ) {
        if (pending.decision.lowers) pendingBounds[id] = pending.decision.row.share
    }

    private fun logApplied(
        sent: Pending,
        revision: Long,
    ) {
        val snapshot = sent.snapshot
        audit.logChange(
            AllotmentChange(
                snapshot.team.name,
                snapshot.shard,
                snapshot.stored.modRevision,
                revision,
                sent.decision.stored.share,
                sent.decision.row.share,
                snapshot.use,
            ),
        )
    }

    /**
     * From now on the change counts as visible when the cache shows it, or when this controller has lost the shard.
     */
    private fun visibleWhen(
        change: Change,
        isShownByCache: () -> Boolean,
    ) {
        change.isVisible = { !change.shard.isLedHere || isShownByCache() }
    }

    private suspend fun awaitVisible(change: Change) {
        while (!change.isVisible()) delay(VISIBILITY_POLL_MS)
    }

    private fun hasNewRevision(sent: Pending) =
        sharedKeys.modRevision(Keys.team(sent.snapshot.team.name)) != sent.snapshot.stored.modRevision

    /**
     * Repeats the transaction until there is an answer, or the change is visible. An answer alone does not end the
     * change, since the cache may still hold the former allotment.
     */
    private suspend fun retryUntilAnswered(
        change: Change,
        sent: Pending,
    ) {
        val shard = change.shard
        while (!change.isVisible()) {
            val again =
                state.transact(1, Urgency.SUMMARY) {
                    sent.transaction.takeIf { shard.state == ShardState.ACTIVE }
                }
            if (again is TransactionResult.Applied || again is TransactionResult.Failed) return
            delay(RETRY_MS)
        }
    }

    private companion object {
        const val VISIBILITY_POLL_MS = 50L
        const val RETRY_MS = 1000L
    }
}
