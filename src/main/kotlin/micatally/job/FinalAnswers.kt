package micatally.job

import com.google.common.cache.CacheBuilder
import micatally.wire.JobAnswer

/** A bounded cache of the answers about jobs that are over. Such an answer never changes, so it needs no expiry. */
class FinalAnswers {
    private val answers = CacheBuilder.newBuilder().maximumSize(MAX_ANSWERS).build<String, JobAnswer>()

    /** The final answer about the job, or null if none is cached; the job may be over all the same. */
    fun get(jobId: String): JobAnswer? = answers.getIfPresent(jobId)

    /** Caches [answer] if it is final, and ignores it otherwise. */
    fun remember(answer: JobAnswer) {
        if (answer.status == JobAnswer.DONE || answer.status == JobAnswer.CANCELLED) answers.put(answer.jobId, answer)
    }

    private companion object {
        const val MAX_ANSWERS = 20_000L
    }
}
