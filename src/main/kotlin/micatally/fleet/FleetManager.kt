package micatally.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.job.RecordPacking
import micatally.ledger.Cluster
import micatally.ledger.Keys
import micatally.ledger.Membership
import micatally.settings.Operator
import micatally.settings.Settings
import micatally.state.Condition
import micatally.state.Delete
import micatally.state.Put
import micatally.state.ReadResult
import micatally.state.StateClient
import micatally.state.Txn
import micatally.state.TxnResult
import micatally.state.Urgency
import micatally.wire.Amount
import micatally.wire.Demand
import micatally.wire.EMPTY_OBJECT
import micatally.wire.Flavor
import micatally.wire.ListedMachine
import micatally.wire.Report
import micatally.wire.WireError
import micatally.wire.asText
import micatally.wire.flag
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.parseObject
import micatally.wire.text
import micatally.wire.textOrNull
import micatally.worker.Machine
import micatally.worker.Machines
import org.slf4j.LoggerFactory

/** Whoever holds the fleet key rents, drains and returns machines for all owners. */
class FleetManager(
    private val scope: CoroutineScope, private val http: HttpCaller, private val settings: Settings, private val state: StateClient, private val cloud: CloudClient,
    private val membership: Membership, private val machines: Machines, private val demand: () -> List<Demand>, private val recent: () -> List<Demand>, private val silentZones: () -> Set<String>,
    private val operator: Operator, private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val cluster: Cluster = membership.cluster

    private var term = 0L
    private var bookings = 0
    private var since = 0L
    private val rentals = Rentals { machines.bootMs(it) }

    /** Bookings that the cloud has answered and whose machines it may not list yet, by the booking's name. */
    private class Unlisted(val machines: List<String>, val sinceMs: Long)

    private val unlisted = HashMap<String, Unlisted>()

    /** Whether this term has read the list of machines: before that nobody knows what is on its way. */
    private var hasListed = false

    /** When there was demand last. */
    private var neededAt = Long.MIN_VALUE / 2
    private val refusedUntil = HashMap<Offer, Long>()
    private val refusals = HashMap<Offer, Int>()
    private val wantedGone = LinkedHashSet<String>()
    private val deleting = HashSet<String>()
    /** EMPTYING: no new tasks, the owners move what they can. EMPTY: nothing on it; deleted once all know of the drain. */
    private enum class DrainState { EMPTYING, EMPTY }
    private class Drain(val since: Long, var state: DrainState, var stateSince: Long)

    private val drains = HashMap<String, Drain>()
    private val keptUntil = HashMap<String, Long>()
    private val renting = HashSet<String>()
    private val unknownStates = HashSet<String>()
    private val goneAt = HashMap<String, Long>()
    var onFlavors: () -> Unit = {}

    val isLeader get() = term > 0 && cluster.mark(Keys.FLEET) == term

    fun retire(names: List<String>) { wantedGone.addAll(names) }

    fun start() {
        scope.launch { flavorLoop() }
        scope.launch { termLoop() }
        scope.launch { listLoop() }
        scope.launch { while (true) { delay(settings.reportMs / 4); if (isLeader) step() } }
    }

    private suspend fun flavorLoop() {
        var known: String? = null
        while (true) {
            if (machines.flavors.isEmpty()) {
                val kept = state.get(Keys.FLAVORS, Urgency.ACCEPTANCE)
                if (kept is ReadResult.Found) { known = kept.item.value.toString(); take(kept.item.value) }
            }
            if (machines.flavors.isEmpty() || isLeader) {
                val fresh = cloud.flavors()
                if (fresh != null) {
                    take(fresh)
                    val text = fresh.toString()
                    // Kept for nodes that start while the cloud can't be asked.
                    if (text != known && RecordPacking.size(fresh) <= settings.valueBytes) if (state.txn(1, Urgency.SUMMARY) { Txn(emptyList(), listOf(Put(Keys.FLAVORS, fresh))) } is TxnResult.Applied) known = text
                }
            }
            delay(if (machines.flavors.isEmpty()) settings.leaseMs / 20 else settings.leaseMs * 3)
        }
    }

    private fun take(o: kotlinx.serialization.json.JsonObject) {
        val list = try { Flavor.parseAll(o) } catch (e: WireError) { log.error("machine types: {}", e.message); return }
        val first = machines.flavors.isEmpty()
        machines.flavors = list.associateBy { it.label }
        if (first) onFlavors()
    }

    private suspend fun termLoop() {
        while (true) {
            delay(settings.liveMs / 16)
            val lease = membership.lease
            if (lease == null || isLeader || cluster.revision < 0) continue
            // The answer that gave it the key was lost: nobody else can take it while this node lives.
            val mine = cluster.value(Keys.FLEET)?.textOrNull("process") == membership.process
            if (mine) { begin(cluster.mark(Keys.FLEET)); continue }
            if (cluster.has(Keys.FLEET)) continue
            val r = state.txn(1, Urgency.SUMMARY) {
                Txn(listOf(Condition(Keys.FLEET, 0), Condition(Keys.live(settings.host), cluster.mark(Keys.live(settings.host)))),
                    listOf(Put(Keys.FLEET, buildJsonObject { put("host", settings.host); put("process", membership.process) }, lease)))
            }
            if (r !is TxnResult.Applied) { delay(settings.liveMs / 16); continue }
            membership.refresh()
            begin(r.revision)
        }
    }

    private fun begin(mark: Long) {
        term = mark
        bookings = 0
        since = nowMs()
        rentals.clear()
        unlisted.clear()
        hasListed = false
        neededAt = nowMs()
        drains.clear()
        for (i in cluster.under(Keys.DRAIN)) drains[i.key.removePrefix(Keys.DRAIN)] = Drain(nowMs(), DrainState.EMPTYING, nowMs())
        log.info("fleet key held, term {}", term)
        for (i in cluster.under(Keys.RENT)) resume(Booking.parse(i.key.removePrefix(Keys.RENT), i.value))
    }

    /** What the former fleet manager had decided is finished under its names: repeating a booking rents nothing twice. Machines of
     * answered ones may not be listed yet, and would be rented again if they were not counted. */
    private fun resume(booking: Booking) {
        if (booking.machines.isEmpty()) {
            carryOut(booking)
            return
        }
        rentals.rented(booking.machines.filter { it !in machines.deletedNames }, booking.offer, nowMs())
        unlisted[booking.name] = Unlisted(booking.machines, nowMs())
    }

    private fun carryOut(booking: Booking) {
        renting.add(booking.name)
        scope.launch { try { book(booking) } finally { renting.remove(booking.name) } }
    }

    private suspend fun listLoop() {
        while (true) {
            // A new term waits for its first list only as long as the cloud takes.
            delay(if (isLeader && !hasListed) settings.leaseMs / 20 else maxOf(settings.listLagMs / 2, (3000 / settings.cloudRps).toLong()))
            if (!isLeader) continue
            val termOfList = term
            val list = cloud.list() ?: continue
            if (term != termOfList) continue
            for (line in list) takeLine(line, nowMs())
            hasListed = true
            dropListedBookings(list)
        }
    }

    private fun takeLine(line: ListedMachine, now: Long) {
        if (cluster.has(Keys.GONE + line.name) || line.name in machines.deletedNames) return
        when (line.status) {
            ListedMachine.FAILED -> wantedGone.add(line.name)
            ListedMachine.STARTING, ListedMachine.RUNNING -> {
                rentals.listed(line, now)
                if (line.status == ListedMachine.RUNNING) machines.known(line.name, line.addr, line.type, line.zone, line.spot)
            }
            else -> if (unknownStates.add(line.status)) log.warn("machine {} is listed in an unknown state: {}", line.name, line.status)
        }
    }

    /** The note of a booking may go when every list shows all its machines, or they have come and gone: until then it is the
     * only trace of them for another fleet manager. A list may be twice as late as stated. */
    private fun dropListedBookings(list: List<ListedMachine>) {
        val listed = list.mapTo(HashSet()) { it.name }
        val oldEnough = nowMs() - settings.listLagMs * LONGEST_LAG
        val done = unlisted.filterValues { u -> u.sinceMs < oldEnough && u.machines.all { it in listed || it in machines.deletedNames } }.keys.toList()
        for (name in done) {
            unlisted.remove(name)
            scope.launch { state.txn(1, Urgency.SUMMARY) { Txn(emptyList(), listOf(Delete(Keys.RENT + name))) } }
        }
    }

    private suspend fun step() {
        val now = nowMs()
        if (!membership.leaseHolds() || membership.viewAgeMs > settings.leaseMs / 2) return
        for (m in machines.byName.values) {
            if (m.deleted || m.session == 0L) continue
            rentals.reports(m.name, Offer(m.type, m.zone, m.spot), m.firstHeardAt)
        }
        rentals.removeAll(machines.deletedNames)
        rentals.observe(now)
        findDead(now)
        findIdle(now)
        sendDeletes()
        rent(now)
    }

    /** Machines that nobody hears any more, and those that never came up. Deleting one is the proof that its tasks are
     * gone; while a whole zone is silent, a cut is likelier than so many ends, and waiting costs less. */
    private fun findDead(now: Long) {
        // While a node can't be heard, its workers may be looking for another, or it may hear them and can't say so.
        val alone = silentZones()
        if (alone.isNotEmpty()) contactLostAt = now
        val silentMs = if (now - contactLostAt < settings.leaseMs * 3 / 2) settings.leaseMs * 5 / 2 else settings.leaseMs
        val heard = HashMap<String, Int>()
        val quiet = HashMap<String, Int>()
        val hungMs = settings.leaseMs * 2
        val silent = HashMap<String, ArrayList<Machine>>()
        for (m in machines.byName.values) {
            val rental = rentals.of(m.name)
            if (m.deleted || rental != null && !rental.isUp) continue
            val silence = now - maxOf(m.heardAt, since, rental?.rentedAtMs ?: 0L)
            if (silence > probeAfterMs) { probe(m, now); quiet.merge(m.zone, 1, Int::plus) } else heard.merge(m.zone, 1, Int::plus)
            // A machine that takes connections and says nothing hangs and may go on soon: its tasks are lost by then, but
            // not its images, and those take longer to fetch than the wait.
            if (silence > if (now - m.connectedAt < settings.leaseMs / 2) maxOf(silentMs, hungMs) else silentMs) silent.getOrPut(m.zone) { ArrayList() }.add(m)
        }
        // Nothing answers on it, not even its system, while the rest of its zone is heard and reached from here: it has no power.
        // When two zones lose each other, the other one's machines look just the same, but none of them is reached. Waiting for its lease to end would only keep its replicas away for longer.
        val dark = machines.byName.values.filter { it.dark > 0 && !it.deleted }
        // With few workers here nothing may have come for a while: one that is heard is asked, to see whether this node reaches any.
        for (zone in dark.mapTo(HashSet()) { it.zone }) if (now - machines.reachedAt(zone) > settings.reportMs / 2) {
            machines.byName.values.firstOrNull { it.zone == zone && !it.deleted && it.dark == 0 && now - it.heardAt < probeAfterMs }?.let { probe(it, now) }
        }
        for (m in dark) {
            if (m.dark >= DARK && now - machines.reachedAt(m.zone) < settings.reportMs && now - m.heardAt > probeAfterMs && (quiet[m.zone] ?: 0) <= (heard[m.zone] ?: 0)) { log.info("machine {} has no power", m.name); wantedGone.add(m.name) }
        }
        for ((zone, list) in silent) {
            // Few machines tell little, but when the zone's controller is silent with them, that is a cut too.
            val cut = list.size >= (heard[zone] ?: 0) && (list.size >= 3 || zone in alone)
            for (m in list) if (!cut || now - maxOf(m.heardAt, since) > settings.authorityMs + settings.leaseMs * 2) wantedGone.add(m.name)
        }
        if (!hasListed) return
        for (rental in rentals.givenUp(now, now - neededAt < settings.leaseMs)) {
            log.info("machine {} has not come up in {} ms", rental.name, rental.ageMs(now))
            wantedGone.add(rental.name)
        }
    }

    /** Asks a silent machine itself. What it answers counts as heard. */
    private fun probe(m: Machine, now: Long) {
        if (m.addr.isEmpty() || probing.size >= settings.maxSockets / 8 || now - m.probedAt < probeMs || !probing.add(m.name)) return
        m.probedAt = now
        scope.launch {
            try {
                when (val out = http.call(m.addr, "GET", "/show", null, probeMs)) {
                    is Outcome.Answer -> if (out.status == 200) { m.mute = 0; m.dark = 0; machines.absorb(Report.parse(parseObject(out.body)), false) }
                    // The first one may have gone into a connection from before; the second has made one.
                    Outcome.Silence -> { m.dark = 0; if (++m.mute >= 2) m.connectedAt = nowMs() }
                    // A refusal comes at once; a connection that hangs takes the whole time.
                    Outcome.NotSent -> { m.mute = 0; if (nowMs() - now >= probeMs * 9 / 10) m.dark++ else m.dark = 0 }
                }
            } catch (e: WireError) {
                log.info("machine {} answers what is no report: {}", m.name, e.message)
            } finally { probing.remove(m.name) }
        }
    }

    private fun empty(m: Machine): Boolean {
        val u = m.used
        return m.tasks.all { it.ended } && m.attempts.isEmpty() && u.cores < 1e-6 && u.cards < 1e-6 && u.ram < 1e-6
    }

    private fun drainOf(name: String) = Put(Keys.DRAIN + name, buildJsonObject { put("by", settings.host) })

    private fun drain(m: Machine, now: Long, to: DrainState, why: String) {
        drains[m.name] = Drain(now, to, now)
        log.info("machine {} drained: {}", m.name, why)
        scope.launch { state.txn(1, Urgency.SUMMARY) { Txn(emptyList(), listOf(drainOf(m.name))) } }
    }

    /** A drain or its end may have got no answer, and may be carried out late or never: what the key says is brought to what
     * was decided last. A machine that is drained by mistake gets no work though jobs wait for it. */
    private fun reconcileDrains(now: Long) {
        if (now - drainsLookedAt < settings.leaseMs / 4) return
        drainsLookedAt = now
        val listed = cluster.under(Keys.DRAIN)
        val names = listed.mapTo(HashSet()) { it.key.removePrefix(Keys.DRAIN) }
        val off = listed.filter { it.key.removePrefix(Keys.DRAIN) !in drains }
        val missing = drains.filterKeys { it !in names }.keys
        for (i in off) if (i.key in drainsOff) scope.launch { state.txn(1, Urgency.SUMMARY) { Txn(listOf(Condition(i.key, i.mark)), listOf(Delete(i.key))) } }
        for (n in missing) if (Keys.DRAIN + n in drainsOff) scope.launch {
            state.txn(1, Urgency.SUMMARY) { if (n !in drains) null else Txn(listOf(Condition(Keys.DRAIN + n, 0)), listOf(drainOf(n))) }
        }
        // Only what was off at the last look too: the usual write is under way.
        drainsOff = off.mapTo(HashSet()) { it.key }.also { set -> missing.mapTo(set) { Keys.DRAIN + it } }
    }

    private fun keep(name: String, now: Long, why: String) {
        drains.remove(name)
        keptUntil[name] = now + machines.bootMs(machines.of(name)?.type) * 2
        log.info("machine {} kept: {}", name, why)
        scope.launch { state.txn(1, Urgency.SUMMARY) { Txn(emptyList(), listOf(Delete(Keys.DRAIN + name))) } }
    }

    /** Returns machines that stand idle, and empties those whose tasks others have room for. */
    private fun findIdle(now: Long) {
        val demands = demand()
        for (m in machines.byName.values) {
            if (m.deleted || m.session == 0L) continue
            val d = drains[m.name]
            if (!empty(m)) {
                m.busyAt = now
                if (d == null || m.recalled) continue
                if (d.state == DrainState.EMPTY) { d.state = DrainState.EMPTYING; d.stateSince = now }
                val wanted = demands.any { x -> allowedOn(x, m) }
                if (wanted) keep(m.name, now, "there is demand for it") else if (now - d.since > machines.bootMs(m.type) * 4) keep(m.name, now, "it does not empty")
                continue
            }
            if (d != null) {
                if (d.state == DrainState.EMPTYING) { d.state = DrainState.EMPTY; d.stateSince = now }
                if (now - d.stateSince > settings.reportMs + settings.leaseMs / 10 && cluster.has(Keys.DRAIN + m.name)) wantedGone.add(m.name)
                continue
            }
            val idleMs = if (m.recalled) 0L else (machines.bootMs(m.type) * operator.fleetIdleBoots).toLong()
            if (now - maxOf(m.busyAt, since) > idleMs) drain(m, now, DrainState.EMPTY, "idle")
        }
        drains.keys.removeIf { it in machines.deletedNames }
        reconcileDrains(now)
        if (demands.isEmpty() && now - since > settings.leaseMs * 2 && now - lastEmptying > machines.bootMs(null) / 6) { lastEmptying = now; emptySome(now) }
    }

    private val probing = HashSet<String>()
    private val probeAfterMs = maxOf(settings.reportMs * 2, settings.leaseMs / 4)
    private val probeMs = settings.leaseMs / 16
    private var lastEmptying = 0L
    private var drainsLookedAt = 0L
    private var drainsOff: Set<String> = emptySet()
    private var contactLostAt = Long.MIN_VALUE / 2

    private fun allowedOn(d: Demand, m: Machine) = (d.types.isEmpty() || m.type in d.types) && (d.zones.isEmpty() || m.zone in d.zones) && (!m.spot || d.spot)

    /** The machines with the least on them, dearest types first, as long as the others have room for that and some more
     * besides: the headroom, a share of what is used, never less than a machine, nor than the services that came lately:
     * as many may come while a machine boots. What is on its way off emptying
     * machines has its room counted already. Tasks without cards may go to any type, but stay in their zone. */
    private fun emptySome(now: Long) {
        val up = machines.byName.values.filter { !it.deleted && !it.recalled && it.session > 0 && it.name !in drains && now - it.heardAt < settings.leaseMs / 2 }
        var emptying = drains.count { (name, d) -> d.state == DrainState.EMPTYING && machines.of(name)?.deleted == false }
        val most = maxOf(EMPTYING_AT_ONCE, (up.size * EMPTYING_SHARE).toInt())
        if (emptying >= most) return
        val leaving = drains.filterValues { it.state == DrainState.EMPTYING }.keys.mapNotNull { machines.of(it) }.filter { !it.deleted }
        val gone = HashSet<Machine>()
        val lately = recent()
        for (f in machines.flavors.values.sortedByDescending { it.hourly }) {
            fun share(a: Amount) = maxOf(if (f.amount.cards > 0) a.cards / f.amount.cards else 0.0, a.cores / f.amount.cores)
            val candidates = up.filter { it.type == f.label && (keptUntil[it.name] ?: 0L) < now && now - (rentals.of(it.name)?.rentedAtMs ?: 0L) > MIN_CHARGE_MS }
                .sortedWith(compareBy({ it.used.cards }, { share(it.used) }, { it.name }))
            val next = lately.filter { (it.types.isEmpty() || f.label in it.types) && (it.cards > 0) == (f.amount.cards > 0) }
            val nextCards = next.sumOf { it.cards * it.count }
            val nextCores = next.sumOf { it.cores * it.count }
            for (m in candidates) {
                if (emptying >= most) return
                val mine = m.used
                if (share(mine) > MOSTLY_FREE) break
                val plain = mine.cards <= 0.0 && f.amount.cards > 0
                fun takes(x: Machine) = if (plain) x.zone == m.zone else x.type == m.type
                var free = Amount.NONE
                var used = Amount.NONE
                for (x in up) {
                    if (x === m || x in gone || !takes(x)) continue
                    free = free + ((machines.total(x) ?: continue) - x.used)
                    used = used + x.used
                }
                for (x in leaving) if (if (plain) x.zone == m.zone else x.type == m.type) free = free - x.used
                for (x in gone) if (takes(x)) free = free - x.used
                val spare = if (plain) used.cores * operator.fleetHeadroom else maxOf(f.amount.cores, used.cores * operator.fleetHeadroom, nextCores)
                val spareCards = if (plain) 0.0 else maxOf(f.amount.cards, used.cards * operator.fleetHeadroom, nextCards)
                if (free.cores < mine.cores + spare || free.cards < mine.cards + spareCards) break
                drain(m, now, DrainState.EMPTYING, "%.2f used, %.0f cores and %.0f cards free elsewhere".format(share(mine), free.cores, free.cards))
                gone.add(m)
                emptying++
            }
        }
    }

    private fun sendDeletes() {
        val names = wantedGone.filter { it !in deleting && !cluster.has(Keys.GONE + it) }.take(50)
        wantedGone.clear()
        if (names.isEmpty()) return
        deleting.addAll(names)
        scope.launch {
            try {
                if (!cloud.delete(names)) return@launch
                log.info("machines deleted: {}", names)
                goneAt.putAll(names.associateWith { nowMs() })
                for (part in names.chunked(maxOf(1, settings.txnOps / 2))) {
                    while (true) {
                        val r = state.txn(part.size, Urgency.INTENT) {
                            Txn(emptyList(), part.flatMap { n -> listOfNotNull(Put(Keys.GONE + n, EMPTY_OBJECT), if (cluster.has(Keys.DRAIN + n)) Delete(Keys.DRAIN + n) else null) })
                        }
                        if (r is TxnResult.Applied) break
                        delay(settings.leaseMs / 20)
                    }
                }
            } finally { deleting.removeAll(names.toSet()) }
        }
    }

    private fun rent(now: Long) {
        val demands = demand()
        if (demands.isNotEmpty()) neededAt = now
        if (demands.isEmpty() || !hasListed || machines.flavors.isEmpty() || renting.isNotEmpty()) return
        val owned = HashMap<String, Int>()
        for (rental in rentals.all) owned.merge("${rental.offer.type}/${rental.offer.zone}", 1, Int::plus)
        val coming = rentals.coming(now).mapNotNullTo(ArrayList()) { rental ->
            machines.flavors[rental.offer.type]?.let { RentPlan.Room(rental.offer.type, rental.offer.zone, rental.offer.spot, it.amount) }
        }
        val market = Market({ (refusedUntil[it] ?: 0L) > now }, { rentals.bootTimes.slowness(it) })
        val plan = RentPlan.plan(demands, coming, machines.flavors.values, market, owned, MOST_AT_ONCE)
        for ((offer, count) in plan) for (part in 0 until count step MOST_A_BOOKING) {
            decide(Booking("b$term-${++bookings}", offer, minOf(MOST_A_BOOKING, count - part)))
        }
    }

    /** A booking is stored before the cloud hears of it, so that its name is used for nothing else. */
    private fun decide(booking: Booking) {
        renting.add(booking.name)
        scope.launch {
            try {
                val stored = state.txn(1, Urgency.INTENT) {
                    Txn(listOf(Condition(Keys.FLEET, term)), listOf(Put(Keys.RENT + booking.name, booking.toJson())))
                }
                if (stored is TxnResult.Applied) book(booking)
            } finally { renting.remove(booking.name) }
        }
    }

    private suspend fun book(booking: Booking) {
        val offer = booking.offer
        val at = nowMs()
        var isUnclear = false
        while (true) {
            when (val r = cloud.rent(booking.name, offer.type, offer.zone, offer.spot, booking.count)) {
                is RentResult.Rented -> {
                    log.info("rented {} of {} {} in {} spot={}: {}", r.names.size, booking.count, offer.type, offer.zone, offer.spot, r.names)
                    rentals.rented(r.names.filter { it !in machines.deletedNames }, offer, at)
                    if (r.names.size < booking.count) refuse(offer) else refusals.remove(offer)
                    if (r.names.isNotEmpty()) {
                        keepUntilListed(booking.answered(r.names))
                        return
                    }
                    break
                }
                RentResult.NoCapacity -> {
                    log.info("no capacity for {} in {} spot={}", offer.type, offer.zone, offer.spot)
                    refuse(offer)
                    break
                }
                RentResult.Refused -> if (!isUnclear) {
                    refusedUntil[offer] = nowMs() + settings.leaseMs / 5
                    break
                }
                RentResult.Unknown -> isUnclear = true
            }
            if (!isLeader) return
            delay(settings.leaseMs / 10)
        }
        state.txn(1, Urgency.SUMMARY) { Txn(emptyList(), listOf(Delete(Keys.RENT + booking.name))) }
    }

    /** On condition that the note is there: it may have been dropped meanwhile, by the next fleet manager. */
    private suspend fun keepUntilListed(booking: Booking) {
        unlisted[booking.name] = Unlisted(booking.machines, nowMs())
        val key = Keys.RENT + booking.name
        state.txn(1, Urgency.SUMMARY) {
            if (!cluster.has(key) || booking.name !in unlisted) null else Txn(listOf(Condition(key, cluster.mark(key))), listOf(Put(key, booking.toJson())))
        }
    }

    private fun refuse(o: Offer) {
        val n = refusals.merge(o, 1, Int::plus)!!
        refusedUntil[o] = nowMs() + minOf(n, 6) * machines.bootMs(o.type) / 6
    }

    /** Old proofs are dropped; a machine whose proof is missed is simply deleted again. */
    suspend fun prune() {
        val old = goneAt.filterValues { nowMs() - it > settings.leaseMs * 60 }.keys.take(settings.txnOps / 2)
        if (old.isEmpty() || !isLeader) return
        if (state.txn(old.size, Urgency.SUMMARY) { Txn(emptyList(), old.map { Delete(Keys.GONE + it) }) } is TxnResult.Applied) goneAt.keys.removeAll(old.toSet())
    }

    private companion object {
        /** The protocol charges a machine for so long at least. */
        const val MIN_CHARGE_MS = 60_000L
        /** Connections in a row that have to hang. */
        const val DARK = 3
        /** Machines being emptied at once: at least so many, or a share of those that are up. */
        const val EMPTYING_AT_ONCE = 2
        const val EMPTYING_SHARE = 0.25
        /** A machine used beyond this is not worth emptying. */
        const val MOSTLY_FREE = 0.8
        const val MOST_AT_ONCE = 100
        /** The protocol: the list lags by up to twice what the settings say. */
        const val LONGEST_LAG = 2
        /** The protocol's limit for one request. */
        const val MOST_A_BOOKING = 50
    }
}
