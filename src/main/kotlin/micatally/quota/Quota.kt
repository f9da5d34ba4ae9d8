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
    private val held: () -> Collection<JobShard>,
    controllers: Int,
    changed: () -> Unit,
) {
    /** Reports changes of allotments, and use above them. */
    val audit = AllotmentAudit()
    private val use = ShardUsage()
    private val rule = AllotmentRule(SLACK / controllers)
    private val writer =
        AllotmentWriter(scope, state, sharedKeys, teams, rule, audit, { shard, team -> view(shard, team) }, changed)

    fun used(
        shard: String,
        team: String,
    ) = use.of(AllotmentId(shard, team))

    fun take(job: Job) = use.take(job)

    fun release(job: Job) = use.release(job)

    fun forget(shard: String) {
        use.forget(shard)
        writer.forget(shard)
    }

    private val read = HashMap<String, TeamAllotments>()

    /** Asked for each task that is placed, and changed far more rarely: so the key is read once for each change of it. */
    private fun allotments(team: String): TeamAllotments {
        val modRevision = sharedKeys.modRevision(Keys.team(team))
        read[team]?.let { if (it.modRevision == modRevision) return it }
        return TeamAllotments.decode(modRevision, sharedKeys.value(Keys.team(team))).also { read[team] = it }
    }

    private fun view(
        shard: JobShard,
        team: Team,
    ): AllotmentView {
        val id = AllotmentId(shard.name, team.name)
        return AllotmentView(team, shard.name, allotments(team.name), use.of(id), isShort(id))
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
        if (stored.isOver(team)) return false
        val id = AllotmentId(job.shard.name, team.name)
        val need = spec.taskShare * tasks
        val hasRoom = team.covers(writer.usable(id, stored.of(id.shard).share), use.of(id) + need)
        if (!hasRoom) askForMore(job.shard, team, AllotmentWish.MoreRoom(need, job.pendingCount / tasks))
        return hasRoom
    }

    /** Whether nothing of this team may be started: it was removed, or its limit lowered below what is allotted. */
    fun isSuspended(teamName: String): Boolean = teams.team(teamName)?.let { allotments(it.name).isOver(it) } ?: true

    private fun askForMore(
        shard: JobShard,
        team: Team,
        wish: AllotmentWish,
    ) {
        val view = view(shard, team)
        val decision = rule.decide(view, wish)
        if (!decision.isEnough) shortAt[AllotmentId(shard.name, team.name)] = looks
        if (decision.isWorthWriting) writer.request(shard, team, wish, Urgency.INTENT)
    }

    /** The look of [handBack] in which a shard was last found short of a team's limit. */
    private val shortAt = HashMap<AllotmentId, Int>()
    private var looks = 0

    private fun isShort(id: AllotmentId) = shortAt[id]?.let { it >= looks - 1 } == true

    /** Hands back what is not in use, beyond one slack kept for the next job; all of it while another owner is short, or its
     * job would wait beside room that its team is allowed. */
    fun handBack() {
        looks++
        release()
    }

    /** Limits have changed: what is allotted beyond use goes back at once where a limit is exceeded. */
    fun limitsChanged() = release()

    private fun release() {
        for (shard in held().filter { it.state == ShardState.ACTIVE }) {
            for (team in teams.all().filter { it.isLimited }) release(shard, team)
        }
    }

    private fun release(
        shard: JobShard,
        team: Team,
    ) {
        val view = view(shard, team)
        if (!view.stored.has(shard.name)) return
        val decision = rule.decide(view, AllotmentWish.HandBack)
        val isShortOver = decision.stored.isShort && !decision.row.isShort
        if (!decision.lowers && !isShortOver) return
        writer.request(
            shard,
            team,
            AllotmentWish.HandBack,
            if (decision.lowers) Urgency.SUMMARY else Urgency.INTENT,
        )
    }

    private val shortKnown = HashMap<String, Set<String>>()

    /** The team's key has changed. An owner that has only now become short is served at once; others at the next [handBack], or
     * two owners would hand the same share to and fro as fast as the state service writes. */
    fun teamChanged(team: String) {
        reportOveruse(team)
        val mine = held().mapTo(HashSet()) { it.name }
        val short = allotments(team).shortShards() - mine
        val known = shortKnown.put(team, short) ?: emptySet()
        if (!known.containsAll(short)) release()
    }

    private fun reportOveruse(teamName: String) {
        val team = teams.team(teamName)?.takeIf { it.isLimited } ?: return
        val stored = allotments(teamName)
        for (shard in held().filter { it.state == ShardState.ACTIVE }) {
            val allotted = stored.of(shard.name).share
            val used = used(shard.name, teamName)
            if (!team.covers(allotted, used)) audit.overused(teamName, shard.name, stored.modRevision, allotted, used)
        }
    }

    private companion object {
        /** The slack of all allotments together, as a share of the team's limit. */
        const val SLACK = 1.0 / 8
    }
}
