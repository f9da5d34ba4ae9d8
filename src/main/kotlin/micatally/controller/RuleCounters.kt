package micatally.controller

import micatally.ownership.UnownedTasks
import micatally.quota.Quota
import micatally.worker.EndedAttemptAudit

/** Counts for the log of what must never happen, by which operators notice that a rule is about to be broken. */
class RuleCounters(
    private val quota: Quota,
    private val endedAttempts: EndedAttemptAudit,
    private val unownedTasks: UnownedTasks,
) {
    /** The counts since the start of this controller, such as `allotmentOveruse=0 endedButListed=0 unowned=0`. */
    fun describe() =
        "allotmentOveruse=${quota.audit.overuseCount} endedButListed=${endedAttempts.count} " +
            "unowned=${unownedTasks.unwantedCount}"
}
