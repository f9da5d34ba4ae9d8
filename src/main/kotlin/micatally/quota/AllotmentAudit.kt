package micatally.quota

import org.slf4j.LoggerFactory

/**
 * A change of a shard's allotment that the state store has applied, with the data that the decision was based on.
 *
 * @property decidedAtRevision the modRevision of the team's key that the decision was based on; the write was
 * conditional on it
 * @property appliedAtRevision the revision of the state store at which the write was applied
 * @property before the share before the change
 * @property after the share after the change
 * @property use the shard's use at the time of the decision
 */
class AllotmentChange(
    val team: String,
    val shard: String,
    val decidedAtRevision: Long,
    val appliedAtRevision: Long,
    val before: Share,
    val after: Share,
    val use: Share,
)

/** Logs each change of an allotment, and as an error each use above an allotment, which must never happen. */
class AllotmentAudit {
    private val log = LoggerFactory.getLogger("micatally.quota")

    /** How often a shard was found to use more than its allotment, since the start of this process. */
    var overuseCount = 0L
        private set

    /** Logs a change that the state store has applied. */
    fun logChange(change: AllotmentChange) {
        log.info(
            "team {} shard {} allotment {} -> {} use {} decided on {} written at {}",
            change.team,
            change.shard,
            change.before,
            change.after,
            change.use,
            change.decidedAtRevision,
            change.appliedAtRevision,
        )
    }

    /** Logs as an error that a shard uses more than the allotment that its team's key held at [modRevision]. */
    fun logOveruse(
        team: String,
        shard: String,
        modRevision: Long,
        allotted: Share,
        use: Share,
    ) {
        overuseCount++
        log.error(
            "team {} shard {} uses {} above its allotment {} of revision {}",
            team,
            shard,
            use,
            allotted,
            modRevision,
        )
    }
}
