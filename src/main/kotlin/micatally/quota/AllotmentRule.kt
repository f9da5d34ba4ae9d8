package micatally.quota

import micatally.settings.Team

/** What the leader of a shard requests for the shard's allotment. */
sealed interface AllotmentRequest {
    /**
     * Requests capacity for more tasks in addition to the current use: for at least one task, at best for [tasks] of
     * them.
     *
     * @property task what one task takes; for tasks that are placed all at once, what all of them take together
     */
    class Raise(
        val task: Share,
        val tasks: Int,
    ) : AllotmentRequest

    /** Requests nothing: the unused part of the allotment may be released to the other shards. */
    data object ReleaseUnused : AllotmentRequest
}

/**
 * The data that a decision about a shard's allotment is based on. It must be taken when the row is written, since both
 * the stored rows and the use may change while a write waits for the rate limit.
 *
 * @property stored all rows of the team, as this controller's cache of the shared keys holds them
 * @property use what all attempts without termination evidence take, including those whose intent is not durable yet
 * @property wasStarved whether the limit had no free capacity for a task of the shard at some time since the last but
 * one review of the allotments ([Quota.releaseUnused])
 */
class AllotmentSnapshot(
    val team: Team,
    val shard: String,
    val stored: TeamAllotments,
    val use: Share,
    val wasStarved: Boolean,
)

/**
 * The decision about the row of a shard.
 *
 * @property stored the row that the new one replaces
 * @property row the new row
 * @property isEnough false if a raise was requested and the limit has no free capacity even for one task
 */
class AllotmentDecision(
    val stored: AllotmentRow,
    val row: AllotmentRow,
    val isEnough: Boolean,
) {
    /** Whether the new row grants fewer cores or fewer GPUs than the stored one. */
    val lowers get() = stored.share.exceeds(row.share)

    private val raises get() = row.share.exceeds(stored.share)

    /** Whether the new row differs from the stored one, so that it must be written. */
    val isWorthWriting get() = raises || lowers || row.isStarved != stored.isStarved
}

/**
 * Decides the rows of allotments; nothing else does. Whatever is requested, two invariants hold. The new row covers the
 * use of the shard as far as the stored row covers it. The sum of all rows does not grow beyond the team's limit.
 *
 * @param slackPerShard the part of a team's limit, from 0 to 1, that a shard keeps unused for its next job
 */
class AllotmentRule(
    private val slackPerShard: Double,
) {
    /** Decides the row to be written in place of the stored one. It may be equal to the stored one. */
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
        // While another shard is starved, this one takes only what it needs for one task now.
        val isContested = snapshot.stored.isAnotherStarved(snapshot.shard)
        val slack = if (isContested) 0.0 else slackPerShard
        val tasks = if (isContested) 1 else request.tasks.coerceIn(1, MAX_TASKS_PER_RAISE)
        val free = team.limit - snapshot.stored.totalOfOthers(snapshot.shard)
        val wanted = (snapshot.use + request.task * tasks + team.limit * slack).atMost(free)
        val raised = team.limitedPart(wanted).atLeast(stored.share)
        val isEnough = team.covers(raised, snapshot.use + request.task)
        // If there is not enough for one task, nothing is taken. Otherwise two shards could each hold half of what one
        // of them needs, and neither could start a task.
        val share = if (isEnough) raised else stored.share
        return AllotmentDecision(stored, AllotmentRow(share, snapshot.wasStarved || !isEnough), isEnough)
    }

    private fun releaseUnused(snapshot: AllotmentSnapshot): AllotmentDecision {
        val team = snapshot.team
        val stored = snapshot.stored.of(snapshot.shard)
        val isNeededElsewhere = snapshot.stored.isAnotherStarved(snapshot.shard) || snapshot.stored.exceedsLimit(team)
        val slack = team.limit * (if (isNeededElsewhere) 0.0 else slackPerShard)
        val kept = team.limitedPart(snapshot.use) + slack
        val isWorthLowering = stored.share.exceeds(kept + slack)
        val share = if (isWorthLowering) stored.share.atMost(kept) else stored.share
        return AllotmentDecision(stored, AllotmentRow(share, snapshot.wasStarved), isEnough = true)
    }

    private companion object {
        /** An allotment is raised for at most this many tasks at once. */
        const val MAX_TASKS_PER_RAISE = 64
    }
}
