package micatally.scale

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import micatally.emulator.LoopbackFleet
import micatally.emulator.WorkerEmulator
import kotlin.random.Random

/** Carries out the failures of a scenario at their times. */
class FailureInjector(
    private val workerScope: CoroutineScope,
    private val stateScope: CoroutineScope,
    private val fleet: LoopbackFleet,
    private val controllers: List<ControllerProcess>,
    private val random: Random,
    private val onAllReturn: () -> Unit = {},
) {
    /** How often each controller was started again, by its place in the list. */
    val restarts = IntArray(controllers.size)

    fun start(plans: List<FailurePlan>) {
        for (plan in plans) {
            val scope = if (plan.kind == FailurePlan.STATE_OUTAGE) stateScope else workerScope
            scope.launch {
                delay((plan.atSecond * 1000).toLong())
                carryOut(plan)
            }
        }
    }

    private suspend fun carryOut(plan: FailurePlan) {
        when (plan.kind) {
            FailurePlan.WORKERS ->
                end(
                    fleet.cloud.workers
                        .shuffled(random)
                        .take(plan.count),
                    plan,
                )
            FailurePlan.ZONE -> end(fleet.cloud.workers.filter { it.zone == plan.zone }, plan)
            FailurePlan.CONTROLLERS -> restart(plan)
            FailurePlan.STATE_OUTAGE -> {
                fleet.state.down = true
                delay((plan.forSeconds * 1000).toLong())
                fleet.state.down = false
            }
        }
    }

    /** Machines that come back hang meanwhile; the others are gone for good. */
    private suspend fun end(
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

    private suspend fun restart(plan: FailurePlan) {
        val chosen = controllers.indices.shuffled(random).take(plan.count)
        withContext(Dispatchers.IO) { for (i in chosen) controllers[i].kill() }
        delay((plan.forSeconds * 1000).toLong())
        if (chosen.size == controllers.size) onAllReturn()
        for (i in chosen) {
            restarts[i]++
            withContext(Dispatchers.IO) { controllers[i].start() }
        }
    }
}
