package micatally.job

import com.google.common.cache.CacheBuilder
import micatally.wire.ListedTask
import micatally.worker.AttemptId
import micatally.worker.Machine
import org.slf4j.LoggerFactory

/**
 * Logs and counts attempts that a machine lists as not ended although their end was taken as proven here or by a former
 * leader. Such an attempt runs beside its successor or after its job, so the count must stay 0. No decision depends on
 * it.
 */
class EndedAttemptAudit {
    private val log = LoggerFactory.getLogger("micatally.job")
    private val reported = CacheBuilder.newBuilder().maximumSize(MAX_REPORTED).build<String, Boolean>()

    /** How many attempts were found since this controller started. */
    var count = 0
        private set

    /**
     * To be called when the machine's newest list shows the task as not ended, its job is stored in a loaded shard that
     * is led here, and the listed attempt is not the current one.
     */
    fun report(
        machine: Machine,
        task: ListedTask,
        job: Job,
        token: Long,
    ) {
        val id = AttemptId.of(task)
        val key = "${machine.name} ${machine.incarnation} $id"
        if (reported.getIfPresent(key) != null) return
        reported.put(key, true)
        count++
        log.error(
            "task {}/{}#{} is {} on {} session {} after its end was taken as proven: job {}, token {}",
            task.jobId,
            task.taskIndex,
            task.attempt,
            task.status,
            machine.name,
            machine.incarnation,
            job.state,
            token,
        )
    }

    private companion object {
        const val MAX_REPORTED = 10_000L
    }
}
