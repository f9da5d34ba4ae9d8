package micatally.quota

import kotlinx.coroutines.CoroutineName
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
 * A write waits for the rate limit, and both the stored rows and the use may change during this time. So only the
 * request is kept while the write waits. The row is decided when the transaction is built, from the value whose
 * modRevision the transaction compares.
 *
 * A lowered share limits this controller from before the transaction is sent until the cache of the shared keys shows
 * the outcome.
 *
 * @param snapshot returns the data for a decision about the shard and the team as it is now
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
    /** The change in flight by team. */
    private val inFlight = HashMap<String, Change>()

    /** The shares that allotments are being lowered to. They bound the use until the cache shows the outcome. */
    private val pendingBounds = HashMap<AllotmentId, Share>()

    /** Returns what the shard may use of its [stored] share, which is less while the share is being lowered. */
    fun usable(
        id: AllotmentId,
        stored: Share,
    ) = pendingBounds[id]?.let { stored.atMost(it) } ?: stored

    /** Removes the bounds of a shard that this controller does not lead any more. */
    fun forget(shard: String) {
        pendingBounds.keys.removeIf { it.shard == shard }
    }

    /**
     * A change of an allotment, from the request until the cache of the shared keys shows the outcome.
     *
     * @property isVisible whether the cache shows the outcome; false as long as there is no outcome
     */
    private class Change(
        val shard: JobShard,
        val id: AllotmentId,
        val request: AllotmentRequest,
    ) {
        var isVisible: () -> Boolean = { false }
    }

    /** Starts a change and returns at once. If another change of the team is in flight, the request is dropped. */
    fun submit(
        shard: JobShard,
        team: Team,
        request: AllotmentRequest,
        urgency: Urgency,
    ) {
        inFlight[team.name]?.let { previous ->
            if (!previous.isVisible()) return
            end(previous)
        }
        val change = Change(shard, AllotmentId(shard.name, team.name), request)
        inFlight[team.name] = change
        scope.launch(CoroutineName("allotment write")) {
            try {
                execute(change, urgency)
            } finally {
                if (end(change)) onChanged()
            }
        }
    }

    /** Ends a change and removes the bound that it has set. Returns false if the change had already ended. */
    private fun end(change: Change): Boolean {
        if (!inFlight.remove(change.id.team, change)) return false
        pendingBounds.remove(change.id)
        return true
    }

    /** The transaction of a change, with the decision and the data that it is based on. */
    private class DecidedChange(
        val transaction: Transaction,
        val snapshot: AllotmentSnapshot,
        val decision: AllotmentDecision,
    )

    private suspend fun execute(
        change: Change,
        urgency: Urgency,
    ) {
        var decided: DecidedChange? = null
        val result =
            state.transact(1, urgency) {
                pendingBounds.remove(change.id)
                decided = decide(change)
                decided?.let { applyBound(change.id, it) }
                decided?.transaction
            }
        val sent = decided ?: return
        when (result) {
            is TransactionResult.Applied -> {
                logApplied(sent, result.revision)
                // Until the cache shows this change, any other change from this controller would fail its comparison.
                visibleWhen(change) { sharedKeys.revision >= result.revision }
                awaitVisible(change)
            }
            // The transaction may have been applied or may be applied later. If it raises the share, this does no harm,
            // since it grants only what was free at the modRevision that it compares. But if it lowers the share, this
            // controller must not use the former share again.
            is TransactionResult.Unknown ->
                if (sent.decision.lowers) {
                    visibleWhen(change) { hasNewRevision(sent) }
                    retryUntilAnswered(change, sent)
                    awaitVisible(change)
                }
            // The key has changed since the cache was updated. Until the cache shows this, any other change would fail
            // too.
            is TransactionResult.Failed -> {
                visibleWhen(change) { hasNewRevision(sent) }
                awaitVisible(change)
            }
            else -> {}
        }
    }

    /** Decides the change. Returns null if no write is needed any more, or if nothing may be written now. */
    private fun decide(change: Change): DecidedChange? {
        val shard = change.shard
        if (shard.state != ShardState.ACTIVE || !teams.isCurrent) return null
        val team = teams.team(change.id.team)?.takeIf { it.isLimited } ?: return null
        val snapshot = snapshot(shard, team)
        val decision = rule.decide(snapshot, change.request)
        if (!decision.isWorthWriting) return null
        return DecidedChange(buildTransaction(shard, snapshot, decision), snapshot, decision)
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
        decided: DecidedChange,
    ) {
        if (decided.decision.lowers) pendingBounds[id] = decided.decision.row.share
    }

    private fun logApplied(
        sent: DecidedChange,
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

    /** Sets the condition for the change to be visible: the cache shows it, or this controller has lost the shard. */
    private fun visibleWhen(
        change: Change,
        isShownByCache: () -> Boolean,
    ) {
        change.isVisible = { !change.shard.isLedHere || isShownByCache() }
    }

    private suspend fun awaitVisible(change: Change) {
        while (!change.isVisible()) delay(VISIBILITY_POLL_MS)
    }

    private fun hasNewRevision(sent: DecidedChange) =
        sharedKeys.modRevision(Keys.team(sent.snapshot.team.name)) != sent.snapshot.stored.modRevision

    /**
     * Repeats the transaction until it is known to be applied or to have failed, or until the change is visible. The
     * caller must still wait until the change is visible, since the cache may still hold the former allotment.
     */
    private suspend fun retryUntilAnswered(
        change: Change,
        sent: DecidedChange,
    ) {
        val shard = change.shard
        while (!change.isVisible()) {
            val result =
                state.transact(1, Urgency.SUMMARY) {
                    sent.transaction.takeIf { shard.state == ShardState.ACTIVE }
                }
            if (result is TransactionResult.Applied || result is TransactionResult.Failed) return
            delay(RETRY_MS)
        }
    }

    private companion object {
        /** The interval of the checks whether the cache shows the outcome of a change. */
        const val VISIBILITY_POLL_MS = 50L

        /** The pause between two repetitions of a transaction with an unknown outcome. */
        const val RETRY_MS = 1000L
    }
}
