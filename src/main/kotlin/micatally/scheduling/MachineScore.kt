package micatally.scheduling

import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.Resources
import micatally.worker.Machine

/** Scores how well a machine suits a task, in seconds of delay or their equivalent. The lowest score is the best. */
object MachineScore {
    /** The share of the full pull time that remains, as an estimate, if the image is already being pulled. */
    private const val PULL_IN_PROGRESS_SHARE = 0.5

    /** The weight of the share of the machine that would stay free, in seconds. */
    private const val FIT_WEIGHT = 8.0

    /** Added, in seconds, if a task without GPUs leaves too few cores for the machine's free GPUs. */
    private const val STRANDED_GPUS_PENALTY = 60.0

    /** The share of the machine's cores per GPU that must stay free for each free GPU. */
    private const val CORES_KEPT_PER_GPU_SHARE = 0.7

    /** Subtracted, in seconds, for a spot instance if the job allows those. */
    private const val SPOT_BONUS = 4.0

    /** Added, in seconds, for each attempt that a scattered job already has in the zone. */
    private const val SCATTER_WEIGHT = 0.5

    /**
     * How many seconds the machine needs to pull the job's image at the nominal rate of its type. This is 0 if the
     * machine has the image, and only a part of the full time if an attempt of this controller there uses the same
     * image, as the pull is then under way.
     */
    fun imagePullS(
        spec: JobSpec,
        machine: Machine,
        machineType: MachineType,
    ): Double {
        if (spec.image in machine.images) return 0.0
        val fullPullS = spec.imageGb / machineType.pullGbPerS
        val isPulling = machine.attempts.any { it.job.spec?.image == spec.image }
        return if (isPulling) fullPullS * PULL_IN_PROGRESS_SHARE else fullPullS
    }

    /**
     * The score of a machine that has [free] capacity. The time to pull the image counts most, then how little capacity
     * would be left, so that whole machines stay free for large tasks or can be returned to the cloud. A task without
     * GPUs avoids the cores that tasks on the machine's free GPUs will need.
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

    /** What a zone adds to the score of its machines if it has [attemptsInZone] attempts of the job. */
    fun ofZone(
        spec: JobSpec,
        attemptsInZone: Int,
    ): Double = if (spec.scatter) attemptsInZone * SCATTER_WEIGHT else 0.0

    /**
     * The share of the machine that stays free, from 0 to 1. For a task with GPUs only the GPUs count, since such a
     * task uses cores along with them.
     */
    private fun unusedShare(
        spec: JobSpec,
        machineType: MachineType,
        left: Resources,
    ): Double {
        val countsGpusOnly = machineType.resources.gpus > 0 && spec.resources.gpus > 0
        val unusedCores = if (countsGpusOnly) 0.0 else left.cores / machineType.resources.cores
        return maxOf(left.gpus / maxOf(machineType.resources.gpus, 1.0), unusedCores)
    }

    /** Whether the task uses no GPUs and would leave too few cores for the machine's free GPUs to be used. */
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
