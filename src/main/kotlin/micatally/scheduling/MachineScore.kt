package micatally.scheduling

import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.Resources
import micatally.worker.Machine

/** How well a machine suits a task, in seconds of delay or their equivalent; the lowest score is the best. */
object MachineScore {
    private const val PULL_UNDER_WAY_SHARE = 0.5
    private const val FIT_WEIGHT = 8.0
    private const val STRANDED_GPUS_PENALTY = 60.0
    private const val CORES_KEPT_PER_GPU_SHARE = 0.7
    private const val SPOT_BONUS = 4.0
    private const val SCATTER_WEIGHT = 0.5

    /**
     * How many seconds the machine needs to pull the job's image at its type's nominal rate: none if it has the image, and
     * a part of the time if a task of this controller is waiting for it there.
     */
    fun imagePullS(
        spec: JobSpec,
        machine: Machine,
        machineType: MachineType,
    ): Double {
        if (spec.image in machine.images) return 0.0
        val fullPullS = spec.imageGb / machineType.pullGbPerS
        val isPulling = machine.attempts.any { it.job.spec?.image == spec.image }
        return if (isPulling) fullPullS * PULL_UNDER_WAY_SHARE else fullPullS
    }

    /**
     * The score of a machine that has [free] capacity. The image counts most, then the tightest fit, so that whole machines
     * stay free for large tasks or can be returned. A task without GPUs avoids the cores that the machine's GPUs will need.
     */
    fun of(
        spec: JobSpec,
        machine: Machine,
        machineType: MachineType,
        free: Resources,
    ): Double {
        val left = free - spec.resources
        var score = imagePullS(spec, machine, machineType)
        score += unusedShare(spec, machineType, left) * FIT_WEIGHT
        if (strandsGpus(spec, machineType, left)) score += STRANDED_GPUS_PENALTY
        if (machine.isSpot && spec.isSpot) score -= SPOT_BONUS
        return score
    }

    /** What a zone adds to the score of its machines, given how many tasks of the job are in it. */
    fun ofZone(
        spec: JobSpec,
        attemptsInZone: Int,
    ): Double = if (spec.scatter) attemptsInZone * SCATTER_WEIGHT else 0.0

    /** The share of the machine that stays free. For a task with GPUs only these count, as it takes what they need along. */
    private fun unusedShare(
        spec: JobSpec,
        machineType: MachineType,
        left: Resources,
    ): Double {
        val countsGpusOnly = machineType.resources.gpus > 0 && spec.resources.gpus > 0
        val unusedCores = if (countsGpusOnly) 0.0 else left.cores / machineType.resources.cores
        return maxOf(left.gpus / maxOf(machineType.resources.gpus, 1.0), unusedCores)
    }

    private fun strandsGpus(
        spec: JobSpec,
        machineType: MachineType,
        left: Resources,
    ): Boolean {
        val takesCoresOnly = spec.resources.gpus == 0.0 && machineType.resources.gpus > 0
        if (!takesCoresOnly) return false
        val coresPerGpu = machineType.resources.cores / machineType.resources.gpus * CORES_KEPT_PER_GPU_SHARE
        return left.cores < left.gpus * coresPerGpu
    }
}
