package micatally.quota

import org.slf4j.LoggerFactory

/**
 * One applied change of a shard's allotment and what it rested on.
 *
 * @property decidedAtRevision mark of the team's key from which the new share was computed and which the write was conditional on
 * @property appliedAtRevision revision of the state service at which it was applied
 * @property use what the shard used when the share was computed
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

/** Logs what operators need to follow a team's limit: every change of an allotment, and use above one, which must never be. */
class AllotmentAudit {
    private val log = LoggerFactory.getLogger("micatally.quota")

    /** How often a shard was seen to use more than its allotment since the start of this process. */
    var overuseCount = 0L
        private set

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
