package micatally.scale

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.config.ConfigurationClient
import micatally.config.NoAnswer
import micatally.config.toSetting
import micatally.http.HttpCaller
import micatally.settings.Team
import micatally.wire.ChangeStatus
import micatally.wire.ConfigurationChange
import micatally.wire.ConfigurationStatus
import kotlin.random.Random

/**
 * Operators who change teams' limits while a run goes on, up and down, and see when each change is in force. Keeps the
 * limits that a team's use is checked against: the larger one until the smaller one is in force. All on the loop of [scope].
 */
class ConfigurationLoad(
    private val scope: CoroutineScope,
    http: HttpCaller,
    backAddresses: List<String>,
    private val teams: List<Team>,
    private val latencies: Latencies,
    private val random: Random,
    private val nowMs: () -> Long,
) {
    private val clients = backAddresses.map { ConfigurationClient(http, it, TIMEOUT_MS) }

    /** A change that is durable and not yet in force. */
    private class Outstanding(
        val team: Team,
        val version: Long,
        val sentAtMs: Long,
    )

    private class Limits(
        var present: Team,
    ) {
        /** Those of earlier versions that a controller may still go by, with those whose tasks are still on their way. */
        val former = ArrayList<FormerLimit>()
    }

    private class FormerLimit(
        val team: Team,
        var endsAtMs: Long?,
    )

    private val limits = teams.associate { it.name to Limits(it) }
    private val outstanding = ArrayList<Outstanding>()
    private var changes = 0

    /** What a team may use now at the most; also called from other loops. */
    @Synchronized
    fun teamInForce(name: String): Team? {
        val limit = limits[name] ?: return null
        limit.former.removeIf { former -> former.endsAtMs?.let { it <= nowMs() } == true }
        return (limit.former.map { it.team } + limit.present).maxBy { it.coresMax }
    }

    fun start(plan: ConfigurationPlan) {
        scope.launch { watch() }
        if (plan.perSecond > 0) {
            scope.launch {
                while (true) {
                    delay((MS / plan.perSecond).toLong())
                    scope.launch { change(teams.random(random)) }
                }
            }
        }
        val burst = plan.burstAtSecond ?: return
        scope.launch {
            delay((burst * MS).toLong())
            for (team in teams) {
                scope.launch {
                    delay(random.nextLong(MS.toLong()))
                    change(team)
                }
            }
        }
    }

    private suspend fun change(team: Team) {
        val lowered = Team(team.name, team.cores, team.coresMax * LOWERED, team.gpus, team.gpusMax)
        val wanted = if (presentOf(team.name).coresMax < team.coresMax) team else lowered
        val sentAtMs = nowMs()
        val setting = wanted.toSetting()
        val id = "scale-${changes++}"
        while (nowMs() - sentAtMs < GIVE_UP_MS) {
            val client = clients.random(random)
            val answer =
                try {
                    val base = client.get().version
                    client.apply(ConfigurationChange(id, base, "scale", "load", listOf(setting)))
                } catch (e: NoAnswer) {
                    null
                }
            if (answer?.status == ChangeStatus.APPLIED) {
                latencies.record(LatencyKind.CONFIGURATION_APPLIED, nowMs() - sentAtMs)
                applied(wanted, answer.version, sentAtMs)
                return
            }
            delay(RETRY_MS)
        }
    }

    @Synchronized
    private fun presentOf(name: String) = limits.getValue(name).present

    @Synchronized
    private fun applied(
        team: Team,
        version: Long,
        sentAtMs: Long,
    ) {
        val limit = limits.getValue(team.name)
        limit.former.add(FormerLimit(limit.present, null))
        limit.present = team
        outstanding.add(Outstanding(team, version, sentAtMs))
    }

    private suspend fun watch() {
        while (true) {
            delay(WATCH_MS)
            if (!hasOutstanding()) continue
            try {
                inForce(clients.random(random).status())
            } catch (e: NoAnswer) {
                continue
            }
        }
    }

    @Synchronized
    private fun hasOutstanding() = outstanding.isNotEmpty()

    /** What every controller decides by is in force; so is the newest where the status says so. */
    @Synchronized
    private fun inForce(status: ConfigurationStatus) {
        val heard = status.applied.size == clients.size
        val everywhere = if (heard) status.applied.minOf { it.version } else 0L
        val upTo = maxOf(everywhere, if (status.isInForce) status.version else 0L)
        for (change in outstanding.filter { it.version <= upTo }) {
            latencies.record(LatencyKind.CONFIGURATION_IN_FORCE, nowMs() - change.sentAtMs)
            val former = limits.getValue(change.team.name).former.firstOrNull { it.endsAtMs == null }
            former?.endsAtMs = nowMs() + ON_ITS_WAY_MS
            outstanding.remove(change)
        }
    }

    private companion object {
        const val MS = 1000.0
        const val TIMEOUT_MS = 15_000L
        const val GIVE_UP_MS = 60_000L
        const val RETRY_MS = 200L
        const val WATCH_MS = 100L
        const val LOWERED = 0.75

        /** A start that was sent before may take so long to show, its image included. */
        const val ON_ITS_WAY_MS = 20_000L
    }
}
