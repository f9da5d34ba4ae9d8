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
 * Emulates operators who lower and raise the core limits of teams during a run. Measures when each change is durable
 * and when it is in force on all controllers.
 *
 * Also keeps the limits that the use of a team is checked against. While a lowered limit is not yet in force, the
 * larger limit still counts. All coroutines run on the loop of [scope].
 *
 * @param backAddresses addresses of the controllers' listeners for peers, which serve the configuration API
 * @param nowMs a monotonic clock in milliseconds
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
    private val clients = backAddresses.map { ConfigurationClient(http, it, REQUEST_TIMEOUT_MS) }

    /** A change that is durable but not yet known to be in force. */
    private class PendingChange(
        val team: Team,
        val version: Long,
        val sentAtMs: Long,
    )

    /** The limits of one team: the newest ones, and older ones that may still be in use. */
    private class TeamLimits(
        var current: Team,
    ) {
        /**
         * The team as it was in earlier versions: a controller may still decide by such a version, or tasks that it
         * started under that version may still be about to run.
         */
        val former = ArrayList<FormerTeam>()
    }

    /**
     * A team as it was before a change.
     *
     * @property endsAtMs when its limits stop counting; null while the change that replaced it is not in force
     */
    private class FormerTeam(
        val team: Team,
        var endsAtMs: Long?,
    )

    private val limits = teams.associate { it.name to TeamLimits(it) }
    private val pendingChanges = ArrayList<PendingChange>()
    private var changeCount = 0

    /**
     * Returns the version of a team with the highest core limit that may still be in use; null if there is no such
     * team. Also called from other loops.
     */
    @Synchronized
    fun teamInForce(name: String): Team? {
        val limit = limits[name] ?: return null
        limit.former.removeIf { former -> former.endsAtMs?.let { it <= nowMs() } == true }
        return (limit.former.map { it.team } + limit.current).maxBy { it.coresMax }
    }

    /** Starts the changes of [plan]; its times count from this call. */
    fun start(plan: ConfigurationPlan) {
        scope.launch { pollStatus() }
        if (plan.perSecond > 0) {
            scope.launch {
                while (true) {
                    delay((MS_PER_SECOND / plan.perSecond).toLong())
                    scope.launch { change(teams.random(random)) }
                }
            }
        }
        val burstAtSecond = plan.burstAtSecond ?: return
        scope.launch {
            delay((burstAtSecond * MS_PER_SECOND).toLong())
            for (team in teams) {
                scope.launch {
                    delay(random.nextLong(MS_PER_SECOND.toLong()))
                    change(team)
                }
            }
        }
    }

    /**
     * Lowers the core limit of a team, or restores it if it is lowered. Retries until the change is applied or times
     * out.
     */
    private suspend fun change(team: Team) {
        val lowered = Team(team.name, team.cores, team.coresMax * LOWERED_SHARE, team.gpus, team.gpusMax)
        val target = if (currentTeam(team.name).coresMax < team.coresMax) team else lowered
        val sentAtMs = nowMs()
        val setting = target.toSetting()
        val id = "scale-${changeCount++}"
        while (nowMs() - sentAtMs < CHANGE_TIMEOUT_MS) {
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
                recordApplied(target, answer.version, sentAtMs)
                return
            }
            delay(RETRY_MS)
        }
    }

    @Synchronized
    private fun currentTeam(name: String) = limits.getValue(name).current

    @Synchronized
    private fun recordApplied(
        team: Team,
        version: Long,
        sentAtMs: Long,
    ) {
        val limit = limits.getValue(team.name)
        limit.former.add(FormerTeam(limit.current, null))
        limit.current = team
        pendingChanges.add(PendingChange(team, version, sentAtMs))
    }

    private suspend fun pollStatus() {
        while (true) {
            delay(STATUS_POLL_MS)
            if (!hasPendingChanges()) continue
            try {
                recordInForce(clients.random(random).status())
            } catch (e: NoAnswer) {
                continue
            }
        }
    }

    @Synchronized
    private fun hasPendingChanges() = pendingChanges.isNotEmpty()

    /**
     * Records the changes that [status] shows to be in force: those up to the lowest version that any controller
     * decides by, and up to the version of the status itself if it is in force.
     */
    @Synchronized
    private fun recordInForce(status: ConfigurationStatus) {
        val isComplete = status.applied.size == clients.size
        val lowestVersion = if (isComplete) status.applied.minOf { it.version } else 0L
        val inForceVersion = maxOf(lowestVersion, if (status.isInForce) status.version else 0L)
        for (change in pendingChanges.filter { it.version <= inForceVersion }) {
            latencies.record(LatencyKind.CONFIGURATION_IN_FORCE, nowMs() - change.sentAtMs)
            val former = limits.getValue(change.team.name).former.firstOrNull { it.endsAtMs == null }
            former?.endsAtMs = nowMs() + START_DELAY_MS
            pendingChanges.remove(change)
        }
    }

    private companion object {
        const val MS_PER_SECOND = 1000.0
        const val REQUEST_TIMEOUT_MS = 15_000L
        const val CHANGE_TIMEOUT_MS = 60_000L
        const val RETRY_MS = 200L
        const val STATUS_POLL_MS = 100L
        const val LOWERED_SHARE = 0.75

        /**
         * A start command sent under the former limit may take this long until its task runs, including the image pull.
         */
        const val START_DELAY_MS = 20_000L
    }
}
