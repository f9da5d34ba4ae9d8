package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.WorkerEmulator

/**
 * Random faults of processes, machines, networks and the state store. Each fault ends by itself. The faults of a seed
 * depend on the order of the random draws and on the order of the list of faults.
 */
class RandomFaults(
    private val fleet: SimFleet,
) {
    private val random = fleet.random
    private val net = fleet.net
    private val cloud = fleet.cloud
    private val state = fleet.state
    private val stateFaults = fleet.stateFaults

    /** The faults. Each takes a node, which it affects if it is one of a single node. */
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
            { blockInbound() },
            { cutNode(it, null) },
            { cutNode(it, "state") },
            { cutZone() },
            { makeMachineFaulty() },
            { slowStateStore() },
            { refusePeerConnections() },
            { freeze(it) },
            { loseZone() },
            { cutZoneForLong() },
            { executeWritesLate() },
            { loseResponses() },
            { duplicateHeartbeatsLate() },
            { deliverOldHeartbeats(it) },
            { blockOutbound() },
            { delayCommands() },
            { cutFromStateAndPeers(it) },
            { refuseNodeThenOutage(it) },
            { changeLeaders() },
            { crashAllAndReturn(it) },
            { hangMachines() },
            { bootQuickly() },
        )

    /** Starts one random fault at a random node. */
    fun inject() {
        val node = random.nextInt(fleet.nodes)
        faults[random.nextInt(faults.size)](node)
    }

    private fun note(event: String) = fleet.note(event)

    /** Runs [end] after a random time of [minMs] to [maxMs] milliseconds, which is drawn when the coroutine starts. */
    private fun afterRandomDelay(
        minMs: Long,
        maxMs: Long,
        end: suspend () -> Unit,
    ) = fleet.scope.launch {
        delay(random.nextLong(minMs, maxMs))
        end()
    }

    /** Runs [end] after [delayMs] milliseconds. */
    private fun afterDelay(
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
        afterRandomDelay(4000, 8000) { fleet.startNode(node) }
    }

    private fun restartQuickly(node: Int) {
        note("quick restart $node")
        fleet.crash(node)
        afterRandomDelay(100, 600) { fleet.startNode(node) }
    }

    private fun crashAll() {
        note("crash all nodes")
        for (node in 0 until fleet.nodes) {
            fleet.crash(node)
            afterRandomDelay(4000, 7000) { fleet.startNode(node) }
        }
    }

    private fun freeze(node: Int) {
        note("freeze $node")
        fleet.freeze(node)
        val frozen = fleet.live[node]
        afterRandomDelay(3000, 28_000) { if (fleet.live[node] === frozen) fleet.unfreeze(node) }
    }

    private fun changeLeaders() {
        note("five crashes in a row")
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
        note("crash all nodes, $node restarts first")
        for (each in 0 until fleet.nodes) fleet.crash(each)
        afterRandomDelay(100, 1000) {
            fleet.startNode(node)
            delay(random.nextLong(2000, 14_000))
            for (each in 0 until fleet.nodes) fleet.startNode(each)
        }
    }

    // The state store

    private fun stateOutage() {
        note("state store outage")
        state.down = true
        afterRandomDelay(3000, 15_000) { state.down = false }
    }

    private fun refuseNode(node: Int) {
        note("state store refuses $node")
        stateFaults.refusedHosts.add("n$node")
        afterRandomDelay(5000, 40_000) { stateFaults.refusedHosts.remove("n$node") }
    }

    private fun refuseNodeThenOutage(node: Int) {
        note("state store refuses $node, then outage")
        stateFaults.refusedHosts.add("n$node")
        afterRandomDelay(500, 12_000) {
            state.down = true
            delay(random.nextLong(1000, 40_000))
            state.down = false
            stateFaults.refusedHosts.remove("n$node")
        }
    }

    private fun slowStateStore() {
        note("state store slow")
        net.extraLatencyMs["state"] = random.nextLong(20, 200)
        afterRandomDelay(5000, 40_000) { net.extraLatencyMs.remove("state") }
    }

    private fun executeWritesLate() {
        note("late writes")
        stateFaults.lateWriteShare = 0.15
        afterRandomDelay(10_000, 40_000) { stateFaults.lateWriteShare = 0.0 }
    }

    private fun loseResponses() {
        note("lost responses")
        stateFaults.lostResponseShare = 0.15
        afterRandomDelay(10_000, 40_000) { stateFaults.lostResponseShare = 0.0 }
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
        note("zone $zone cut off")
        cut(random.nextLong(5000, 30_000)) { from, to -> from.zone == zone && to.zone != zone }
    }

    private fun cutZoneForLong() {
        val zone = randomZone()
        note("zone $zone cut off for long")
        cut(random.nextLong(30_000, 45_000)) { from, to -> from.zone == zone && to.zone != zone }
    }

    private fun cutFromStateAndPeers(node: Int) {
        note("$node cut from state store and peers")
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
        afterDelay(durationMs) {
            net.cuts.remove(cut)
            cut.healed.complete(Unit)
        }
    }

    private fun refusePeerConnections() {
        note("peers refuse connections")
        net.peersRefuse = true
        afterRandomDelay(5000, 40_000) { net.peersRefuse = false }
    }

    private fun duplicateHeartbeatsLate() {
        note("late copies of heartbeats")
        net.lateCopyShare = 0.3
        net.lateCopyDelayMs = 2000L..25_000L
        afterDelay(30_000) { net.lateCopyShare = 0.05 }
    }

    private fun deliverOldHeartbeats(node: Int) {
        note("heartbeats kept, $node crashes")
        net.keepsHeartbeats = true
        fleet.scope.launch {
            delay(3000)
            net.keepsHeartbeats = false
            fleet.crash(node)
            delay(random.nextLong(100, 9000))
            fleet.startNode(node)
            delay(random.nextLong(50, 1500))
            net.deliverKeptHeartbeats((0 until fleet.nodes).filter { fleet.live[it] != null }.map { "n$it" })
        }
    }

    // Machines and the cloud

    private fun cloudOutage() {
        note("cloud outage")
        cloud.down = true
        afterDelay(20_000) { cloud.down = false }
    }

    private fun bootQuickly() {
        note("quick boots")
        cloud.bootMs = { random.nextLong(200, 2000) }
        afterDelay(40_000) { cloud.bootMs = { (it.readyS * 1000).toLong() } }
    }

    private fun randomMachine(): WorkerEmulator? = cloud.workers.randomOrNull(random)

    private fun hangMachine() {
        val machine = randomMachine() ?: return
        note("hang ${machine.name}")
        machine.hung = true
        afterRandomDelay(3000, 30_000) { machine.hung = false }
    }

    private fun hangMachines() {
        note("hang three machines")
        for (machine in cloud.workers.shuffled(random).take(3)) {
            machine.hung = true
            afterRandomDelay(4000, 20_000) { machine.hung = false }
        }
    }

    private fun makeMachineFaulty() {
        val machine = randomMachine() ?: return
        note("faulty ${machine.name}")
        machine.sick = true
        afterDelay(30_000) { machine.sick = false }
    }

    private fun takeSpotInstances() {
        for (machine in cloud.workers.filter { it.isSpot }.take(3)) {
            note("spot instance taken ${machine.name}")
            fleet.workers.loseMachine(machine)
        }
    }

    private fun loseZone() {
        val zone = randomZone()
        note("zone $zone lost")
        for (machine in cloud.workers.filter { it.zone == zone }) fleet.workers.loseMachine(machine)
    }

    private fun blockInbound() {
        val machine = randomMachine() ?: return
        note("inbound blocked ${machine.name}")
        net.inboundBlocked.add(machine.name)
        afterRandomDelay(3000, 25_000) { net.inboundBlocked.remove(machine.name) }
    }

    private fun blockOutbound() {
        for (machine in cloud.workers.shuffled(random).take(2)) {
            note("outbound blocked ${machine.name}")
            net.outboundBlocked.add(machine.name)
            afterRandomDelay(3000, 25_000) { net.outboundBlocked.remove(machine.name) }
        }
    }

    private fun delayCommands() {
        for (machine in cloud.workers.shuffled(random).take(3)) {
            note("commands or responses delayed ${machine.name}")
            val delays = if (random.nextBoolean()) net.commandDelayMs else net.responseDelayMs
            delays[machine.name] = random.nextLong(2000, 9000)
            afterRandomDelay(5000, 25_000) { delays.remove(machine.name) }
        }
    }
}
