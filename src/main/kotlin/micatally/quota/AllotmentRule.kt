package micatally.quota

import micatally.settings.Team

/** What the leader of a shard asks of its allotment. */
sealed interface AllotmentRequest {
    /**
     * Free capacity for more tasks beside what is in use: for at least one, at best for [tasks] of them.
     *
     * @property task what one task takes; for a gang, what all its tasks take together
     */
    class Raise(
        val task: Share,
        val tasks: Int,
    ) : AllotmentRequest

    /** Nothing more: what is not in use may be released to the other shards. */
    data object ReleaseUnused : AllotmentRequest
}

/**
 * What a decision about a shard's allotment rests on. It has to be taken at the moment at which the row is written,
 * since both the stored rows and the use change while a write waits for its turn.
 *
 * @property stored all rows of the team, as this controller's cache of the shared keys holds them
 * @property use what all attempts take for which there is no termination evidence, also those that are decided and
 * not stored yet
 * @property wasStarved whether the limit had no free capacity for a task of the shard at its last request or the one
 * before
 */
class AllotmentSnapshot(
    val team: Team,
    val shard: String,
    val stored: TeamAllotments,
    val use: Share,
    val wasStarved: Boolean,
)

/**
 * The row to be written for a shard.
 *
 * @property stored the row that it replaces
 * @property isEnough false if a raise was requested and the limit has no free capacity for even one task now
 */
class AllotmentDecision(
    val stored: AllotmentRow,
    val row: AllotmentRow,
    val isEnough: Boolean,
) {
    /** Whether the new row grants less than the stored one in some dimension. */
    val lowers get() = stored.share.exceeds(row.share)

    private val raises get() = row.share.exceeds(stored.share)

    /** Whether the decision differs from what is stored, so that it is worth a write. */
    val isWorthWriting get() = raises || lowers || row.isStarved != stored.isStarved
}

/**
 * The one place where a row is decided. Whatever is requested, two invariants hold: the shard's use stays covered as
 * far as the stored row covers it, and the sum of all rows does not grow beyond the limit.
 *
 * @param slackOfOne the part of a team's limit, from 0 to 1, that a shard keeps unused for its next job
 */
class AllotmentRule(
    private val slackOfOne: Double,
) {
    /** Decides the row to be written in place of the stored one; it may be the same. */
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
        // While another shard is starved, nothing is taken that is not needed now.
        val isContested = snapshot.stored.isAnotherStarved(snapshot.shard)
        val slack = if (isContested) 0.0 else slackOfOne
        val tasks = if (isContested) 1 else request.tasks.coerceIn(1, TASKS_AT_ONCE)
        val free = team.limit - snapshot.stored.totalOfOthers(snapshot.shard)
        val wanted = (snapshot.use + request.task * tasks + team.limit * slack).atMost(free)
        val raised = team.limitedPart(wanted).atLeast(stored.share)
        val isEnough = team.covers(raised, snapshot.use + request.task)
        // Less than one task needs is not taken at all: otherwise two shards could each hold half of what one of
        // them needs.
        val share = if (isEnough) raised else stored.share
        return AllotmentDecision(stored, AllotmentRow(share, snapshot.wasStarved || !isEnough), isEnough)
    }

    private fun releaseUnused(snapshot: AllotmentSnapshot): AllotmentDecision {
        val team = snapshot.team
        val stored = snapshot.stored.of(snapshot.shard)
        val isNeededElsewhere = snapshot.stored.isAnotherStarved(snapshot.shard) || snapshot.stored.exceedsLimit(team)
        val slack = team.limit * (if (isNeededElsewhere) 0.0 else slackOfOne)
        val kept = team.limitedPart(snapshot.use) + slack
        val isWorthLowering = stored.share.exceeds(kept + slack)
        val share = if (isWorthLowering) stored.share.atMost(kept) else stored.share
        return AllotmentDecision(stored, AllotmentRow(share, snapshot.wasStarved), isEnough = true)
    }

    private companion object {
        /** An allotment is raised for at most so many tasks at once. */
        const val TASKS_AT_ONCE = 64
    }
}
