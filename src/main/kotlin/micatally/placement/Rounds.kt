package micatally.placement

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import micatally.gang.Gang
import micatally.gang.GangAssignment
import micatally.gang.GangCandidate
import micatally.gang.GangPhase
import micatally.gang.GangPlacement
import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.Job
import micatally.job.JobStore
import micatally.job.Owner
import micatally.job.StopReason
import micatally.node.Effort
import micatally.queue.Queues
import micatally.settings.Settings
import micatally.wire.Amount
import micatally.wire.Demand
import micatally.wire.JobSpec
import micatally.worker.Machine
import micatally.worker.Machines
import micatally.worker.Orders
import org.slf4j.LoggerFactory

/** Decision rounds: from the top queue down, skipping what finds no room. They run on events, with a budget of time
 * for each, and the next one goes on where the last one stopped. */
class Rounds(
    private val scope: CoroutineScope, private val settings: Settings, private val owner: Owner, private val machines: Machines,
    private val store: JobStore, private val quota: Quota, private val orders: Orders, private val queues: Queues, private val effort: Effort, private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.placement")
    private val turnMs = settings.reportMs / 4
    private val gapMs = maxOf(5L, settings.reportMs / 40)
    private val budgetMs = maxOf(5L, settings.reportMs / 40)
    private var asked = false
    private var lastAt = 0L
    private var nextAt = 0L
    private var resumeAfter: String? = null

    /** What other owners could not place. An owner can stop only its own tasks, and does so for them too. */
    var foreign: () -> List<Demand> = { emptyList() }
    private var foreignServices: List<Demand> = emptyList()
    /** Room that stops under way will leave, as far as it is meant for a waiter already; worked out anew each round. */
    private val promised = HashMap<String, Amount>()
    private val stoppedForPeersAt = HashMap<String, Long>()

    /** What found no room in the last full round, by job. A round that has not come to its end yet does not show. */
    var unplaced: Map<String, Demand> = emptyMap()
        private set
    private var finding = LinkedHashMap<String, Demand>()

    /** What a waiting task looks like to the machines. Within one round room only shrinks, so what found none is not
     * looked for again: with hundreds of machines and waiters the search would take the whole of the processor. */
    private data class Shape(val amount: Amount, val types: Set<String>?, val zones: List<String>, val spot: Boolean, val service: Boolean, val priority: Int)
    private val noRoom = HashSet<Shape>()
    private val noStop = HashSet<Pair<Shape, Int>>()

    private fun shape(spec: JobSpec, rule: Placement.ZoneRule) =
        Shape(spec.amount, spec.types, settings.zones.filter { rule.allows(it) }, spec.spot, spec.isService, spec.priority.ordinal)

    fun wake() {
        if (asked) return
        asked = true
        scope.launch {
            val wait = nextAt - nowMs()
            if (wait > 0) delay(wait)
            asked = false
            effort.of(Effort.Kind.ROUND) { round() }
        }
    }

    private fun ordered(): List<Job> = owner.openJobs().filter { it.pendingCount > 0 }
        .sortedWith(compareBy<Job>({ queues.current(it) }, { it.spec?.priority?.ordinal ?: 9 }, { rank(it) }, { it.ref }))

    /** Within a queue the earlier job comes first, and of jobs that came together the one with fewer tasks left: it is over
     * sooner, and the other one hardly later. */
    private fun rank(job: Job): Long = job.submittedAt + if (job.spec?.isService != false) 0L else (job.laps - job.doneCount).toLong() * settings.leaseMs / TASKS_A_LEASE

    private fun round() {
        val now = nowMs()
        tickWaits(now)
        lastAt = now
        noRoom.clear()
        noStop.clear()
        val jobs = ordered()
        var from = resumeAfter?.let { r -> jobs.indexOfFirst { it.ref == r } + 1 } ?: 0
        if (from >= jobs.size) from = 0
        if (from == 0) { finding.clear(); promised.clear() }
        foreignServices = foreign().filter { it.service }
        open = machines.byName.values.filter { m -> usable(m, now) && machines.total(m)?.let { it.cores - m.used.cores > Amount.SLACK } == true }
        openCards = open!!.filter { m -> machines.total(m)!!.cards - m.used.cards > Amount.SLACK }
        resumeAfter = null
        for (i in from until jobs.size) {
            if (i == from || !alike(jobs[i - 1], jobs[i])) placeWhereImagesAre(jobs, i, now)
            placeJob(jobs[i], now)
            if (nowMs() - now > budgetMs && i + 1 < jobs.size) { resumeAfter = jobs[i].ref; break }
        }
        open = null
        if (resumeAfter == null) {
            unplaced = finding
            finding = LinkedHashMap()
        }
        makeRoomForPeers(now)
        // Rounds keep to a share of the time, however long they take.
        val end = nowMs()
        nextAt = maxOf(now + gapMs, end + (end - now) * REST)
        if (resumeAfter != null) wake()
    }

    private fun alike(a: Job, b: Job) = queues.current(a) == queues.current(b) && a.spec?.priority == b.spec?.priority

    /** Among arrays of one queue and priority a room goes first to those whose image is there: a fetch takes about as long
     * as a third of a task, during which the room does nothing. */
    private fun placeWhereImagesAre(jobs: List<Job>, from: Int, now: Long) {
        var to = from + 1
        while (to < jobs.size && alike(jobs[from], jobs[to])) to++
        if (to - from < 2) return
        for (i in from until to) {
            val spec = jobs[i].spec ?: continue
            if (spec.isService || spec.isPlacedWhole || shape(spec, Placement.zones(jobs[i], spec)) in noRoom) continue
            placeJob(jobs[i], now, true)
            if (nowMs() - now > budgetMs) return
        }
    }

    private fun tickWaits(now: Long) {
        val step = now - lastAt
        if (lastAt == 0L || step <= 0) return
        for (j in owner.openJobs()) if (j.pendingCount > 0 && j.attempts.values.none { it.state >= AttemptState.RUNNING }) j.waitedMs += step
    }

    /** Places what can be placed of one job. Returns whether all of it found room. */
    fun placeJob(job: Job, now: Long, withImage: Boolean = false): Boolean {
        val spec = job.spec ?: return true
        if (!job.wantsTasks || now < job.retryAt) return true
        val room = minOf(MAX_ATTEMPTS, job.attemptLimit) - job.attempts.size
        if (room <= 0) return true
        job.gang?.let { return placeGang(job, spec, it, room, now) }
        if (spec.isService && moved.isNotEmpty()) placeMoved(job, spec, now)
        if (!spec.isPlacedWhole && shape(spec, Placement.zones(job, spec)) in noRoom && quota.allows(job)) { unplaceable(job, spec, 1, now); return false }
        val laps = job.pending(if (spec.isService) spec.laps.coerceAtMost(room) else minOf(room, ROUND_TASKS))
        if (laps.isEmpty()) return true
        if (spec.isPlacedWhole) return placeWhole(job, spec, laps, now) { job.nextAttempt++ } != null
        var placed = 0
        var blocked = false
        val choice = Choice(job, spec, now, null, withImage)
        for (lap in laps) {
            if (!quota.allows(job)) { blocked = true; break }
            val m = choice.next()
            if (m == null) {
                if (choice.deferred || withImage) blocked = true else if (job.badMachines.isEmpty()) noRoom.add(shape(spec, choice.rule))
                break
            }
            owner.place(job, lap, m)
            placed++
        }
        val q = queues.current(job)
        if (placed > 0) {
            job.queue = q
            store.touch(job, true)
        }
        if (placed < laps.size && !blocked) {
            unplaceable(job, spec, laps.size - placed, now)
            return false
        }
        if (placed == laps.size && job.pendingCount > 0) wake()
        return !blocked
    }

    /** Replicas that were stopped to move go where room was kept for them. */
    private fun placeMoved(job: Job, spec: JobSpec, now: Long) {
        val each = moved.entries.iterator()
        while (each.hasNext()) {
            val (task, to) = each.next()
            if (task.first != job.ref || task.second in job.attempts) continue
            each.remove()
            if (!to.release(task.first, task.second) || job.done[task.second] || !quota.allows(job)) continue
            if (!usable(to, now) || !spec.amount.fitsIn((machines.total(to) ?: continue) - to.used) || !Placement.zones(job, spec).allows(to.zone)) continue
            owner.place(job, task.second, to)
            store.touch(job, true)
        }
    }

    private fun unplaceable(job: Job, spec: JobSpec, count: Int, now: Long) {
        note(job, spec, job.pendingCount)
        val rule = Placement.zones(job, spec)
        val q = queues.current(job)
        val key = shape(spec, rule) to q
        if (key in noStop) return
        for (i in 0 until minOf(count, STOPS_A_ROUND)) if (!makeRoom(Need(spec, rule, q, job.ref), now)) { noStop.add(key); break }
    }

    private fun note(job: Job, spec: JobSpec, count: Int) {
        val rule = Placement.zones(job, spec)
        val zones = settings.zones.filter { rule.allows(it) }
        finding[job.ref] = Demand(
            spec.amount.cores, spec.amount.cards, spec.amount.ram, spec.types?.toList() ?: emptyList(), zones, spec.spot, count,
            spec.priority.ordinal, spec.isService, spec.estimateS, spec.image,
            if (spec.scatter) zones.map { Placement.zoneCap(spec) - (rule.used[it] ?: 0) } else emptyList(),
        )
    }

    /** A whole run of a gang, or tasks that a run which waits has lost. */
    private fun placeGang(job: Job, spec: JobSpec, gang: Gang, room: Int, now: Long): Boolean {
        val missing = job.pending(spec.laps)
        val isReplacing = gang.phase == GangPhase.WAITING
        val mayPlace = if (isReplacing) owner.gangs.mayReplace(job, gang, now) else gang.phase == GangPhase.PLACING
        if (missing.isEmpty() || !mayPlace || missing.size > room) return true
        if (!isReplacing) return placeWhole(job, spec, missing, now) { job.nextAttempt++.also { gang.beginRun(it) } } != null
        val placed = placeWhole(job, spec, missing, now) { gang.number } ?: return false
        val waitedMs = gang.waitingSinceMs?.let { now - it } ?: 0L
        if (waitedMs + placed.fetchS * 1000 * FETCH_MARGIN > settings.gangWaitMs) owner.gangs.giveUp(job, "a replacement needs ${placed.fetchS} s")
        return true
    }

    /** All or nothing: every one of these tasks finds room, in one zone where it has to, or none is placed; null: none. */
    private fun placeWhole(job: Job, spec: JobSpec, tasks: List<Int>, now: Long, number: () -> Long): GangAssignment<Machine>? {
        if (!quota.allows(job, tasks.size)) return null
        val rule = Placement.zones(job, spec)
        val gang = job.gang
        val candidates = Choice(job, spec, now, null).forGang()
            .filter { c -> rule.allows(c.zone) && (gang == null || tasks.none { gang.phase == GangPhase.WAITING && gang.wasTried(it, c.machine.name) }) }
        val zoneRoom = { zone: String -> if (spec.scatter) Placement.zoneCap(spec) - (rule.used[zone] ?: 0) else spec.laps }
        val assignment = GangPlacement.choose(candidates, tasks.size, spec.together, zoneRoom)
        if (assignment == null) {
            noteWhole(job, spec, rule, tasks.size, candidates, now)
            return null
        }
        val attempt = number()
        for ((index, task) in tasks.withIndex()) owner.place(job, task, assignment.machines[index].machine, attempt)
        store.touch(job, true)
        return assignment
    }

    /** What is to be rented for tasks of one zone: there where most of them fit already, or in turn where none do. */
    private fun noteWhole(job: Job, spec: JobSpec, rule: Placement.ZoneRule, count: Int, candidates: List<GangCandidate<Machine>>, now: Long) {
        note(job, spec, count)
        if (!spec.together) return
        val zones = settings.zones.filter { rule.allows(it) }
        if (zones.isEmpty()) return
        val fitting = candidates.groupBy { it.zone }.mapValues { (_, list) -> list.sumOf { minOf(it.capacity, count) } }
        val turn = (now / (machines.bootMs(null) * BOOTS_A_ZONE) % zones.size).toInt()
        val zone = zones.maxByOrNull { fitting[it] ?: 0 }?.takeIf { (fitting[it] ?: 0) > 0 } ?: zones[turn]
        val missing = maxOf(1, count - (fitting[zone] ?: 0))
        finding[job.ref] = finding.getValue(job.ref).copy(zones = listOf(zone), count = missing, zoneRoom = emptyList())
    }

    fun usable(m: Machine, now: Long) = !m.deleted && !m.draining && !m.recalled && m.session > 0 && m.addr.isNotEmpty() &&
        now - m.heardAt < settings.leaseMs / 2 + settings.reportMs && now >= m.unreachableUntil && now >= m.fullUntil && now >= m.sickUntil

    /** The machines that could take tasks of a job, best first. Scores are worked out once: placing one task changes
     * that of its own machine only, and what its zone counts. */
    private inner class Choice(private val job: Job, private val spec: JobSpec, now: Long, zone: String?, withImage: Boolean = false, moving: Attempt? = null) {
        private inner class Candidate(val m: Machine, val f: micatally.wire.Flavor) {
            var score = 0.0
            fun forGang(): GangCandidate<Machine> {
                val fetchS = Placement.fetchS(spec, m, f)
                return GangCandidate(m, m.zone, spec.amount.countIn(f.amount - m.used), fetchS, score + fetchS * (GANG_FETCH_WEIGHT - 1))
            }

            fun look(): Boolean {
                val free = f.amount - m.used
                if (!spec.amount.fitsIn(free)) return false
                // Room that a more important service of another owner waits for is not filled again by arrays.
                for (d in ahead) if (wants(d, m) && Amount(d.cores, d.cards, d.ram).fitsIn(free)) return false
                score = Placement.score(spec, m, f, free) + if (!takesTurns) turn(m) * TURN_WEIGHT else 0.0
                return true
            }
        }

        fun forGang(): List<GangCandidate<Machine>> = candidates.map { it.forGang() }

        /** Services and gangs are to start at once; that another owner may choose the same room only counts against it. */
        private val takesTurns = !spec.isService && !spec.isGang
        private val ahead = if (spec.isService) emptyList() else foreignServices.filter { it.priority < spec.priority.ordinal }
        var rule = Placement.zones(job, spec, moving)
            private set
        private val candidates = ArrayList<Candidate>()
        /** There is room whose turn is still to come, so that more machines need not be asked for yet. */
        var deferred = false
            private set
        private var last: Candidate? = null

        init {
            for (m in among(spec)) {
                if (!usable(m, now) || (zone != null && m.zone != zone) || !Placement.kindAllowed(spec, m)) continue
                if (withImage && spec.image !in m.images) continue
                if (m.name in job.badMachines && job.badMachines.size <= FEW_FAULTS) continue
                val c = Candidate(m, machines.flavors[m.type] ?: continue)
                if (!c.look()) continue
                if (takesTurns && now < m.freedAt + turn(m) * turnMs) deferred = true else candidates.add(c)
            }
        }

        /** The best machine for one more task; the one given before has been filled meanwhile. */
        fun next(): Machine? {
            last?.let { if (!it.look()) candidates.remove(it); rule = Placement.zones(job, spec) }
            var best: Candidate? = null
            var bestScore = Double.MAX_VALUE
            for (c in candidates) {
                if (!rule.allows(c.m.zone)) continue
                val s = c.score + Placement.zoneScore(spec, rule.used[c.m.zone] ?: 0)
                if (s < bestScore || (s == bestScore && c.m.name < best!!.m.name)) { best = c; bestScore = s }
            }
            last = best
            return best?.m
        }
    }

    /** Machines with anything free, as this round found them, and those of them with cards free: with a full fleet and many waiters
     * the search through all machines for each was nearly all that a round did. Null outside a round. */
    private var open: List<Machine>? = null
    private var openCards: List<Machine> = emptyList()
    private fun among(spec: JobSpec): Collection<Machine> = open?.takeIf { spec.amount.cores > 0 }?.let { if (spec.amount.cards > 0) openCards else it } ?: machines.byName.values

    private val hosts = (settings.peers.map { it.host } + settings.host).sorted()
    private val me = hosts.indexOf(settings.host)

    /** Owners see the same free room and would all choose it, and the worker refuses all but one. So each has its turn at
     * a machine: first the one whose task left the room, then the others in an order of the machine's own. */
    private fun turn(m: Machine): Int = if (m.freedBy == null) 0 else Math.floorMod(m.name.hashCode() - me, hosts.size) + if (m.freedBy == Machine.NOBODY) 0 else 1

    private fun wants(d: Demand, m: Machine) =
        (d.types.isEmpty() || m.type in d.types) && (d.zones.isEmpty() || m.zone in d.zones) && (!m.spot || d.spot)

    /** A waiter that fits nowhere, of this owner's or of another's. */
    private class Need(val amount: Amount, val priority: Int, val queue: Int, val name: String, val fits: (Machine) -> Boolean, val score: (Machine, micatally.wire.Flavor, Amount) -> Double)

    private fun Need(spec: JobSpec, rule: Placement.ZoneRule, queue: Int, name: String) = Need(
        spec.amount, spec.priority.ordinal, queue, name, { m -> Placement.kindAllowed(spec, m) && rule.allows(m.zone) },
        { m, f, free -> Placement.score(spec, m, f, free) + Placement.zoneScore(spec, rule.used[m.zone] ?: 0) },
    )

    /** The design's stop: an array task past its queue's bound may be stopped once for a waiter two queues higher that
     * fits nowhere. Of the machines where that helps, the one is taken that the waiter would like best. True if there
     * is room under way now. */
    private fun makeRoom(need: Need, now: Long): Boolean {
        var best: List<Attempt> = emptyList()
        var bestScore = Double.MAX_VALUE
        for (m in machines.byName.values) {
            if (!usable(m, now) || !need.fits(m)) continue
            val f = machines.flavors[m.type] ?: continue
            var free = f.amount - m.used - (promised[m.name] ?: Amount.NONE)
            // Room that is on its way already.
            for (a in m.attempts) if (a.stop != null) free = free + (a.job.spec?.amount ?: Amount.NONE)
            if (need.amount.fitsIn(free)) { promised.merge(m.name, need.amount, Amount::plus); return true }
            val victims = ArrayList<Attempt>()
            val stoppable = m.attempts.filter { a ->
                val s = a.job.spec
                s != null && !s.isService && !s.isGang && a.stop == null && a.state == AttemptState.RUNNING && a.lap !in a.job.stoppedOnce && s.priority.ordinal > need.priority
            }
            for (a in stoppable.sortedByDescending { it.runningSince ?: 0L }) {
                val s = a.job.spec!!
                val ran = (now - (a.runningSince ?: now)) / 1000.0
                if (!queues.pastBound(a.inherited, ran) || queues.of(a.inherited + ran) < need.queue + 2) continue
                // A task that never saves loses all it did: beyond what a new machine takes to boot that is not worth it.
                if (s.checkpointS <= 0 && ran > f.readyS) continue
                victims.add(a)
                free = free + s.amount
                if (need.amount.fitsIn(free)) break
            }
            if (!need.amount.fitsIn(free) || victims.isEmpty()) continue
            val score = need.score(m, f, free) + victims.size
            if (score < bestScore) { best = victims; bestScore = score }
        }
        val m = best.firstOrNull()?.machine ?: return false
        for (a in best) {
            a.job.stoppedOnce.add(a.lap)
            a.stop(StopReason.PREEMPTED, now)
            log.info("task {} stopped for {}", a, need.name)
        }
        promised.merge(m.name, need.amount, Amount::plus)
        orders.poke(m)
        return true
    }

    /** Another owner's service still waits though that owner has stopped what it could: now it is this one's turn. The
     * turns go round, so that not all make room for the same waiter. */
    private fun makeRoomForPeers(now: Long) {
        val turnMs = settings.reportMs * 2
        if ((now / turnMs % hosts.size).toInt() != me) return
        for (d in foreignServices) {
            val key = "${d.image}/${d.cards}/${d.cores}"
            if (now - (stoppedForPeersAt[key] ?: Long.MIN_VALUE / 2) < turnMs * hosts.size) continue
            stoppedForPeersAt[key] = now
            val amount = Amount(d.cores, d.cards, d.ram)
            val need = Need(amount, d.priority, 0, "a peer's ${d.image}", { m -> wants(d, m) }, { m, f, free -> (if (d.image in m.images) 0.0 else 30.0) + (free - amount).cards / maxOf(1.0, f.amount.cards) })
            for (i in 0 until minOf(d.count, STOPS_A_ROUND)) if (!makeRoom(need, now)) break
        }
    }

    /** Machines that are being emptied: replicas move to rooms that have their image, a few at a time, so that each is
     * away for a blink only. Whatever ends by itself is left to do so. */
    fun moveOff(now: Long) {
        moved.entries.removeIf { (task, to) -> !to.promised(task.first, task.second) }
        val draining = machines.byName.values.filter { it.draining && !it.deleted && !it.recalled && it.attempts.isNotEmpty() }
        if (draining.isEmpty() || unplaced.isNotEmpty() || checking) return
        val most = maxOf(1, draining.size / MACHINES_A_MOVE)
        moving.removeIf { !it.a.live || it.a.stop != null || !it.to.promised(it.a.job.ref, it.a.lap) }
        // The peers have heard of a promise after a while; whoever was faster has the room.
        val due = moving.filter { now - it.at >= settings.reportMs / 2 }
        if (due.isNotEmpty()) {
            moving.removeAll(due.toSet())
            checking = true
            scope.launch {
                val ok = try { withTimeoutOrNull(settings.reportMs / 4) { stateAnswers() } ?: false } finally { checking = false }
                for (move in due) carryOut(move, ok)
            }
        }
        var under = moving.size + due.size + machines.byName.values.sumOf { m -> m.attempts.count { it.stop == StopReason.DRAIN } }
        for (m in draining) for (a in m.attempts) {
            if (under >= most) return
            val spec = a.job.spec ?: continue
            if (!spec.isService || spec.isPlacedWhole || a.stop != null || a.state != AttemptState.RUNNING || a.job.pendingCount > 0) continue
            // One replica of a job at a time: its zones are counted with the others where they are.
            if (moving.any { it.a.job === a.job } || due.any { it.a.job === a.job } || a.job.attempts.values.any { it.stop != null }) continue
            // It is gone before it starts elsewhere, so its own place does not count against its zone.
            val to = Choice(a.job, spec, now, null, true, a).next() ?: continue
            to.promise(a.job.ref, a.lap, spec.amount, now + settings.leaseMs)
            moving.add(Move(a, to, now))
            under++
        }
    }

    /** A stopped replica starts again only when its intent is written, so the state service has to have answered just now:
     * one that was stopped as an outage began was away for all of it. */
    private fun carryOut(move: Move, stateAnswered: Boolean) {
        val now = nowMs()
        val ref = move.a.job.ref
        val total = machines.total(move.to)
        val ready = move.a.live && move.a.stop == null && move.a.job.pendingCount == 0 && move.to.promised(ref, move.a.lap)
        if (!stateAnswered || !ready || total == null || !usable(move.to, now) || !move.to.used.fitsIn(total)) { move.to.release(ref, move.a.lap); return }
        move.a.stop(StopReason.DRAIN, now)
        moved[ref to move.a.lap] = move.to
        log.info("task {} moves to {}", move.a, move.to.name)
        orders.poke(move.a.machine)
    }

    /** Whether the state service answers now, and no write of this node waits. */
    var stateAnswers: suspend () -> Boolean = { true }
    private var checking = false

    private class Move(val a: Attempt, val to: Machine, val at: Long)
    private val moving = ArrayList<Move>()
    private val moved = HashMap<Pair<String, Int>, Machine>()

    private companion object {
        /** How many tasks of a job may be on machines at once: keeps its record within the state service's value limit. */
        const val MAX_ATTEMPTS = 400
        const val ROUND_TASKS = 100
        /** A second of fetching counts so much more for a gang, which starts with its slowest machine. */
        const val GANG_FETCH_WEIGHT = 10
        /** Rates differ by a third, and images fetched at the same time share them. */
        const val FETCH_MARGIN = 2
        /** So many boots long machines for a gang that must be in one zone are looked for in the same one. */
        const val BOOTS_A_ZONE = 4
        const val STOPS_A_ROUND = 8
        const val FEW_FAULTS = 6
        /** For so many machines that are being emptied one replica may be on its way. */
        const val MACHINES_A_MOVE = 2
        /** How much longer the pause after a round is than the round. */
        const val REST = 3
        /** So many tasks left put a job behind one that came a lease later. */
        const val TASKS_A_LEASE = 8
        /** What a later turn counts against a machine, for services, which don't wait for theirs. */
        const val TURN_WEIGHT = 0.5
    }
}
