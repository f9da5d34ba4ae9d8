package micatally.job

import com.google.common.cache.CacheBuilder
import micatally.wire.JobAnswer

/** A bounded cache of the answers to users about jobs that are over. Such an answer never changes, so none expires. */
class FinalAnswers {
    private val answers = CacheBuilder.newBuilder().maximumSize(MAX_ANSWERS).build<String, JobAnswer>()

    /** The cached final answer about the job, or null if none is cached. The job may be over even then. */
    fun get(jobId: String): JobAnswer? = answers.getIfPresent(jobId)

    /** Caches [answer] if it is final, and ignores it otherwise. */
    fun remember(answer: JobAnswer) {
        if (answer.status == JobAnswer.DONE || answer.status == JobAnswer.CANCELLED) answers.put(answer.jobId, answer)
    }

    private companion object {
        const val MAX_ANSWERS = 20_000L
    }
}
