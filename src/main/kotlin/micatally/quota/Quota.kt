package micatally.quota

import kotlinx.coroutines.CoroutineScope
import micatally.job.Job
import micatally.job.JobShard
import micatally.job.ShardState
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Team
import micatally.settings.TeamDirectory
import micatally.state.StateStoreClient
import micatally.state.Urgency

/**
 * Keeps teams within their limits. A team's limit is split into one allotment per shard. The leader of a shard starts
 * tasks only within the shard's allotment and changes no other allotment. The intent to start a task is written on the
 * condition that the key of the shard's leader has not changed. So a controller that has lost the shard can't use the
 * shard's allotment any more.
 *
 * @param ledShards returns the shards that this controller leads, including those that are still loading
 * @param controllers the number of controllers, among which the slack is divided
 * @param onChanged called when an allotment may have changed, so that scheduling should be tried again
 */
class Quota(
    scope: CoroutineScope,
    state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
    private val teams: TeamDirectory,
    private val ledShards: () -> Collection<JobShard>,
    controllers: Int,
    onChanged: () -> Unit,
) {
    /** Logs changes of allotments and use above allotments. */
    val audit = AllotmentAudit()
    private val usage = ShardUsage()
    private val rule = AllotmentRule(TOTAL_SLACK / controllers)
    private val writer =
        AllotmentWriter(
            scope,
            state,
            sharedKeys,
            teams,
            rule,
            audit,
            { shard, team -> snapshot(shard, team) },
            onChanged,
        )

    /**
     * Returns what the attempts of the team in the shard take, as long as there is no termination evidence for them.
     */
    fun used(
        shard: String,
        team: String,
    ) = usage.of(AllotmentId(shard, team))

    /** Adds an attempt of the job to the use of its shard's allotment. */
    fun addUsage(job: Job) = usage.add(job)

    /** Removes an attempt of the job from the use of its shard's allotment, once it is proven to have ended. */
    fun removeUsage(job: Job) = usage.remove(job)

    /** Drops the use of a shard that this controller does not lead any more. The next leader determines it anew. */
    fun forget(shard: String) {
        usage.forget(shard)
        writer.forget(shard)
    }

    /** The decoded keys of the teams, by team. */
    private val cachedAllotments = HashMap<String, TeamAllotments>()

    /**
     * Returns the allotments of the team. They are needed for each task that is placed, but change far more rarely. So
     * the team's key is decoded only once per change.
     */
    private fun allotments(team: String): TeamAllotments {
        val key = Keys.team(team)
        val modRevision = sharedKeys.modRevision(key)
        cachedAllotments[team]?.let { if (it.modRevision == modRevision) return it }
        val allotments = TeamAllotments.decode(modRevision, sharedKeys.value(key))
        cachedAllotments[team] = allotments
        return allotments
    }

    private fun snapshot(
        shard: JobShard,
        team: Team,
    ): AllotmentSnapshot {
        val id = AllotmentId(shard.name, team.name)
        return AllotmentSnapshot(team, shard.name, allotments(team.name), usage.of(id), isStarved(id))
    }

    /**
     * Returns whether the allotment of the job's shard has free capacity for [tasks] more tasks of the job at once.
     * If the allotment is too small, a raise is requested, and a later call may return true.
     */
    fun allows(
        job: Job,
        tasks: Int = 1,
    ): Boolean {
        val spec = job.spec ?: return false
        val team = teams.team(spec.team) ?: return false
        if (!teams.isCurrent) return false
        if (!team.isLimited) return true
        // The use of a shard is not known until its jobs are loaded.
        if (job.shard.state != ShardState.ACTIVE) return false
        val stored = allotments(team.name)
        if (stored.exceedsLimit(team)) return false
        val id = AllotmentId(job.shard.name, team.name)
        val need = spec.taskShare * tasks
        val hasCapacity = team.covers(writer.usable(id, stored.of(id.shard).share), usage.of(id) + need)
        if (!hasCapacity) requestRaise(job.shard, team, AllotmentRequest.Raise(need, job.pendingCount / tasks))
        return hasCapacity
    }

    /**
     * Whether no task of the team may be started, because the team was removed or its limit was lowered below the sum
     * of its allotments.
     */
    fun isSuspended(teamName: String): Boolean =
        teams.team(teamName)?.let { allotments(it.name).exceedsLimit(it) } ?: true

    private fun requestRaise(
        shard: JobShard,
        team: Team,
        request: AllotmentRequest,
    ) {
        val snapshot = snapshot(shard, team)
        val decision = rule.decide(snapshot, request)
        if (!decision.isEnough) starvedAtReview[AllotmentId(shard.name, team.name)] = reviews
        if (decision.isWorthWriting) writer.submit(shard, team, request, Urgency.INTENT)
    }

    /** The value of [reviews] when a team's limit last had no free capacity for a task of a shard. */
    private val starvedAtReview = HashMap<AllotmentId, Int>()

    /** How often [releaseUnused] has reviewed the allotments. */
    private var reviews = 0

    private fun isStarved(id: AllotmentId) = starvedAtReview[id]?.let { it >= reviews - 1 } == true

    /**
     * Called regularly. Releases the unused part of all allotments of this controller's shards, except for a slack that
     * each shard keeps for its next job. While another shard is starved, the slack is released too. Otherwise a job
     * would wait although its team's limit has free capacity.
     */
    fun releaseUnused() {
        reviews++
        requestRelease()
    }

    /** Called when limits have changed. Where allotments exceed a limit, their unused part is released at once. */
    fun limitsChanged() = requestRelease()

    private fun requestRelease() {
        for (shard in ledShards().filter { it.state == ShardState.ACTIVE }) {
            for (team in teams.all().filter { it.isLimited }) requestRelease(shard, team)
        }
    }

    private fun requestRelease(
        shard: JobShard,
        team: Team,
    ) {
        val snapshot = snapshot(shard, team)
        if (!snapshot.stored.has(shard.name)) return
        val decision = rule.decide(snapshot, AllotmentRequest.ReleaseUnused)
        val isStarvationOver = decision.stored.isStarved && !decision.row.isStarved
        if (!decision.lowers && !isStarvationOver) return
        writer.submit(
            shard,
            team,
            AllotmentRequest.ReleaseUnused,
            if (decision.lowers) Urgency.SUMMARY else Urgency.INTENT,
        )
    }

    /** By team, the starved shards of other controllers at the last change of the team's key. */
    private val knownStarved = HashMap<String, Set<String>>()

    /**
     * Called when the key of the team has changed. If a shard of another controller has become starved with this
     * change, unused shares are released for it at once. Shards that were starved before wait for the next
     * [releaseUnused]. Otherwise two starved shards would pass the same share back and forth as fast as the state store
     * can write.
     */
    fun allotmentsChanged(team: String) {
        reportOveruse(team)
        val ledNames = ledShards().mapTo(HashSet()) { it.name }
        val starved = allotments(team).starvedShards() - ledNames
        val known = knownStarved.put(team, starved) ?: emptySet()
        if (!known.containsAll(starved)) requestRelease()
    }

    /** Reports each shard of this controller that uses more than its allotment of the team's limit. */
    private fun reportOveruse(teamName: String) {
        val team = teams.team(teamName)?.takeIf { it.isLimited } ?: return
        val stored = allotments(teamName)
        for (shard in ledShards().filter { it.state == ShardState.ACTIVE }) {
            val allotted = stored.of(shard.name).share
            val used = used(shard.name, teamName)
            if (!team.covers(allotted, used)) audit.logOveruse(teamName, shard.name, stored.modRevision, allotted, used)
        }
    }

    private companion object {
        /** The slack of all controllers' shards together, as a part of the team's limit. */
        const val TOTAL_SLACK = 1.0 / 8
    }
}
