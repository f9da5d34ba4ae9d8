package micatally.placement

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import micatally.job.Job
import micatally.ledger.Cluster
import micatally.ledger.Keys
import micatally.ledger.Ledger
import micatally.settings.Team
import micatally.state.Condition
import micatally.state.Put
import micatally.state.StateClient
import micatally.state.Txn
import micatally.state.TxnResult
import micatally.state.Urgency
import org.slf4j.LoggerFactory

/** Cores and cards, the two things that teams are limited in. */
data class Share(val cores: Double, val cards: Double)

/** A team's limit is split among the ledgers. A ledger's holder places within its allotment and changes only that one;
 * an intent is written under the ledger's mark, so a holder that has lost the ledger can't use it up any more. */
class Quota(
    private val scope: CoroutineScope, private val state: StateClient, private val cluster: Cluster, private val teams: Map<String, Team>,
    private val held: () -> Collection<Ledger>, controllers: Int, private val changed: () -> Unit,
) {
    private val chunk = SLACK / controllers
    private val log = LoggerFactory.getLogger("micatally.quota")
    private val used = HashMap<Pair<String, String>, Share>()
    private val busy = HashSet<String>()
    /** What an allotment is about to be lowered to: binding from before the write leaves. */
    private val lowering = HashMap<Pair<String, String>, Share>()

    fun limited(team: Team) = team.coresMax > 0 || team.cardsMax > 0

    fun used(ledger: String, team: String) = used[ledger to team] ?: Share(0.0, 0.0)

    fun take(job: Job) = change(job, 1)
    fun release(job: Job) = change(job, -1)

    private fun change(job: Job, sign: Int) {
        val spec = job.spec ?: return
        val key = job.ledger.name to spec.crew
        val u = used[key] ?: Share(0.0, 0.0)
        used[key] = Share(u.cores + sign * spec.amount.cores, u.cards + sign * spec.amount.cards)
    }

    fun forget(ledger: String) { used.keys.removeIf { it.first == ledger }; lowering.keys.removeIf { it.first == ledger } }

    private fun allotments(team: String): Map<String, Share> = cluster.value(Keys.team(team))?.mapValues { (_, v) ->
        val a = v as JsonArray
        Share((a[0] as JsonPrimitive).doubleOrNull ?: 0.0, (a[1] as JsonPrimitive).doubleOrNull ?: 0.0)
    } ?: emptyMap()

    private fun allotted(ledger: String, team: String): Share {
        val now = allotments(team)[ledger] ?: Share(0.0, 0.0)
        val low = lowering[ledger to team] ?: return now
        return Share(minOf(now.cores, low.cores), minOf(now.cards, low.cards))
    }

    /** Whether the ledger's allotment has room for one more task of this job. If not, more is asked for. */
    fun allows(job: Job): Boolean {
        val spec = job.spec ?: return false
        val team = teams[spec.crew] ?: return false
        if (!limited(team)) return true
        val u = used(job.ledger.name, team.name)
        val a = allotted(job.ledger.name, team.name)
        val ok = covers(team, a, Share(u.cores + spec.amount.cores, u.cards + spec.amount.cards))
        if (!ok) raise(job.ledger, team, Share(spec.amount.cores, spec.amount.cards), job.pendingCount)
        return ok
    }

    /** Only what the team is limited in counts: the other dimension has no allotment. */
    private fun covers(team: Team, allotment: Share, use: Share) =
        (team.coresMax <= 0 || use.cores <= allotment.cores + EPS) && (team.cardsMax <= 0 || use.cards <= allotment.cards + EPS)

    private fun raise(ledger: Ledger, team: Team, task: Share, tasks: Int) {
        val key = ledger.name to team.name
        if (key in lowering) return
        val all = allotments(team.name)
        val others = all.filterKeys { it != ledger.name }.values
        val freeCores = team.coresMax - others.sumOf { it.cores }
        val freeCards = team.cardsMax - others.sumOf { it.cards }
        val u = used(ledger.name, team.name)
        fun wish(used: Double, one: Double, max: Double, free: Double) =
            if (max <= 0) 0.0 else minOf(free, maxOf(used + one * maxOf(1, minOf(tasks, 64)) + max * chunk, 0.0))
        val want = Share(wish(u.cores, task.cores, team.coresMax, freeCores), wish(u.cards, task.cards, team.cardsMax, freeCards))
        val now = all[ledger.name] ?: Share(0.0, 0.0)
        if (want.cores <= now.cores + EPS && want.cards <= now.cards + EPS) return
        write(ledger, team, Share(maxOf(want.cores, now.cores), maxOf(want.cards, now.cards)), false)
    }

    private fun write(ledger: Ledger, team: Team, to: Share, lower: Boolean) {
        if (!busy.add(team.name)) return
        val key = ledger.name to team.name
        if (lower) lowering[key] = to
        scope.launch {
            try {
                val r = state.txn(1, if (lower) Urgency.SUMMARY else Urgency.INTENT) {
                    if (!ledger.mine) return@txn null
                    val all = allotments(team.name).toMutableMap()
                    if (lower) {
                        // What was placed while the write waited stays covered.
                        if (!covers(team, to, used(ledger.name, team.name))) return@txn null
                    }
                    all[ledger.name] = to
                    if (!lower && (team.coresMax > 0 && all.values.sumOf { it.cores } > team.coresMax + EPS || team.cardsMax > 0 && all.values.sumOf { it.cards } > team.cardsMax + EPS)) return@txn null
                    Txn(
                        listOf(Condition(Keys.ledger(ledger.name), ledger.holder.mark), Condition(Keys.team(team.name), cluster.mark(Keys.team(team.name)))),
                        listOf(Put(Keys.team(team.name), JsonObject(all.mapValues { (_, s) -> JsonArray(listOf(JsonPrimitive(s.cores), JsonPrimitive(s.cards))) }))),
                    )
                }
                if (r is TxnResult.Applied) log.debug("team {} ledger {} allotted {}", team.name, ledger.name, to)
                // After silence a lowering may yet be carried out, so it stays binding here until the key has changed.
                if (lower && r is TxnResult.Unknown) {
                    val mark = cluster.mark(Keys.team(team.name))
                    while (ledger.mine && cluster.mark(Keys.team(team.name)) == mark) {
                        val again = state.txn(1, Urgency.SUMMARY) {
                            val all = allotments(team.name).toMutableMap()
                            all[ledger.name] = to
                            Txn(listOf(Condition(Keys.ledger(ledger.name), ledger.holder.mark), Condition(Keys.team(team.name), mark)),
                                listOf(Put(Keys.team(team.name), JsonObject(all.mapValues { (_, s) -> JsonArray(listOf(JsonPrimitive(s.cores), JsonPrimitive(s.cards))) }))))
                        }
                        if (again !is TxnResult.Unknown && again !is TxnResult.Refused) break
                        kotlinx.coroutines.delay(1000)
                    }
                }
                if (lower && r is TxnResult.Applied) while (ledger.mine && cluster.revision < r.revision) kotlinx.coroutines.delay(50)
            } finally {
                busy.remove(team.name)
                lowering.remove(key)
                changed()
            }
        }
    }

    /** Hands back what is not in use, beyond one chunk kept for the next job. */
    fun handBack() {
        for (l in held()) for (t in teams.values) {
            if (!limited(t)) continue
            val a = allotments(t.name)[l.name] ?: continue
            val u = used(l.name, t.name)
            val keepCores = if (t.coresMax > 0) u.cores + t.coresMax * chunk else 0.0
            val keepCards = if (t.cardsMax > 0) u.cards + t.cardsMax * chunk else 0.0
            if (a.cores > keepCores + t.coresMax * chunk || a.cards > keepCards + t.cardsMax * chunk) {
                write(l, t, Share(minOf(a.cores, keepCores), minOf(a.cards, keepCards)), true)
            }
        }
    }

    private companion object {
        const val EPS = 1e-6
        /** The slack of all allotments together, as a share of the team's limit. */
        const val SLACK = 1.0 / 8
    }
}
