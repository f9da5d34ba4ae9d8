package micatally.api

import kotlinx.coroutines.withTimeoutOrNull
import micatally.job.Job
import micatally.job.JobStore
import micatally.settings.Settings

/** What became of a job's write to the state store while its user waited. */
enum class WriteOutcome {
    DURABLE,

    /** It was not carried out and will not be, or the job is not this controller's any more. */
    REFUSED,

    /** Not known yet: it may still be carried out. */
    PENDING,
}

/** Writes of jobs for whose outcome a user waits. */
class JobDurability(
    settings: Settings,
    private val store: JobStore,
) {
    /** Users wait five seconds for a submission or a cancellation, and what can't be done is answered before that. */
    private val timeoutMs = minOf(settings.leaseMs * WAIT_TENTHS / TENTHS, MAX_WAIT_MS)

    /** Has the job, which has just been created, written at once. Does not wait for it. */
    fun requestWrite(job: Job) = store.requestWrite(job)

    /** Suspends until the job's present version is durable or refused, for a bounded time. */
    suspend fun await(job: Job): WriteOutcome {
        val isDurable = withTimeoutOrNull(timeoutMs) { store.awaitDurable(job) } ?: return WriteOutcome.PENDING
        return if (isDurable) WriteOutcome.DURABLE else WriteOutcome.REFUSED
    }

    private companion object {
        /** The longest wait, in tenths of the lease. */
        const val WAIT_TENTHS = 3
        const val MAX_WAIT_MS = 4000L
    }
}
