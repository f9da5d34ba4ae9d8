package micatally.worker

import com.google.common.cache.CacheBuilder
import micatally.wire.CommandType
import org.slf4j.LoggerFactory

/**
 * Logs and counts attempts that were on a machine although their end was taken as proven here or by a former leader.
 * Such an attempt runs beside its successor or after its job, so the count must stay 0. No decision depends on it.
 *
 * A machine that lists such an attempt proves nothing yet: this controller may be deposed and not know it, and the
 * attempt a newer leader's. So only those count that the machine has let this controller stop.
 */
class EndedAttemptAudit {
    private val log = LoggerFactory.getLogger("micatally.worker")
    private val reported = CacheBuilder.newBuilder().maximumSize(MAX_REPORTED).build<String, Boolean>()

    /** How many attempts were found since this controller started. */
    var count = 0
        private set

    /** To be called when the machine has carried out the commands. */
    fun carriedOut(
        machine: Machine,
        batch: CommandBatch,
    ) {
        val current = batch.coveredAttempts.map { AttemptId.of(it) }.toSet()
        for (command in batch.commands) {
            val id = AttemptId.of(command)
            if (command.type == CommandType.KILL && id !in current) report(machine, batch, id)
        }
    }

    private fun report(
        machine: Machine,
        batch: CommandBatch,
        id: AttemptId,
    ) {
        val key = "${machine.name} ${batch.incarnation} $id"
        if (reported.getIfPresent(key) != null) return
        reported.put(key, true)
        count++
        log.error(
            "task {} was on {} session {} after its end had been taken as proven, stopped with token {}",
            id,
            machine.name,
            batch.incarnation,
            batch.fencingToken,
        )
    }

    private companion object {
        const val MAX_REPORTED = 10_000L
    }
}
