package micatally.quota

import kotlinx.coroutines.CoroutineScope
import micatally.job.Job
import micatally.ledger.Cluster
import micatally.ledger.Keys
import micatally.ledger.Ledger
import micatally.ledger.LedgerState
import micatally.settings.Team
import micatally.settings.TeamDirectory
import micatally.state.StateStoreClient
import micatally.state.Urgency

/** A team's limit is split among the ledgers. A ledger's holder places within its allotment and changes only that one;
 * an intent is written under the ledger's mark, so a holder that has lost the ledger can't use it up any more. */
class Quota(
    scope: CoroutineScope,
    state: StateStoreClient,
    private val cluster: Cluster,
    private val teams: TeamDirectory,
    private val held: () -> Collection<Ledger>,
    controllers: Int,
    changed: () -> Unit,
) {
    /** Reports changes of allotments, and use above them. */
    val audit = AllotmentAudit()
    private val use = LedgerUse()
    private val rule = AllotmentRule(SLACK / controllers)
    private val writer =
        AllotmentWriter(scope, state, cluster, teams, rule, audit, { ledger, team -> view(ledger, team) }, changed)

    fun used(
        ledger: String,
        team: String,
    ) = use.of(AllotmentId(ledger, team))

    fun take(job: Job) = use.take(job)

    fun release(job: Job) = use.release(job)

    fun forget(ledger: String) {
        use.forget(ledger)
        writer.forget(ledger)
    }

    private val read = HashMap<String, TeamAllotments>()

    /** Asked for each task that is placed, and changed far more rarely: so the key is read once for each change of it. */
    private fun allotments(team: String): TeamAllotments {
        val modRevision = cluster.modRevision(Keys.team(team))
        read[team]?.let { if (it.modRevision == modRevision) return it }
        return TeamAllotments.decode(modRevision, cluster.value(Keys.team(team))).also { read[team] = it }
    }

    private fun view(
        ledger: Ledger,
        team: Team,
    ): AllotmentView {
        val id = AllotmentId(ledger.name, team.name)
        return AllotmentView(team, ledger.name, allotments(team.name), use.of(id), isShort(id))
    }

    /** Whether the ledger's allotment has room for so many more tasks of this job at once. If not, more is asked for. */
    fun allows(
        job: Job,
        tasks: Int = 1,
    ): Boolean {
        val spec = job.spec ?: return false
        val team = teams.team(spec.team) ?: return false
        if (!teams.isCurrent) return false
        if (!team.isLimited) return true
        // Until its jobs are loaded nobody knows what a ledger uses.
        if (job.ledger.state != LedgerState.ACTIVE) return false
        val stored = allotments(team.name)
        if (stored.isOver(team)) return false
        val id = AllotmentId(job.ledger.name, team.name)
        val need = Share(spec.resources.cores, spec.resources.gpus) * tasks
        val hasRoom = team.covers(writer.usable(id, stored.of(id.ledger).share), use.of(id) + need)
        if (!hasRoom) askForMore(job.ledger, team, AllotmentWish.MoreRoom(need, job.pendingCount / tasks))
        return hasRoom
    }

    /** Whether nothing of this team may be started: it was removed, or its limit lowered below what is allotted. */
    fun isSuspended(teamName: String): Boolean = teams.team(teamName)?.let { allotments(it.name).isOver(it) } ?: true

    private fun askForMore(
        ledger: Ledger,
        team: Team,
        wish: AllotmentWish,
    ) {
        val view = view(ledger, team)
        val decision = rule.decide(view, wish)
        if (!decision.isEnough) shortAt[AllotmentId(ledger.name, team.name)] = looks
        if (rule.isWorthWriting(view, decision)) writer.request(ledger, team, wish, Urgency.INTENT)
    }

    /** The look of [handBack] in which a ledger was last found short of a team's limit. */
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
        for (ledger in held().filter { it.state == LedgerState.ACTIVE }) {
            for (team in teams.all().filter { it.isLimited }) release(ledger, team)
        }
    }

    private fun release(
        ledger: Ledger,
        team: Team,
    ) {
        val view = view(ledger, team)
        if (!view.stored.has(ledger.name)) return
        val decision = rule.decide(view, AllotmentWish.HandBack)
        val stored = view.stored.of(ledger.name)
        val isShortOver = stored.isShort && !decision.row.isShort
        if (!decision.lowers && !isShortOver) return
        writer.request(
            ledger,
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
        val short = allotments(team).shortLedgers() - mine
        val known = shortKnown.put(team, short) ?: emptySet()
        if (!known.containsAll(short)) release()
    }

    private fun reportOveruse(teamName: String) {
        val team = teams.team(teamName)?.takeIf { it.isLimited } ?: return
        val stored = allotments(teamName)
        for (ledger in held().filter { it.state == LedgerState.ACTIVE }) {
            val allotted = stored.of(ledger.name).share
            val used = used(ledger.name, teamName)
            if (!team.covers(allotted, used)) audit.overused(teamName, ledger.name, stored.modRevision, allotted, used)
        }
    }

    private companion object {
        /** The slack of all allotments together, as a share of the team's limit. */
        const val SLACK = 1.0 / 8
    }
}
