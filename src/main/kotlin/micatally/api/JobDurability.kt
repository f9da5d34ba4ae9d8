package micatally.api

import kotlinx.coroutines.withTimeoutOrNull
import micatally.job.Job
import micatally.job.JobStore
import micatally.settings.Settings

/** The outcome of a write of a job's record while its user waits. */
enum class WriteOutcome {
    /** The record is stored. */
    DURABLE,

    /** The write was not and will not be carried out, or this controller does not lead the job any more. */
    REFUSED,

    /** The outcome is not known yet. The write may still be carried out. */
    PENDING,
}

/** Requests writes of job records, and waits for their outcome on behalf of users. */
class JobDurability(
    settings: Settings,
    private val jobStore: JobStore,
) {
    /**
     * The longest wait. Users wait five seconds for the response to a submission or a cancellation, so a request that
     * can't be completed is refused before that.
     */
    private val timeoutMs = minOf(settings.leaseMs * WAIT_TENTHS / TENTHS, MAX_WAIT_MS)

    /** Requests the write of a job that has just been created. Returns at once. */
    fun requestWrite(job: Job) = jobStore.requestWrite(job)

    /** Suspends until the present version of the job is durable or refused, or until the longest wait is over. */
    suspend fun await(job: Job): WriteOutcome {
        val isDurable = withTimeoutOrNull(timeoutMs) { jobStore.awaitDurable(job) } ?: return WriteOutcome.PENDING
        return if (isDurable) WriteOutcome.DURABLE else WriteOutcome.REFUSED
    }

    private companion object {
        /** The longest wait, in tenths of a worker's lease. */
        const val WAIT_TENTHS = 3
        const val MAX_WAIT_MS = 4000L
    }
}
