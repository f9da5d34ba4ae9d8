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

/** A team's limit is split among the shards. A shard's holder places within its allotment and changes only that one;
 * an intent is written under the shard's mark, so a holder that has lost the shard can't use it up any more. */
class Quota(
    scope: CoroutineScope,
    state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
    private val teams: TeamDirectory,
    private val ledShards: () -> Collection<JobShard>,
    controllers: Int,
    onChanged: () -> Unit,
) {
    /** Reports changes of allotments, and use above them. */
    val audit = AllotmentAudit()
    private val usage = ShardUsage()
    private val rule = AllotmentRule(SLACK / controllers)
    private val writer =
        AllotmentWriter(scope, state, sharedKeys, teams, rule, audit, { shard, team -> snapshot(shard, team) }, onChanged)

    fun used(
        shard: String,
        team: String,
    ) = usage.of(AllotmentId(shard, team))

    fun addUsage(job: Job) = usage.add(job)

    fun removeUsage(job: Job) = usage.remove(job)

    fun forget(shard: String) {
        usage.forget(shard)
        writer.forget(shard)
    }

    private val cachedAllotments = HashMap<String, TeamAllotments>()

    /** Asked for each task that is placed, and changed far more rarely: so the key is read once for each change of it. */
    private fun allotments(team: String): TeamAllotments {
        val modRevision = sharedKeys.modRevision(Keys.team(team))
        cachedAllotments[team]?.let { if (it.modRevision == modRevision) return it }
        return TeamAllotments.decode(modRevision, sharedKeys.value(Keys.team(team))).also { cachedAllotments[team] = it }
    }

    private fun snapshot(
        shard: JobShard,
        team: Team,
    ): AllotmentSnapshot {
        val id = AllotmentId(shard.name, team.name)
        return AllotmentSnapshot(team, shard.name, allotments(team.name), usage.of(id), isStarved(id))
    }

    /** Whether the shard's allotment has room for so many more tasks of this job at once. If not, more is asked for. */
    fun allows(
        job: Job,
        tasks: Int = 1,
    ): Boolean {
        val spec = job.spec ?: return false
        val team = teams.team(spec.team) ?: return false
        if (!teams.isCurrent) return false
        if (!team.isLimited) return true
        // Until its jobs are loaded nobody knows what a shard uses.
        if (job.shard.state != ShardState.ACTIVE) return false
        val stored = allotments(team.name)
        if (stored.exceedsLimit(team)) return false
        val id = AllotmentId(job.shard.name, team.name)
        val need = spec.taskShare * tasks
        val hasRoom = team.covers(writer.usable(id, stored.of(id.shard).share), usage.of(id) + need)
        if (!hasRoom) requestRaise(job.shard, team, AllotmentRequest.Raise(need, job.pendingCount / tasks))
        return hasRoom
    }

    /** Whether nothing of this team may be started: it was removed, or its limit lowered below what is allotted. */
    fun isSuspended(teamName: String): Boolean = teams.team(teamName)?.let { allotments(it.name).exceedsLimit(it) } ?: true

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

    /** The look of [releaseUnused] in which a shard was last found short of a team's limit. */
    private val starvedAtReview = HashMap<AllotmentId, Int>()
    private var reviews = 0

    private fun isStarved(id: AllotmentId) = starvedAtReview[id]?.let { it >= reviews - 1 } == true

    /** Hands back what is not in use, beyond one slack kept for the next job; all of it while another owner is short, or its
     * job would wait beside room that its team is allowed. */
    fun releaseUnused() {
        reviews++
        requestRelease()
    }

    /** Limits have changed: what is allotted beyond use goes back at once where a limit is exceeded. */
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

    private val knownStarved = HashMap<String, Set<String>>()

    /** The team's key has changed. An owner that has only now become short is served at once; others at the next [releaseUnused], or
     * two owners would hand the same share to and fro as fast as the state service writes. */
    fun allotmentsChanged(team: String) {
        reportOveruse(team)
        val ledNames = ledShards().mapTo(HashSet()) { it.name }
        val starved = allotments(team).starvedShards() - ledNames
        val known = knownStarved.put(team, starved) ?: emptySet()
        if (!known.containsAll(starved)) requestRelease()
    }

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
        /** The slack of all allotments together, as a share of the team's limit. */
        const val SLACK = 1.0 / 8
    }
}
