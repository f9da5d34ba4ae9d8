package micatally.placement

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import micatally.job.Job
import micatally.ledger.Cluster
import micatally.ledger.Keys
import micatally.ledger.Ledger
import micatally.ledger.LedgerState
import micatally.settings.Team
import micatally.settings.TeamDirectory
import micatally.state.Condition
import micatally.state.Put
import micatally.state.StateClient
import micatally.state.Txn
import micatally.state.TxnResult
import micatally.state.Urgency

/** Cores and cards, the two things that teams are limited in. */
data class Share(
    val cores: Double,
    val cards: Double,
)

/** A team's limit is split among the ledgers. A ledger's holder places within its allotment and changes only that one;
 * an intent is written under the ledger's mark, so a holder that has lost the ledger can't use it up any more. */
class Quota(
    private val scope: CoroutineScope,
    private val state: StateClient,
    private val cluster: Cluster,
    private val teams: TeamDirectory,
    private val held: () -> Collection<Ledger>,
    controllers: Int,
    private val changed: () -> Unit,
) {
    private val chunk = SLACK / controllers
    private val used = HashMap<Pair<String, String>, Share>()
    private val busy = HashSet<String>()

    /** Reports changes of allotments, and use above them. */
    val audit = AllotmentAudit()

    /** What an allotment is about to be lowered to: binding from before the write leaves. */
    private val lowering = HashMap<Pair<String, String>, Share>()

    fun limited(team: Team) = team.coresMax > 0 || team.cardsMax > 0

    fun used(
        ledger: String,
        team: String,
    ) = used[ledger to team] ?: Share(0.0, 0.0)

    fun take(job: Job) = change(job, 1)

    fun release(job: Job) = change(job, -1)

    private fun change(
        job: Job,
        sign: Int,
    ) {
        val spec = job.spec ?: return
        val key = job.ledger.name to spec.team
        val u = used[key] ?: Share(0.0, 0.0)
        used[key] = Share(u.cores + sign * spec.amount.cores, u.cards + sign * spec.amount.cards)
    }

    fun forget(ledger: String) {
        used.keys.removeIf { it.first == ledger }
        lowering.keys.removeIf { it.first == ledger }
    }

    /** [short]: its holder has tasks that wait for nothing but the team's limit. */
    private class Allotment(
        val share: Share,
        val short: Boolean,
    )

    /** The allotments of a team as they were read from its key at [mark]. */
    private class ReadAllotments(
        val mark: Long,
        val byLedger: Map<String, Allotment>,
    )

    private val read = HashMap<String, ReadAllotments>()

    /** Asked for each task that is placed, and changed far more rarely: so the key is read once for each change of it. */
    private fun allotments(team: String): Map<String, Allotment> {
        val mark = cluster.mark(Keys.team(team))
        read[team]?.let { if (it.mark == mark) return it.byLedger }
        val byLedger =
            cluster.value(Keys.team(team))?.mapValues { (_, row) -> allotment(row as JsonArray) } ?: emptyMap()
        read[team] = ReadAllotments(mark, byLedger)
        return byLedger
    }

    private fun allotment(row: JsonArray): Allotment {
        fun number(i: Int) = (row.getOrNull(i) as? JsonPrimitive)?.doubleOrNull ?: 0.0
        return Allotment(Share(number(0), number(1)), number(2) > 0)
    }

    private fun allotted(
        ledger: String,
        team: String,
    ): Share {
        val now = allotments(team)[ledger]?.share ?: Share(0.0, 0.0)
        val low = lowering[ledger to team] ?: return now
        return Share(minOf(now.cores, low.cores), minOf(now.cards, low.cards))
    }

    /** Whether the ledger's allotment has room for so many more tasks of this job at once. If not, more is asked for. */
    fun allows(
        job: Job,
        tasks: Int = 1,
    ): Boolean {
        val spec = job.spec ?: return false
        val team = teams.team(spec.team) ?: return false
        if (!teams.isCurrent) return false
        if (!limited(team)) return true
        // Until its jobs are loaded nobody knows what a ledger uses.
        if (job.ledger.state != LedgerState.ACTIVE) return false
        if (isOver(team)) return false
        val u = used(job.ledger.name, team.name)
        val a = allotted(job.ledger.name, team.name)
        val need = Share(spec.amount.cores * tasks, spec.amount.cards * tasks)
        val ok = covers(team, a, Share(u.cores + need.cores, u.cards + need.cards))
        if (!ok) raise(job.ledger, team, need, job.pendingCount / tasks)
        return ok
    }

    /** Whether more is allotted than the team's limit, which was lowered: until enough has been handed back nothing starts,
     * whatever a single ledger's allotment has room for. */
    private fun isOver(team: Team): Boolean {
        val allotted = allotments(team.name).values
        return team.coresMax > 0 && allotted.sumOf { it.share.cores } > team.coresMax + 2 * EPS ||
            team.cardsMax > 0 && allotted.sumOf { it.share.cards } > team.cardsMax + 2 * EPS
    }

    /** Whether nothing of this team may be started: it was removed, or its limit lowered below what is allotted. */
    fun isSuspended(teamName: String): Boolean = teams.team(teamName)?.let { isOver(it) } ?: true

    /** Limits have changed: what is allotted beyond use goes back at once where a limit is exceeded. */
    fun limitsChanged() = release()

    /** Only what the team is limited in counts: the other dimension has no allotment. */
    private fun covers(
        team: Team,
        allotment: Share,
        use: Share,
    ) = (team.coresMax <= 0 || use.cores <= allotment.cores + EPS) &&
        (team.cardsMax <= 0 || use.cards <= allotment.cards + EPS)

    private fun raise(
        ledger: Ledger,
        team: Team,
        task: Share,
        tasks: Int,
    ) {
        val key = ledger.name to team.name
        if (key in lowering) return
        val all = allotments(team.name)
        val others = all.filterKeys { it != ledger.name }.values
        val freeCores = team.coresMax - others.sumOf { it.share.cores }
        val freeCards = team.cardsMax - others.sumOf { it.share.cards }
        val u = used(ledger.name, team.name)
        // Where another owner waits for the limit, nothing is taken that is not needed now.
        val contested = others.any { it.short }
        val slack = if (contested) 0.0 else chunk
        val atOnce = if (contested) 1 else TASKS_AT_ONCE

        fun wish(
            used: Double,
            one: Double,
            max: Double,
            free: Double,
        ) = if (max <= 0) 0.0 else minOf(free, maxOf(used + one * maxOf(1, minOf(tasks, atOnce)) + max * slack, 0.0))
        val want =
            Share(
                wish(u.cores, task.cores, team.coresMax, freeCores),
                wish(u.cards, task.cards, team.cardsMax, freeCards),
            )
        val own = all[ledger.name]
        val now = own?.share ?: Share(0.0, 0.0)
        val more = Share(maxOf(want.cores, now.cores), maxOf(want.cards, now.cards))
        val enough = covers(team, more, Share(u.cores + task.cores, u.cards + task.cards))
        if (!enough) shortAt[key] = looks
        // Of what does not suffice for a task nothing is taken: two owners would each hold half of what one of them needs.
        val to = if (enough) more else now
        if (to.cores <= now.cores + EPS && to.cards <= now.cards + EPS && isShort(key) == (own?.short ?: false)) return
        write(ledger, team, to, false, isShort(key))
    }

    private fun write(
        ledger: Ledger,
        team: Team,
        to: Share,
        lower: Boolean,
        short: Boolean,
    ) {
        if (!busy.add(team.name)) return
        val key = ledger.name to team.name
        if (lower) lowering[key] = to
        val decidedOn = cluster.mark(Keys.team(team.name))
        var before = Share(0.0, 0.0)
        scope.launch {
            try {
                var mark = 0L
                val r =
                    state.txn(1, if (lower) Urgency.SUMMARY else Urgency.INTENT) {
                        mark = cluster.mark(Keys.team(team.name))
                        before = allotments(team.name)[ledger.name]?.share ?: Share(0.0, 0.0)
                        // What was placed while the write waited stays covered.
                        if (lower &&
                            !covers(team, to, used(ledger.name, team.name))
                        ) {
                            null
                        } else {
                            allotment(ledger, team, to, short, mark)
                        }
                    }
                if (r is TxnResult.Applied) {
                    val use = used(ledger.name, team.name)
                    audit.changed(AllotmentChange(team.name, ledger.name, decidedOn, mark, r.revision, before, to, use))
                }
                if (lower && r is TxnResult.Unknown) bindUntilSeen(ledger, team, to, short, mark)
                if (lower &&
                    r is TxnResult.Applied
                ) {
                    while (ledger.mine && cluster.revision < r.revision) delay(SEEN_EVERY_MS)
                }
            } finally {
                busy.remove(team.name)
                lowering.remove(key)
                changed()
            }
        }
    }

    /** The write of a ledger's allotment, on the condition that the team's key has this mark; null if it may not be written. */
    private fun allotment(
        ledger: Ledger,
        team: Team,
        to: Share,
        short: Boolean,
        mark: Long,
    ): Txn? {
        if (ledger.state != LedgerState.ACTIVE) return null
        val all = allotments(team.name) + (ledger.name to Allotment(to, short))
        if (team.coresMax > 0 && all.values.sumOf { it.share.cores } > team.coresMax + EPS ||
            team.cardsMax > 0 && all.values.sumOf { it.share.cards } > team.cardsMax + EPS
        ) {
            return null
        }

        fun row(a: Allotment) =
            JsonArray(
                listOfNotNull(
                    JsonPrimitive(a.share.cores),
                    JsonPrimitive(a.share.cards),
                    if (a.short) JsonPrimitive(1) else null,
                ),
            )
        return Txn(
            listOf(Condition(Keys.ledger(ledger.name), ledger.holder.mark), Condition(Keys.team(team.name), mark)),
            listOf(Put(Keys.team(team.name), JsonObject(all.mapValues { (_, a) -> row(a) }))),
        )
    }

    /** After silence a lowering may yet be carried out, so it stays binding until the key is seen to have changed; also when a
     * repeat shows that it has, since this node's copy may still hold the former allotment. */
    private suspend fun bindUntilSeen(
        ledger: Ledger,
        team: Team,
        to: Share,
        short: Boolean,
        mark: Long,
    ) {
        var settled = false
        while (ledger.mine && cluster.mark(Keys.team(team.name)) == mark) {
            if (!settled) {
                val again = state.txn(1, Urgency.SUMMARY) { allotment(ledger, team, to, short, mark) }
                settled = again is TxnResult.Applied || again is TxnResult.Failed
            }
            delay(if (settled) SEEN_EVERY_MS else REPEAT_MS)
        }
    }

    /** The look of [handBack] in which a ledger was last found short of a team's limit. */
    private val shortAt = HashMap<Pair<String, String>, Int>()
    private var looks = 0

    private fun isShort(key: Pair<String, String>) = shortAt[key]?.let { it >= looks - 1 } == true

    /** Hands back what is not in use, beyond one chunk kept for the next job; all of it while another owner is short, or its
     * job would wait beside room that its team is allowed. */
    fun handBack() {
        looks++
        release()
    }

    private fun release() {
        for (l in held()) {
            for (t in teams.all()) {
                if (!limited(t) || l.state != LedgerState.ACTIVE) continue
                val all = allotments(t.name)
                val own = all[l.name] ?: continue
                val a = own.share
                val u = used(l.name, t.name)
                val isWanted = all.any { (name, x) -> x.short && name != l.name } || isOver(t)
                val slack = if (isWanted) 0.0 else chunk
                val keepCores = if (t.coresMax > 0) u.cores + t.coresMax * slack else 0.0
                val keepCards = if (t.cardsMax > 0) u.cards + t.cardsMax * slack else 0.0
                val still = isShort(l.name to t.name)
                if (a.cores > keepCores + t.coresMax * slack + EPS || a.cards > keepCards + t.cardsMax * slack + EPS) {
                    write(l, t, Share(minOf(a.cores, keepCores), minOf(a.cards, keepCards)), true, still)
                } else if (own.short && !still) {
                    write(l, t, a, false, false)
                }
            }
        }
    }

    private val shortKnown = HashMap<String, Set<String>>()

    /** The team's key has changed. An owner that has only now become short is served at once; others at the next [handBack], or
     * two owners would hand the same share to and fro as fast as the state service writes. */
    fun teamChanged(team: String) {
        val mine = held().mapTo(HashSet()) { it.name }
        reportOveruse(team)
        val short = allotments(team).filter { (name, a) -> a.short && name !in mine }.keys
        val known = shortKnown.put(team, short) ?: emptySet()
        if (!known.containsAll(short)) release()
    }

    private fun reportOveruse(teamName: String) {
        val team = teams.team(teamName)?.takeIf { limited(it) } ?: return
        for (ledger in held().filter { it.state == LedgerState.ACTIVE }) {
            val allotted = allotments(teamName)[ledger.name]?.share ?: Share(0.0, 0.0)
            val use = used(ledger.name, teamName)
            if (covers(team, allotted, use)) continue
            audit.overused(teamName, ledger.name, cluster.mark(Keys.team(teamName)), allotted, use)
        }
    }

    private companion object {
        const val EPS = 1e-6

        /** For so many tasks an allotment is asked at the most. */
        const val TASKS_AT_ONCE = 64
        const val SEEN_EVERY_MS = 50L
        const val REPEAT_MS = 1000L

        /** The slack of all allotments together, as a share of the team's limit. */
        const val SLACK = 1.0 / 8
    }
}
