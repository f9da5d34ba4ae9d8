package micatally.controller

import micatally.job.EndedAttemptAudit
import micatally.quota.Quota

/** Counts for the log of what must never happen, by which operators notice that a rule is about to be broken. */
class RuleCounters(
    private val quota: Quota,
    private val endedAttempts: EndedAttemptAudit,
) {
    /** The counts since the start of this controller, such as `allotmentOveruse=0 endedButListed=0`. */
    fun describe() = "allotmentOveruse=${quota.audit.overuseCount} endedButListed=${endedAttempts.count}"
}
