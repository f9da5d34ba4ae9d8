package micatally.quota

import micatally.settings.Team

/** What the holder of a shard wants of its allotment. */
sealed interface AllotmentRequest {
    /** Room for more tasks beside what is in use: at least one, at best [tasks] of them. */
    class Raise(
        val task: Share,
        val tasks: Int,
    ) : AllotmentRequest

    /** Nothing more: what is not in use may go to the other shards. */
    data object ReleaseUnused : AllotmentRequest
}

/**
 * What a shard's holder knows when it decides; all of it has to be from the moment at which the row is written.
 *
 * @property use what all attempts take that are not proven gone, also those that are decided and not stored yet
 * @property wasStarved whether the shard was found short of the team's limit lately
 */
class AllotmentSnapshot(
    val team: Team,
    val shard: String,
    val stored: TeamAllotments,
    val use: Share,
    val wasStarved: Boolean,
)

/**
 * The row that a shard's holder writes.
 *
 * @property stored the row that it is to replace
 * @property isEnough false if the wish was for a task that the limit has no room for now
 */
class AllotmentDecision(
    val stored: AllotmentRow,
    val row: AllotmentRow,
    val isEnough: Boolean,
) {
    /** Whether the row holds less than the stored one in some dimension. */
    val lowers get() = stored.share.exceeds(row.share)

    private val raises get() = row.share.exceeds(stored.share)

    /** Whether the decision differs from what is stored, so that it is worth a write. */
    val isWorthWriting get() = raises || lowers || row.isStarved != stored.isStarved
}

/**
 * The one place where a row is decided. What it returns keeps two promises, whatever is wished: the shard's use stays
 * covered as far as the stored row covers it, and the sum of all rows does not grow beyond the limit.
 *
 * @param slackOfOne the part of a team's limit that a shard keeps for its next job
 */
class AllotmentRule(
    private val slackOfOne: Double,
) {
    /** The row to be written in place of the stored one. */
    fun decide(
        snapshot: AllotmentSnapshot,
        request: AllotmentRequest,
    ): AllotmentDecision =
        when (request) {
            is AllotmentRequest.Raise -> raise(snapshot, request)
            AllotmentRequest.ReleaseUnused -> releaseUnused(snapshot)
        }

    private fun raise(
        snapshot: AllotmentSnapshot,
        request: AllotmentRequest.Raise,
    ): AllotmentDecision {
        val team = snapshot.team
        val stored = snapshot.stored.of(snapshot.shard)
        // Where another owner waits for the limit, nothing is taken that is not needed now.
        val isContested = snapshot.stored.isAnotherStarved(snapshot.shard)
        val slack = if (isContested) 0.0 else slackOfOne
        val tasks = if (isContested) 1 else request.tasks.coerceIn(1, TASKS_AT_ONCE)
        val free = team.limit - snapshot.stored.totalOfOthers(snapshot.shard)
        val wanted = (snapshot.use + request.task * tasks + team.limit * slack).atMost(free)
        val raised = team.limitedPart(wanted).atLeast(stored.share)
        val isEnough = team.covers(raised, snapshot.use + request.task)
        // Of what does not suffice for a task nothing is taken: two owners would each hold half of what one of them needs.
        val share = if (isEnough) raised else stored.share
        return AllotmentDecision(stored, AllotmentRow(share, snapshot.wasStarved || !isEnough), isEnough)
    }

    private fun releaseUnused(snapshot: AllotmentSnapshot): AllotmentDecision {
        val team = snapshot.team
        val stored = snapshot.stored.of(snapshot.shard)
        val isWanted = snapshot.stored.isAnotherStarved(snapshot.shard) || snapshot.stored.exceedsLimit(team)
        val slack = team.limit * (if (isWanted) 0.0 else slackOfOne)
        val kept = team.limitedPart(snapshot.use) + slack
        val isWorthLowering = stored.share.exceeds(kept + slack)
        val share = if (isWorthLowering) stored.share.atMost(kept) else stored.share
        return AllotmentDecision(stored, AllotmentRow(share, snapshot.wasStarved), isEnough = true)
    }

    private companion object {
        /** For so many tasks an allotment is asked at the most. */
        const val TASKS_AT_ONCE = 64
    }
}
