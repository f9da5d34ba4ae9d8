package micatally.job

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import micatally.membership.Membership
import micatally.membership.ShardLeader
import micatally.settings.Settings
import micatally.supervision.launchSupervised
import org.slf4j.LoggerFactory

/**
 * Watches which shards this controller leads: loads those that it has acquired, and gives up those that it has lost.
 */
class ShardLeadership(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val membership: Membership,
    private val shards: ShardDirectory,
    private val loader: ShardLoader,
    private val store: JobStore,
    private val collaborators: JobCollaborators,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.job")

    /**
     * Acquires and loses shards in memory, as the shared keys show. To be called after each change of the shared keys.
     */
    fun reconcile() {
        for (shard in shards.byName.values.toList()) {
            if (!shard.isLedHere) continue
            val leader = membership.sharedKeys.leader(shard.name)
            if (leader == null || leader.modRevision != shard.leader.modRevision) lose(shard)
        }
        for (name in membership.sharedKeys.shards()) {
            val leader = membership.sharedKeys.leader(name) ?: continue
            val isThisProcess = leader.host == settings.host && leader.process == membership.process
            if (isThisProcess && shards.byName[name]?.isLedHere != true) acquire(name, leader)
        }
    }

    private fun acquire(
        name: String,
        leader: ShardLeader,
    ) {
        shards.byName[name]?.let { if (it.isLedHere) lose(it) }
        val shard = JobShard(name, leader, nowMs())
        shards.add(shard)
        scope.launchSupervised("shard load") { loader.load(shard) }
    }

    /**
     * Drops the shard and its jobs, because another controller leads it. Nothing is written or sent for them any more.
     */
    fun lose(shard: JobShard) {
        if (!shard.isLedHere) return
        log.info(
            "shard {} lost with {} jobs, led since fencing token {}",
            shard.name,
            shard.jobs.size,
            shard.leader.fencingToken,
        )
        shard.transitionTo(ShardState.LOST)
        for (job in shard.jobs.values) {
            for (attempt in job.attempts.values) release(attempt)
            store.drop(job)
        }
        shard.jobs.clear()
        shards.remove(shard)
        collaborators.quota.forget(shard.name)
    }

    /**
     * Drops the shard after a write has failed because it has another leader. The copy of the shared keys may not show
     * that yet, so it is read again.
     */
    fun loseAndRefresh(shard: JobShard) {
        lose(shard)
        scope.launch(CoroutineName("shared key refresh")) { membership.refresh() }
    }

    /**
     * Detaches the attempt from its machine, and reserves its capacity for [Settings.handOverMs]. In that time the new
     * leader loads the shard and announces what it uses. Without the reservation, other controllers would read in this
     * one's capacity summary that the capacity is free.
     */
    private fun release(attempt: Attempt) {
        val job = attempt.job
        attempt.machine.detach(attempt, nowMs())
        job.spec?.let {
            attempt.machine.reserve(job.jobId, attempt.taskIndex, it.resources, nowMs() + settings.handOverMs)
        }
    }
}
