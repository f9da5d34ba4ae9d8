package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.WorkerEmulator

/**
 * Faults of processes, machines, networks and the state store at random, each of which ends by itself. The order of the
 * draws, and of the faults in the list, decides what a seed plays.
 */
class RandomFaults(
    private val fleet: SimFleet,
) {
    private val random = fleet.random
    private val net = fleet.net
    private val cloud = fleet.cloud
    private val state = fleet.state
    private val stateFaults = fleet.stateFaults

    /** The faults, each with the node that it may hit. */
    private val faults: List<(Int) -> Unit> =
        listOf(
            { crash(it) },
            { restartQuickly(it) },
            { crashAll() },
            { stateOutage() },
            { refuseNode(it) },
            { cloudOutage() },
            { hangMachine() },
            { takeSpotInstances() },
            { deafenMachine() },
            { cutNode(it, null) },
            { cutNode(it, "state") },
            { cutZone() },
            { makeMachineFaulty() },
            { slowStateStore() },
            { peersRefuse() },
            { freeze(it) },
            { loseZone() },
            { cutZoneForLong() },
            { lateWrites() },
            { lostAnswers() },
            { lateHeartbeats() },
            { deliverOldHeartbeats(it) },
            { muteMachines() },
            { holdCommands() },
            { cutFromStateAndPeers(it) },
            { refuseNodeThenOutage(it) },
            { changeLeaders() },
            { crashAllAndReturn(it) },
            { hangMachines() },
            { bootAtOnce() },
        )

    /** Brings about one fault. */
    fun inject() {
        val node = random.nextInt(fleet.nodes)
        faults[random.nextInt(faults.size)](node)
    }

    private fun note(event: String) = fleet.note(event)

    /** Runs [end] after a random time from [from] to [until] milliseconds, drawn when the coroutine starts. */
    private fun later(
        from: Long,
        until: Long,
        end: suspend () -> Unit,
    ) = fleet.scope.launch {
        delay(random.nextLong(from, until))
        end()
    }

    private fun after(
        delayMs: Long,
        end: () -> Unit,
    ) = fleet.scope.launch {
        delay(delayMs)
        end()
    }

    // Processes

    private fun crash(node: Int) {
        note("crash $node")
        fleet.crash(node)
        later(4000, 8000) { fleet.startNode(node) }
    }

    private fun restartQuickly(node: Int) {
        note("quick restart $node")
        fleet.crash(node)
        later(100, 600) { fleet.startNode(node) }
    }

    private fun crashAll() {
        note("crash all")
        for (node in 0 until fleet.nodes) {
            fleet.crash(node)
            later(4000, 7000) { fleet.startNode(node) }
        }
    }

    private fun freeze(node: Int) {
        note("freeze $node")
        fleet.freeze(node)
        val frozen = fleet.live[node]
        later(3000, 28_000) { if (fleet.live[node] === frozen) fleet.unfreeze(node) }
    }

    private fun changeLeaders() {
        note("leaders change")
        fleet.scope.launch {
            repeat(5) {
                val node = random.nextInt(fleet.nodes)
                fleet.crash(node)
                delay(random.nextLong(50, 6000))
                fleet.startNode(node)
                delay(random.nextLong(200, 6000))
            }
        }
    }

    private fun crashAllAndReturn(node: Int) {
        note("all end, $node returns")
        for (each in 0 until fleet.nodes) fleet.crash(each)
        later(100, 1000) {
            fleet.startNode(node)
            delay(random.nextLong(2000, 14_000))
            for (each in 0 until fleet.nodes) fleet.startNode(each)
        }
    }

    // The state store

    private fun stateOutage() {
        note("state outage")
        state.down = true
        later(3000, 15_000) { state.down = false }
    }

    private fun refuseNode(node: Int) {
        note("state refuses $node")
        stateFaults.refusedHosts.add("n$node")
        later(5000, 40_000) { stateFaults.refusedHosts.remove("n$node") }
    }

    private fun refuseNodeThenOutage(node: Int) {
        note("$node refused, then an outage")
        stateFaults.refusedHosts.add("n$node")
        later(500, 12_000) {
            state.down = true
            delay(random.nextLong(1000, 40_000))
            state.down = false
            stateFaults.refusedHosts.remove("n$node")
        }
    }

    private fun slowStateStore() {
        note("state slow")
        net.slowMs["state"] = random.nextLong(20, 200)
        later(5000, 40_000) { net.slowMs.remove("state") }
    }

    private fun lateWrites() {
        note("late writes")
        stateFaults.lateWrites = 0.15
        later(10_000, 40_000) { stateFaults.lateWrites = 0.0 }
    }

    private fun lostAnswers() {
        note("lost answers")
        stateFaults.lostAnswers = 0.15
        later(10_000, 40_000) { stateFaults.lostAnswers = 0.0 }
    }

    // Networks

    private fun cutNode(
        node: Int,
        other: String?,
    ) {
        val durationMs = random.nextLong(5000, 40_000)
        note("cut n$node from ${other ?: "all"}")
        cut(durationMs) { from, to -> from.name == "n$node" && (other == null || to.name == other) }
    }

    private fun randomZone() = listOf("a", "b", "c").random(random)

    private fun cutZone() {
        val zone = randomZone()
        note("zone $zone cut")
        cut(random.nextLong(5000, 30_000)) { from, to -> from.zone == zone && to.zone != zone }
    }

    private fun cutZoneForLong() {
        val zone = randomZone()
        note("zone $zone cut for long")
        cut(random.nextLong(30_000, 45_000)) { from, to -> from.zone == zone && to.zone != zone }
    }

    private fun cutFromStateAndPeers(node: Int) {
        note("$node cut from state and peers")
        val name = "n$node"
        cut(random.nextLong(10_000, 45_000)) { from, to ->
            val isController = to.name.startsWith("n") && to.name != name
            from.name == name && (to.name == "state" || isController)
        }
    }

    private fun cut(
        durationMs: Long,
        between: (SimNet.Host, SimNet.Host) -> Boolean,
    ) {
        val cut = SimNet.Cut(between, if (random.nextBoolean()) CutMode.HOLD else CutMode.RESET)
        net.cuts.add(cut)
        after(durationMs) {
            net.cuts.remove(cut)
            cut.over.complete(Unit)
        }
    }

    private fun peersRefuse() {
        note("peers refuse")
        net.peersRefuse = true
        later(5000, 40_000) { net.peersRefuse = false }
    }

    private fun lateHeartbeats() {
        note("late reports")
        net.lateCopies = 0.3
        net.lateCopyMs = 2000L..25_000L
        after(30_000) { net.lateCopies = 0.05 }
    }

    private fun deliverOldHeartbeats(node: Int) {
        note("reports kept, $node ends")
        net.keepReports = true
        fleet.scope.launch {
            delay(3000)
            net.keepReports = false
            fleet.crash(node)
            delay(random.nextLong(100, 9000))
            fleet.startNode(node)
            delay(random.nextLong(50, 1500))
            net.deliverKept((0 until fleet.nodes).filter { fleet.live[it] != null }.map { "n$it" })
        }
    }

    // Machines and the cloud

    private fun cloudOutage() {
        note("cloud outage")
        cloud.down = true
        after(20_000) { cloud.down = false }
    }

    private fun bootAtOnce() {
        note("instant boots")
        cloud.bootMs = { random.nextLong(200, 2000) }
        after(40_000) { cloud.bootMs = { (it.readyS * 1000).toLong() } }
    }

    private fun randomMachine(): WorkerEmulator? = cloud.workers.randomOrNull(random)

    private fun hangMachine() {
        val machine = randomMachine() ?: return
        note("hang ${machine.name}")
        machine.hung = true
        later(3000, 30_000) { machine.hung = false }
    }

    private fun hangMachines() {
        note("hung while cancelled")
        for (machine in cloud.workers.shuffled(random).take(3)) {
            machine.hung = true
            later(4000, 20_000) { machine.hung = false }
        }
    }

    private fun makeMachineFaulty() {
        val machine = randomMachine() ?: return
        note("sick ${machine.name}")
        machine.sick = true
        after(30_000) { machine.sick = false }
    }

    private fun takeSpotInstances() {
        for (machine in cloud.workers.filter { it.isSpot }.take(3)) {
            note("taken ${machine.name}")
            fleet.workers.loseMachine(machine)
        }
    }

    private fun loseZone() {
        val zone = randomZone()
        note("zone $zone lost")
        for (machine in cloud.workers.filter { it.zone == zone }) fleet.workers.loseMachine(machine)
    }

    private fun deafenMachine() {
        val machine = randomMachine() ?: return
        note("deaf ${machine.name}")
        net.deaf.add(machine.name)
        later(3000, 25_000) { net.deaf.remove(machine.name) }
    }

    private fun muteMachines() {
        for (machine in cloud.workers.shuffled(random).take(2)) {
            note("mute ${machine.name}")
            net.mute.add(machine.name)
            later(3000, 25_000) { net.mute.remove(machine.name) }
        }
    }

    private fun holdCommands() {
        for (machine in cloud.workers.shuffled(random).take(3)) {
            note("commands held ${machine.name}")
            val held = if (random.nextBoolean()) net.heldCommandsMs else net.heldAnswersMs
            held[machine.name] = random.nextLong(2000, 9000)
            later(5000, 25_000) { held.remove(machine.name) }
        }
    }
}
