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
 * Brings this node's allotments to the state service, one change of a team at a time.
 *
 * A change waits for its turn, and meanwhile both the stored rows and the use may change. So nothing is kept from before
 * the wait but the wish: the row is decided when the transaction is put together, from the reading whose mark the
 * transaction is conditional on. A lowered share binds this node from before the transaction leaves until the copy of the
 * shared keys shows the outcome.
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
    /** The change of a team that is under way. */
    private val inFlight = HashMap<String, Change>()

    /** What an allotment is about to be lowered to. */
    private val pendingBounds = HashMap<AllotmentId, Share>()

    /** The share that the shard may use of its [stored] one. */
    fun usable(
        id: AllotmentId,
        stored: Share,
    ) = pendingBounds[id]?.let { stored.atMost(it) } ?: stored

    fun forget(shard: String) {
        pendingBounds.keys.removeIf { it.shard == shard }
    }

    /**
     * One change from the wish to the moment at which this node's copy shows its outcome.
     *
     * @property isVisible whether the copy shows it, once there is an outcome
     */
    private class Change(
        val shard: JobShard,
        val id: AllotmentId,
        val request: AllotmentRequest,
    ) {
        var isVisible: () -> Boolean = { false }
    }

    /** Asks for a change; nothing happens while another one of the team is under way. */
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

    /** The one place where a change ends, and with it what it bound. False if it had ended before. */
    private fun end(change: Change): Boolean {
        if (!inFlight.remove(change.id.team, change)) return false
        pendingBounds.remove(change.id)
        return true
    }

    /** A decided row on its way, with the readings that it rests on. */
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
                // Until the copy shows it, any other change of this node would be refused.
                visibleWhen(change) { sharedKeys.revision >= result.revision }
                awaitVisible(change)
            }
            // After silence a lowering may yet be carried out; a raise that is carried out late is conditional on its mark.
            is TransactionResult.Unknown ->
                if (sent.decision.lowers) {
                    visibleWhen(change) { hasNewRevision(sent) }
                    retryUntilAnswered(change, sent)
                    awaitVisible(change)
                }
            // The key has another mark than in the copy: until that shows it, any other change would be refused too.
            is TransactionResult.Failed -> {
                visibleWhen(change) { hasNewRevision(sent) }
                awaitVisible(change)
            }
            else -> {}
        }
    }

    /** Null if there is nothing to be written any more, or nothing may be. */
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

    /** From now on the change counts as seen when the copy shows it, or when the shard is not this node's any more. */
    private fun visibleWhen(
        change: Change,
        isShownByCache: () -> Boolean,
    ) {
        change.isVisible = { !change.shard.mine || isShownByCache() }
    }

    private suspend fun awaitVisible(change: Change) {
        while (!change.isVisible()) delay(VISIBILITY_POLL_MS)
    }

    private fun hasNewRevision(sent: Pending) =
        sharedKeys.modRevision(Keys.team(sent.snapshot.team.name)) != sent.snapshot.stored.modRevision

    /** The same transaction again until there is an answer, or the change is seen. An answer alone does not end the change:
     * this node's copy may still hold the former allotment. */
    private suspend fun retryUntilAnswered(
        change: Change,
        sent: Pending,
    ) {
        val shard = change.shard
        while (!change.isVisible()) {
            val again = state.transact(1, Urgency.SUMMARY) { sent.transaction.takeIf { shard.state == ShardState.ACTIVE } }
            if (again is TransactionResult.Applied || again is TransactionResult.Failed) return
            delay(RETRY_MS)
        }
    }

    private companion object {
        const val VISIBILITY_POLL_MS = 50L
        const val RETRY_MS = 1000L
    }
}
