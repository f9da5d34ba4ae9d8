package micatally.sim

import kotlinx.coroutines.launch
import micatally.emulator.CapacityPool
import micatally.emulator.CloudEmulator
import micatally.emulator.GangTable
import micatally.emulator.GangTimes
import micatally.emulator.OnMachine
import micatally.emulator.RuleChecker
import micatally.emulator.WorkerEmulator
import micatally.emulator.WorkerWorld
import micatally.settings.Settings
import micatally.wire.MachineType
import micatally.wire.Resources
import kotlin.random.Random

/**
 * The cloud and its machines. Each machine becomes a worker once it has booted, and reports the starts and ends of
 * tasks to [rules].
 */
class SimWorkers(
    private val time: SimTime,
    private val net: SimNet,
    private val random: Random,
    private val gangRandom: Random,
    private val rules: RuleChecker,
    private val settings: Settings,
    nodes: Int,
) : WorkerWorld {
    private val controllers = (0 until nodes).associate { "pitbox-$it" to "n$it:80" }
    private val zones = settings.zones
    private val machineTypes =
        listOf(
            MachineType("small", Resources(8.0, 0.0, 32.0), 40.0, 1.0, 1.0, 0.3, 6.0, zones),
            MachineType("g8", Resources(96.0, 8.0, 768.0), 400.0, 10.0, 30.0, 8.0, 6.0, zones),
        )
    val cloud = CloudEmulator(time.scope, machineTypes, capacity(), LIST_LAG_MS, { time.now }, ::boot)

    /** How long the tasks of a job run, in milliseconds, for jobs with a fixed run time. */
    val fixedRunMs = HashMap<String, Long>()

    /** How long each other task runs, in milliseconds, drawn at its first start. */
    private val randomRunMs = HashMap<Pair<String, Int>, Long>()

    private val startedAttempts = HashSet<String>()

    /** How often an attempt started that had been on the same machine in the same incarnation before. */
    var repeatedStarts = 0
        private set

    /** Jobs whose tasks fail on every machine. */
    val faultyJobs = HashSet<String>()

    override val gangs by lazy {
        GangTable(time.scope, GangTimes(settings.gangWaitMs, settings.gangPeerMs), gangRandom) { time.now }
    }

    /** How many machines the cloud has of each type and zone, as spot instances and on demand. */
    private fun capacity(): HashMap<CapacityPool, Int> {
        val capacity = HashMap<CapacityPool, Int>()
        for (zone in zones) {
            for (type in machineTypes) {
                for (isSpot in listOf(true, false)) capacity[CapacityPool(type.label, zone, isSpot)] = MACHINES_PER_KIND
            }
        }
        return capacity
    }

    private fun boot(
        name: String,
        type: MachineType,
        zone: String,
        isSpot: Boolean,
    ): WorkerEmulator {
        val host = SimNet.Host(name, zone)
        net.hosts[name] = host
        val worker =
            WorkerEmulator(
                time.scope,
                net.callerOf(host),
                this,
                Random(random.nextLong()),
                name,
                "$name:9",
                type.label,
                zone,
                isSpot,
                type.resources,
                type.pullGbPerS,
                settings.heartbeatIntervalMs,
                settings.leaseMs,
                controllers,
            ) { time.now }
        host.scope = time.scope
        host.handler = { _, request -> worker.handle(request) }
        return worker
    }

    /** Adds [count] on-demand instances of the type that run from the start. */
    fun addRunning(
        type: String,
        zone: String,
        count: Int,
    ) {
        time.scope.launch { cloud.addRunning(machineTypes.first { it.label == type }, zone, isSpot = false, count) }
    }

    /** Whether this machine is hung now. */
    fun hangs(name: String) = cloud.workers.any { it.name == name && it.hung }

    /** Stops a machine with all its tasks. Connections to it hang from now on. */
    fun loseMachine(worker: WorkerEmulator) {
        cloud.removeWithoutNotice(worker.name)
        net.hosts[worker.name]?.isPoweredOff = true
    }

    override fun spec(jobId: String) = rules.specs[jobId]

    override fun runMs(
        jobId: String,
        taskIndex: Int,
    ): Long? {
        if (rules.specs[jobId]?.isService == true) return null
        return fixedRunMs[jobId] ?: randomRunMs.getOrPut(jobId to taskIndex) { random.nextLong(500, 12_000) }
    }

    override fun isBroken(jobId: String) = jobId in faultyJobs

    override fun completed(
        jobId: String,
        taskIndex: Int,
    ) = rules.completed[jobId]?.contains(taskIndex) == true

    override fun started(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
    ) {
        time.note("start $jobId/$taskIndex on ${machine.name}")
        countRepeatedStarts(machine, jobId, taskIndex)
        rules.started(onMachine(machine, jobId, taskIndex), time.now)
    }

    private fun countRepeatedStarts(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
    ) {
        val started = machine.onMachine.filter { it.jobId == jobId && it.taskIndex == taskIndex }
        for (task in started) {
            val isNew = startedAttempts.add("${machine.name} ${machine.incarnation} $jobId/$taskIndex#${task.attempt}")
            if (!isNew) repeatedStarts++
        }
    }

    override fun left(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
        done: Boolean,
    ) {
        time.note("left $jobId/$taskIndex on ${machine.name} done=$done")
        rules.left(onMachine(machine, jobId, taskIndex), done)
    }

    private fun onMachine(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
    ) = OnMachine(jobId, taskIndex, machine.name, machine.type, machine.zone, machine.isSpot)

    private companion object {
        /** Machines per type, zone and price. */
        const val MACHINES_PER_KIND = 8

        /** How far the cloud's list of machines lags behind. */
        const val LIST_LAG_MS = 3000L
    }
}
