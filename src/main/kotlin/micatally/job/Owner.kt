package micatally.job

import com.google.common.cache.CacheBuilder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonArray
import micatally.ledger.Holder
import micatally.ledger.Keys
import micatally.ledger.Ledger
import micatally.ledger.LedgerState
import micatally.ledger.Membership
import micatally.placement.Quota
import micatally.settings.Settings
import micatally.state.StateClient
import micatally.state.Urgency
import micatally.wire.Demand
import micatally.wire.JobAnswer
import micatally.wire.JobSpec
import micatally.wire.KillNote
import micatally.wire.ListedTask
import micatally.wire.asLong
import micatally.wire.asText
import micatally.wire.listOrNull
import micatally.worker.KillBook
import micatally.worker.Machine
import micatally.worker.Machines
import micatally.worker.OrderBook
import micatally.worker.Orders
import org.slf4j.LoggerFactory

/** The jobs of the ledgers that this node holds, and all that happens to their tasks. */
class Owner(
    private val scope: CoroutineScope, private val settings: Settings, private val state: StateClient, private val membership: Membership,
    private val machines: Machines, private val store: JobStore, private val nowMs: () -> Long, private val wallMs: () -> Long,
) : OrderBook {
    private val log = LoggerFactory.getLogger("micatally.job")
    val ledgers = HashMap<String, Ledger>()
    lateinit var orders: Orders
    lateinit var quota: Quota
    var wake: () -> Unit = {}
    /** A machine failed what it started. */
    var onFault: (Machine, Attempt) -> Unit = { _, _ -> }

    /** Final answers, which never change. */
    private val finals = CacheBuilder.newBuilder().maximumSize(FINALS).build<String, JobAnswer>()

    fun final(ref: String): JobAnswer? = finals.getIfPresent(ref)
    fun rememberFinal(a: JobAnswer) { if (a.status == JobAnswer.DONE || a.status == JobAnswer.WITHDRAWN) finals.put(a.ref, a) }

    fun own(): Ledger? = ledgers[settings.host]?.takeIf { it.mine }

    fun job(ref: String): Job? {
        var unstored: Job? = null
        for (l in ledgers.values) if (l.mine) l.jobs[ref]?.let { if (it.durableState != JobState.NEW) return it else unstored = it }
        return unstored
    }

    fun openJobs(): List<Job> = ledgers.values.filter { it.state == LedgerState.ACTIVE }.flatMap { l -> l.jobs.values.filter { it.wantsTasks } }

    /** A job that is not stored yet may turn out to be another owner's, whose tasks are then no strays: it was submitted there
     * before, and repeated here. */
    override fun mine(ref: String) = ledgers.values.any { l -> l.state == LedgerState.ACTIVE && l.jobs[ref]?.let { it.durableState != JobState.NEW } == true }
    override fun attempt(ref: String, lap: Int) = job(ref)?.attempts?.get(lap)

    /** Whether all jobs of this node's ledgers are known here. */
    val settled get() = own() != null && ledgers.values.all { it.state == LedgerState.ACTIVE }

    /** Withdrawn jobs with tasks that are not proven gone. Kept, not looked for: each message from a peer asks for them. */
    private val withdrawing = LinkedHashSet<Job>()

    /** Tasks of withdrawn jobs that may still be on their machines. */
    fun withdrawnTasks(): List<KillNote> = withdrawing.filter { it.durableState == JobState.WITHDRAWN }.flatMap { notes(it) }

    // Ledgers

    fun acquired(name: String, holder: Holder) {
        ledgers[name]?.let { if (it.mine) lose(it) }
        val l = Ledger(name, holder)
        ledgers[name] = l
        scope.launch { load(l) }
    }

    /** The shared keys have changed: drop what is another node's now. */
    fun checkLedgers() {
        for (l in ledgers.values.toList()) {
            if (!l.mine) continue
            val h = membership.cluster.holder(l.name)
            if (h == null || h.mark != l.holder.mark) lose(l)
        }
        for (name in membership.cluster.ledgers()) {
            val h = membership.cluster.holder(name) ?: continue
            if (h.host == settings.host && h.process == membership.process && ledgers[name]?.mine != true) acquired(name, h)
        }
    }

    fun lose(l: Ledger) {
        if (!l.mine) return
        log.info("ledger {} lost with {} jobs", l.name, l.jobs.size)
        l.become(LedgerState.LOST)
        for (j in l.jobs.values) {
            for (a in j.attempts.values) {
                a.machine.detach(a, nowMs())
                // Its new owner has yet to load it; to all that see this node's summary the room would look free meanwhile.
                j.spec?.let { a.machine.promise(j.ref, a.lap, it.amount, nowMs() + settings.handOverMs) }
            }
            store.drop(j)
        }
        l.jobs.clear()
        ledgers.remove(l.name, l)
        quota.forget(l.name)
    }

    private suspend fun load(l: Ledger) {
        val began = nowMs()
        while (l.mine) {
            val listing = state.list(Keys.JOB, Urgency.LEASE)
            if (listing == null) { delay(settings.reportMs / 8); continue }
            if (!l.mine) return
            var open = 0
            for (item in listing.items) {
                val ref = item.key.removePrefix(Keys.JOB)
                // Whoever's job it is: a node that has just started must stop its tasks where it hears them.
                if (JobRecord.state(item.value) == JobState.WITHDRAWN) kills.take(JobRecord.placed(item.value).map { KillNote(it.machine, ref, it.lap, it.number) })
                if (JobRecord.ledgerOf(item.value) != l.name) continue
                // Accepted here while the list was on its way; or it was accepted before, and its user has just repeated the
                // submission here: then the record counts, or nobody would own the job.
                val there = l.jobs[ref]
                if (there?.durableState == JobState.NEW && JobRecord.holdOf(item.value) != l.hold) store.drop(there) else if (there != null) continue
                val job = JobRecord.decode(ref, item.value, l, item.mark)
                if (JobRecord.isSettled(item.value)) { rememberFinal(job.answer()); continue }
                l.jobs[ref] = job
                open++
                for (p in JobRecord.placed(item.value)) {
                    val m = machines.known(p.machine, p.addr, p.type, p.zone, p.spot)
                    if (m.session == 0L) m.session = p.session
                    val a = Attempt(job, p.lap, p.number, m, p.session, job.service, AttemptState.ORDERED)
                    job.attempts[p.lap] = a
                    attach(a)
                }
                if (job.state == JobState.WITHDRAWN) {
                    withdrawing.add(job)
                    // Written together with the record; this node's copy of the shared keys is as new as its hold on the ledger.
                    if (membership.cluster.has(Keys.kill(ref))) job.publishedAt = nowMs() else store.touch(job, true)
                }
            }
            l.become(LedgerState.ACTIVE)
            log.info("ledger {} loaded at epoch {}: {} jobs in {} ms", l.name, l.holder.epoch, open, nowMs() - began)
            for (m in machines.byName.values.toList()) {
                if (m.session > 0) newSession(m)
                if (m.deleted) deleted(m)
                if (m.attempts.isNotEmpty()) { listed(m, false); orders.poke(m) }
            }
            wake()
            return
        }
    }

    // Withdrawn jobs, and when their users may be told

    /** What other owners have withdrawn. */
    val kills = KillBook(settings.cancelMs * 2, nowMs)

    /** Every controller that may answer workers either knows the job's tasks, and stops them where it hears them, or has lost
     * touch: then its right ends early enough after [Settings.untoldMs] have passed since they lie in the state service.
     * Telling the user before that would leave a zone that is cut off only until its workers' leases end. A confirmation
     * counts only after the tasks lie there: the process that gave it may end, and the next one reads them at its start. */
    fun mayTell(job: Job): Boolean {
        if (job.durableState != JobState.WITHDRAWN || job.attempts.isEmpty() || job.tellable) return true
        val published = job.publishedAt ?: return false
        job.tellable = job.confirmedBy.size >= settings.peers.size || nowMs() - published >= settings.untoldMs
        return job.tellable
    }

    fun notes(job: Job) = job.attempts.values.map { KillNote(it.machine.name, job.ref, it.lap, it.number) }

    /** The shared keys have changed: tasks that some owner has published. */
    fun published(key: String) {
        val ref = key.removePrefix(Keys.KILL)
        val rows = membership.cluster.value(key)?.listOrNull("tasks") ?: return
        kills.take(rows.map { it as JsonArray }.map { KillNote(it[0].asText(), ref, it[1].asLong().toInt(), it[2].asLong()) })
    }

    /** Asks the other controllers to confirm the tasks of a withdrawn job. */
    var spread: suspend (Job) -> Unit = {}

    /** The tasks of withdrawn jobs that their machines do not confirm in time: once their user may hear of the end, any node
     * may say so, whoever asks. After a change of owner nobody else asks the other controllers again. */
    fun followWithdrawn(now: Long) {
        for (j in withdrawing.toList()) {
            if (j.ledger.state != LedgerState.ACTIVE || j.durableState != JobState.WITHDRAWN || j.tellableRecorded) continue
            if (j.attempts.values.none { it.stop == StopReason.WITHDRAWN && now - it.stopSince > settings.leaseMs / 10 }) continue
            if (mayTell(j)) { j.tellableRecorded = true; store.touch(j, true) } else if (!j.spreading) {
                j.spreading = true
                scope.launch { try { spread(j) } finally { j.spreading = false } }
            }
        }
        withdrawing.removeIf { it.attempts.isEmpty() || it.state != JobState.WITHDRAWN }
        kills.prune { membership.cluster.has(Keys.kill(it)) }
    }

    private fun attach(a: Attempt) {
        a.machine.attach(a)
        quota.take(a.job)
    }

    // Attempts

    /** Numbers are the job's, each used once for a task; the members of a gang, which find each other by it, share one. */
    fun place(job: Job, lap: Int, m: Machine, number: Long = job.nextAttempt++): Attempt {
        val a = Attempt(job, lap, number, m, m.session, job.service, AttemptState.INTENDED)
        job.attempts[lap] = a
        attach(a)
        log.info("task {}/{} attempt {} intended for {}", job.ref, lap, a.number, m.name)
        return a
    }

    fun durable(job: Job, written: List<Attempt>) {
        val touched = LinkedHashSet<Machine>()
        for (a in written) if (a.live && a.state == AttemptState.INTENDED) {
            a.become(AttemptState.RECORDED, nowMs())
            touched.add(a.machine)
        }
        for (m in touched) orders.poke(m)
        if (job.durableState == JobState.DONE || job.durableState == JobState.WITHDRAWN) {
            if (mayTell(job)) rememberFinal(job.answer())
            if (job.attempts.isEmpty() && job.durableVersion == job.version) {
                // Kept in memory for a while so that its ended entries are still cleared from the machines.
                val l = job.ledger
                scope.launch { delay(settings.leaseMs * 2); if (job.attempts.isEmpty()) l.jobs.remove(job.ref, job) }
            }
        }
    }

    /** The one place where an attempt ends. A task may start elsewhere only after it. */
    override fun gone(a: Attempt, proof: GoneProof, why: String) {
        if (!a.live) return
        val job = a.job
        val now = nowMs()
        val ran = a.runningSince?.let { now - it } ?: 0L
        a.become(AttemptState.GONE, now)
        a.machine.detach(a, now)
        job.attempts.remove(a.lap, a)
        // What a ledger used is forgotten with it; its next holder has counted anew.
        if (job.ledger.mine) quota.release(job)
        log.info("task {} gone: {} {}", a, proof, why)
        if (job.state == JobState.DROPPED) return
        val word = why.substringBefore(' ')
        if (proof == GoneProof.COMPLETED) finished(a, ran) else if (ran > 0 && job.spec?.isService == false) {
            // Stopped or lost: its run time counts as service that the job has had.
            lift(job, a.inherited + ran / 1000.0)
        }
        when (word) {
            ListedTask.ERROR -> {
                job.failures++
                job.badMachines.add(a.machine.name)
                if (job.badMachines.size > FAULTS_TO_PAUSE) {
                    job.retryAt = now + minOf(settings.leaseMs * 6, settings.reportMs shl minOf(job.badMachines.size - FAULTS_TO_PAUSE, 5))
                }
                onFault(a.machine, a)
            }
            ListedTask.FULL -> a.machine.fullUntil = now + settings.reportMs
            ListedTask.UNKNOWN, ListedTask.IN_USE -> job.retryAt = now + settings.reportMs
        }
        store.touch(job, job.state != JobState.OPEN || a.stop != null)
        wake()
    }

    private fun finished(a: Attempt, ranMs: Long) {
        val job = a.job
        if (!job.markDone(a.lap)) return
        a.machine.successes++
        lift(job, a.inherited + ranMs / 1000.0)
        if (job.doneCount == job.laps && job.state == JobState.OPEN) {
            job.become(JobState.DONE)
            log.info("job {} done", job.ref)
            store.touch(job, true)
        }
    }

    private fun lift(job: Job, to: Double) { if (to > job.service) job.service = to }

    fun newSession(m: Machine) {
        for (a in m.attempts.toList()) if (a.session < m.session) gone(a, GoneProof.NEWER_SESSION, "session ${m.session}")
    }

    fun deleted(m: Machine) {
        m.deleted = true
        m.loose.clear()
        for (a in m.attempts.toList()) gone(a, GoneProof.MACHINE_DELETED, "machine gone")
    }

    /** A newer task list of a machine. Without an answer to our own request it proves only what can't change any more. */
    fun listed(m: Machine, own: Boolean) {
        val now = nowMs()
        var poke = false
        for (t in m.tasks) {
            val job = job(t.ref) ?: continue
            val a = job.attempts[t.lap]
            if (a == null || a.number != t.attempt || a.machine !== m || a.session != m.session) {
                poke = true
                // Completed under an attempt that was given up for good reasons: the result counts all the same.
                if (t.done && job.state == JobState.OPEN && a == null && job.markDone(t.lap)) {
                    if (job.doneCount == job.laps) { job.become(JobState.DONE); log.info("job {} done", job.ref) }
                    store.touch(job, job.state == JobState.DONE)
                }
                continue
            }
            when (t.status) {
                ListedTask.PULLING, ListedTask.WAITING -> if (a.state < AttemptState.PULLING && a.state >= AttemptState.ORDERED) a.become(AttemptState.PULLING, now)
                ListedTask.RUNNING -> if (a.state < AttemptState.RUNNING && a.state >= AttemptState.ORDERED) {
                    a.become(AttemptState.RUNNING, now)
                    job.spec?.let { m.sawImage(it.image, it.imageGb, machines.flavors[m.type]?.cacheGb ?: 0.0); m.ownImages.add(it.image) }
                    log.info("task {} runs", a)
                }
                ListedTask.SAVING -> if (a.state < AttemptState.SAVING && a.state >= AttemptState.ORDERED) a.become(AttemptState.SAVING, now)
                ListedTask.ENDED -> when {
                    t.done -> { gone(a, GoneProof.COMPLETED, "done"); poke = true }
                    !own -> { m.mustAsk = true; poke = true }
                }
            }
        }
        // What was there and is missing proves nothing, since nobody knows who took it away; but the machine is asked.
        if (!own && m.attempts.any { it.state >= AttemptState.PULLING && it.session == m.session && m.tasks.none { t -> t.ref == it.job.ref && t.lap == it.lap && t.attempt == it.number } }) {
            m.mustAsk = true
            poke = true
        }
        if (poke) orders.poke(m)
    }

    private val recent = ArrayDeque<Pair<Long, JobSpec>>()

    /** The services submitted here while a machine boots, by shape. */
    fun recentServices(): List<Demand> {
        val since = nowMs() - machines.bootMs(null) * RECENT_BOOTS / 3
        while (recent.isNotEmpty() && recent.first().first < since) recent.removeFirst()
        return recent.groupBy { (_, s) -> s.amount to s.types }.map { (shape, list) ->
            Demand(shape.first.cores, shape.first.cards, shape.first.ram, shape.second?.toList() ?: emptyList(), count = list.sumOf { it.second.laps }, service = true)
        }
    }

    // What users ask for

    /** Creates a job of this node's own ledger; the caller waits for the store. */
    fun create(spec: JobSpec, ledger: Ledger): Job {
        val job = Job(spec.ref, spec, ledger, spec.laps, wallMs(), JobState.NEW)
        ledger.jobs[spec.ref] = job
        if (spec.isService) recent.addLast(nowMs() to spec)
        log.info("job {} of {} lane {}: {} tasks of {} cores {} cards", spec.ref, spec.crew, spec.lane, spec.laps, spec.amount.cores, spec.amount.cards)
        return job
    }

    /** The job is not this node's after all. None of its tasks was ever sent: that takes a record that is durable. */
    fun forget(job: Job) {
        for (a in job.attempts.values.toList()) gone(a, GoneProof.NEVER_SENT, "job not accepted")
        job.ledger.jobs.remove(job.ref, job)
    }

    fun withdraw(job: Job) {
        if (job.state != JobState.OPEN && job.state != JobState.NEW) return
        job.become(JobState.WITHDRAWN)
        log.info("job {} withdrawn with {} tasks", job.ref, job.attempts.size)
        withdrawing.add(job)
        // Its machines may report here and still not be reached by an order.
        kills.take(notes(job))
        val now = nowMs()
        val touched = LinkedHashSet<Machine>()
        for (a in job.attempts.values.toList()) {
            if (a.state == AttemptState.INTENDED) { gone(a, GoneProof.NEVER_SENT, "withdrawn"); continue }
            a.stop(StopReason.WITHDRAWN, now)
            touched.add(a.machine)
        }
        store.touch(job, true)
        for (m in touched) orders.poke(m)
    }

    /** Adopted after a takeover: a withdrawn job's tasks must still go. */
    fun sweep() {
        val now = nowMs()
        for (j in withdrawing) if (j.ledger.state == LedgerState.ACTIVE) for (a in j.attempts.values) a.stop(StopReason.WITHDRAWN, now)
        for (m in machines.byName.values) {
            if (m.deleted || m.attempts.isEmpty() && m.tasks.none { it.ended && mine(it.ref) }) continue
            if (m.flushing) continue
            if (m.attempts.any { it.stop != null || it.state == AttemptState.RECORDED || it.state == AttemptState.ORDERED || m.confirmedToken < it.job.ledger.holder.epoch } || m.mustAsk || m.tasks.any { it.ended && mine(it.ref) }) orders.poke(m)
        }
    }

    private companion object {
        const val FINALS = 20_000L
        const val FAULTS_TO_PAUSE = 3
        /** Services of so many thirds of a boot may come while a machine boots. */
        const val RECENT_BOOTS = 4
    }
}
