package micatally.api

import micatally.http.HttpResponse
import micatally.http.errorResponse
import micatally.scheduling.Placement
import micatally.settings.Settings
import micatally.settings.Team
import micatally.settings.TeamDirectory
import micatally.upgrade.Upgrade
import micatally.wire.Format
import micatally.wire.JobSpec
import micatally.wire.Resources
import micatally.worker.MachineRegistry

/** Decides whether a well-formed job can be accepted. */
class AdmissionRules(
    private val settings: Settings,
    private val teams: TeamDirectory,
    private val machines: MachineRegistry,
    private val upgrade: Upgrade,
) {
    /**
     * Returns the response to a job that can't be accepted, or null if the job can be accepted. The response is 422 if
     * the job can never run, and 503 if that can't be decided now or the job can't be served now. Suspends to read the
     * newest teams before it returns a 422.
     */
    suspend fun check(spec: JobSpec): HttpResponse? {
        if (machines.machineTypes.isEmpty()) return unavailable("the machine types are not known yet")
        if (impossibleReason(spec) != null) {
            // A 422 must not rest on outdated teams: the team may have been added, or its limit raised, just now.
            if (!teams.refresh()) return unavailable("the teams can't be looked up now")
            impossibleReason(spec)?.let { return errorResponse(UNPROCESSABLE, it) }
        }
        // A controller of the previous version would run a gang's tasks as if they were independent.
        val isUnservedGang = spec.isGang && !upgrade.isUniform
        return if (isUnservedGang) unavailable("gangs are served once all controllers are upgraded") else null
    }

    /** Returns why the job can never run. Returns null in exactly the cases for which the protocol has no 422. */
    private fun impossibleReason(spec: JobSpec): String? {
        val team = teams.team(spec.team) ?: return "unknown team ${spec.team}"
        if (!Placement.isPossible(spec, machines.machineTypes.values)) return "a task fits no allowed machine type"
        if (exceedsLimit(spec, team)) return "the job needs more than the limit of team ${spec.team}"
        val fitsZones = !spec.isGang || Placement.fitsZones(spec, settings.zones.size)
        return if (fitsZones) null else "the gang's tasks may not all be in the allowed zones at once"
    }

    /**
     * Whether the tasks that have to run at the same time need more than the team's limit. A limit of 0 means no limit.
     */
    private fun exceedsLimit(
        spec: JobSpec,
        team: Team,
    ): Boolean {
        val tasksAtOnce = if (spec.format == Format.ARRAY) 1 else spec.taskCount
        val exceedsCores =
            team.coresMax > 0 && spec.resources.cores * tasksAtOnce > team.coresMax + Resources.SLACK
        val exceedsGpus = team.gpusMax > 0 && spec.resources.gpus * tasksAtOnce > team.gpusMax + Resources.SLACK
        return exceedsCores || exceedsGpus
    }
}
