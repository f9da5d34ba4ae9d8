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
    private val view: (JobShard, Team) -> AllotmentView,
    private val changed: () -> Unit,
) {
    /** The change of a team that is under way. */
    private val underWay = HashMap<String, Change>()

    /** What an allotment is about to be lowered to. */
    private val bounds = HashMap<AllotmentId, Share>()

    /** The share that the shard may use of its [stored] one. */
    fun usable(
        id: AllotmentId,
        stored: Share,
    ) = bounds[id]?.let { stored.atMost(it) } ?: stored

    fun forget(shard: String) {
        bounds.keys.removeIf { it.shard == shard }
    }

    /**
     * One change from the wish to the moment at which this node's copy shows its outcome.
     *
     * @property isSeen whether the copy shows it, once there is an outcome
     */
    private class Change(
        val shard: JobShard,
        val id: AllotmentId,
        val wish: AllotmentWish,
    ) {
        var isSeen: () -> Boolean = { false }
    }

    /** Asks for a change; nothing happens while another one of the team is under way. */
    fun request(
        shard: JobShard,
        team: Team,
        wish: AllotmentWish,
        urgency: Urgency,
    ) {
        underWay[team.name]?.let { former ->
            if (!former.isSeen()) return
            end(former)
        }
        val change = Change(shard, AllotmentId(shard.name, team.name), wish)
        underWay[team.name] = change
        scope.launch {
            try {
                carryOut(change, urgency)
            } finally {
                if (end(change)) changed()
            }
        }
    }

    /** The one place where a change ends, and with it what it bound. False if it had ended before. */
    private fun end(change: Change): Boolean {
        if (!underWay.remove(change.id.team, change)) return false
        bounds.remove(change.id)
        return true
    }

    /** A decided row on its way, with the readings that it rests on. */
    private class Pending(
        val transact: Transaction,
        val view: AllotmentView,
        val decision: AllotmentDecision,
    )

    private suspend fun carryOut(
        change: Change,
        urgency: Urgency,
    ) {
        var pending: Pending? = null
        val result =
            state.transact(1, urgency) {
                bounds.remove(change.id)
                pending = decide(change)
                pending?.let { bind(change.id, it) }
                pending?.transact
            }
        val sent = pending ?: return
        when (result) {
            is TransactionResult.Applied -> {
                tell(sent, result.revision)
                // Until the copy shows it, any other change of this node would be refused.
                endsWhen(change) { sharedKeys.revision >= result.revision }
                awaitSeen(change)
            }
            // After silence a lowering may yet be carried out; a raise that is carried out late is conditional on its mark.
            is TransactionResult.Unknown ->
                if (sent.decision.lowers) {
                    endsWhen(change) { hasOtherMark(sent) }
                    repeatUntilAnswered(change, sent)
                    awaitSeen(change)
                }
            // The key has another mark than in the copy: until that shows it, any other change would be refused too.
            is TransactionResult.Failed -> {
                endsWhen(change) { hasOtherMark(sent) }
                awaitSeen(change)
            }
            else -> {}
        }
    }

    /** Null if there is nothing to be written any more, or nothing may be. */
    private fun decide(change: Change): Pending? {
        val shard = change.shard
        if (shard.state != ShardState.ACTIVE || !teams.isCurrent) return null
        val team = teams.team(change.id.team)?.takeIf { it.isLimited } ?: return null
        val view = view(shard, team)
        val decision = rule.decide(view, change.wish)
        if (!decision.isWorthWriting) return null
        return Pending(transaction(shard, view, decision), view, decision)
    }

    private fun transaction(
        shard: JobShard,
        view: AllotmentView,
        decision: AllotmentDecision,
    ): Transaction {
        val key = Keys.team(view.team.name)
        val conditions =
            listOf(Compare(Keys.shard(shard.name), shard.leader.modRevision), Compare(key, view.stored.modRevision))
        return Transaction(conditions, listOf(Put(key, view.stored.encodeWith(shard.name, decision.row))))
    }

    private fun bind(
        id: AllotmentId,
        pending: Pending,
    ) {
        if (pending.decision.lowers) bounds[id] = pending.decision.row.share
    }

    private fun tell(
        sent: Pending,
        revision: Long,
    ) {
        val view = sent.view
        audit.changed(
            AllotmentChange(
                view.team.name,
                view.shard,
                view.stored.modRevision,
                revision,
                sent.decision.stored.share,
                sent.decision.row.share,
                view.use,
            ),
        )
    }

    /** From now on the change counts as seen when the copy shows it, or when the shard is not this node's any more. */
    private fun endsWhen(
        change: Change,
        isShown: () -> Boolean,
    ) {
        change.isSeen = { !change.shard.isLedHere || isShown() }
    }

    private suspend fun awaitSeen(change: Change) {
        while (!change.isSeen()) delay(SEEN_EVERY_MS)
    }

    private fun hasOtherMark(sent: Pending) =
        sharedKeys.modRevision(Keys.team(sent.view.team.name)) != sent.view.stored.modRevision

    /** The same transaction again until there is an answer, or the change is seen. An answer alone does not end the change:
     * this node's copy may still hold the former allotment. */
    private suspend fun repeatUntilAnswered(
        change: Change,
        sent: Pending,
    ) {
        val shard = change.shard
        while (!change.isSeen()) {
            val again = state.transact(1, Urgency.SUMMARY) { sent.transact.takeIf { shard.state == ShardState.ACTIVE } }
            if (again is TransactionResult.Applied || again is TransactionResult.Failed) return
            delay(REPEAT_MS)
        }
    }

    private companion object {
        const val SEEN_EVERY_MS = 50L
        const val REPEAT_MS = 1000L
    }
}
