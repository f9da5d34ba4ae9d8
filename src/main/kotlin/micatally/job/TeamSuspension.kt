package micatally.job

/**
 * Keeps the jobs of suspended teams from starting tasks. See [micatally.quota.Quota.isSuspended] for when a team is
 * suspended.
 */
class TeamSuspension(
    private val shards: ShardDirectory,
    private val attempts: AttemptLifecycle,
    private val collaborators: JobCollaborators,
) {
    /**
     * Whether no task of the job may be started because its team is suspended; false for a job that is not known here.
     */
    fun isSuspended(jobId: String): Boolean {
        val team = shards.job(jobId)?.spec?.team ?: return false
        return collaborators.quota.isSuspended(team)
    }

    /**
     * Ends the attempts that were not sent yet, for the suspended teams among those that [isAffected] selects. Called
     * after limits were lowered or teams removed. Attempts that were sent count as started and run on.
     */
    fun endUnsent(isAffected: (team: String) -> Boolean) {
        for (job in shards.openJobs()) {
            val team = job.spec?.team ?: continue
            val unsent = job.attempts.values.filter { it.state <= AttemptState.RECORDED }
            if (unsent.isEmpty() || !isAffected(team) || !collaborators.quota.isSuspended(team)) continue
            for (attempt in unsent) {
                attempts.terminate(
                    attempt,
                    AttemptTermination(TerminationEvidence.NEVER_SENT, "the limit of $team was lowered"),
                )
            }
        }
    }
}
