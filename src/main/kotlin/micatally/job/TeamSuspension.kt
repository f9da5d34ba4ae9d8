package micatally.job

/** Keeps jobs of suspended teams from starting tasks, see [micatally.quota.Quota.isSuspended]. */
class TeamSuspension(
    private val shards: ShardDirectory,
    private val attempts: AttemptLifecycle,
    private val collaborators: JobCollaborators,
) {
    /** Whether the job's team may not start anything; false for a job that is not known here. */
    fun isSuspended(jobId: String): Boolean {
        val team = shards.job(jobId)?.spec?.team ?: return false
        return collaborators.quota.isSuspended(team)
    }

    /**
     * Ends what has been decided and not sent for those suspended teams that [isAffected] names, after their limit was
     * lowered or they were removed. What was sent counts as started and runs on.
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
