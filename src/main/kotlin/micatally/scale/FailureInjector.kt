package micatally.scale

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import micatally.emulator.LoopbackFleet
import micatally.emulator.WorkerEmulator
import kotlin.random.Random

/**
 * Injects the failures of a scenario at their times.
 *
 * @param workerScope scope of the loop that runs the emulated workers and the cloud
 * @param stateScope scope of the loop that runs the state store emulator
 * @param leaseMs the lease of the workers, in milliseconds
 * @param beforeAllRestart called each time before all controllers are started again after they were killed together
 */
class FailureInjector(
    private val workerScope: CoroutineScope,
    private val stateScope: CoroutineScope,
    private val fleet: LoopbackFleet,
    private val controllers: List<ControllerProcess>,
    private val random: Random,
    private val leaseMs: Long,
    private val beforeAllRestart: () -> Unit = {},
) {
    /** How often each controller was restarted, by its index in the list of controllers. */
    val restarts = IntArray(controllers.size)

    /** Schedules the failures of [plans]; their times count from this call. */
    fun start(plans: List<FailurePlan>) {
        for (plan in plans) {
            val scope = if (plan.kind == FailurePlan.STATE_OUTAGE) stateScope else workerScope
            scope.launch {
                delay((plan.atSecond * 1000).toLong())
                inject(plan)
            }
        }
    }

    private suspend fun inject(plan: FailurePlan) {
        when (plan.kind) {
            FailurePlan.WORKERS ->
                failWorkers(
                    fleet.cloud.workers
                        .shuffled(random)
                        .take(plan.count),
                    plan,
                )
            FailurePlan.ZONE -> failWorkers(fleet.cloud.workers.filter { it.zone == plan.zone }, plan)
            FailurePlan.COMMAND_COPIES -> copyCommands(plan)
            FailurePlan.CONTROLLERS -> restartControllers(plan)
            FailurePlan.STATE_OUTAGE -> {
                fleet.state.down = true
                delay((plan.forSeconds * 1000).toLong())
                fleet.state.down = false
            }
        }
    }

    /**
     * Hangs the workers for the time of the plan; without such a time, removes their machines from the cloud for good.
     */
    private suspend fun failWorkers(
        workers: List<WorkerEmulator>,
        plan: FailurePlan,
    ) {
        if (plan.forSeconds <= 0) {
            for (worker in workers) fleet.cloud.removeWithoutNotice(worker.name)
            return
        }
        for (worker in workers) worker.hung = true
        delay((plan.forSeconds * 1000).toLong())
        for (worker in workers) worker.hung = false
    }

    private suspend fun copyCommands(plan: FailurePlan) {
        for (worker in fleet.cloud.workers) worker.commandCopyDelayMs = MIN_COPY_DELAY_MS..leaseMs * 2
        delay((plan.forSeconds * 1000).toLong())
        for (worker in fleet.cloud.workers) worker.commandCopyDelayMs = null
    }

    /** Kills randomly chosen controllers and starts them again after the time of the plan. */
    private suspend fun restartControllers(plan: FailurePlan) {
        val chosenIndices = controllers.indices.shuffled(random).take(plan.count)
        withContext(Dispatchers.IO) { for (i in chosenIndices) controllers[i].kill() }
        delay((plan.forSeconds * 1000).toLong())
        if (chosenIndices.size == controllers.size) beforeAllRestart()
        for (i in chosenIndices) {
            restarts[i]++
            withContext(Dispatchers.IO) { controllers[i].start() }
        }
    }

    private companion object {
        const val MIN_COPY_DELAY_MS = 300L
    }
}
