package micatally.fleet

import micatally.sim.plainSettings
import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.wire.ZoneOption
import micatally.worker.MachineRegistry
import micatally.worker.NoMachineListener
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Tasks that must share a zone, planned again and again for a cloud that has no machines of randomly chosen offers. */
class ZoneChoicesTest {
    /** A cloud with random machine types, and tasks that must share one of its zones. */
    private class Cloud(
        random: Random,
    ) {
        val types = List(random.nextInt(1, 4)) { randomType("t$it", random) }
        val request = randomRequest(random)
        private val offers =
            types.flatMap { type ->
                type.zones.flatMap { listOf(Offer(type.label, it, false), Offer(type.label, it, true)) }
            }
        private val exhausted = offers.filterTo(HashSet()) { random.nextBoolean() }
        private val allowed = offers.filter { request.isSpot || !it.isSpot }
        val hasEnough = allowed.any { it !in exhausted }

        /** Each offer is given up one boot time after its first refusal, and each of its requests waits for a plan. */
        val boundMs = allowed.sumOf { bootMs(it.type) + STEP_MS * ScaleOutPlan.REFUSALS_TO_GIVE_UP }

        fun bootMs(type: String) = (types.first { it.label == type }.readyS * 1000).toLong()

        fun refuses(offer: Offer) = offer in exhausted

        private fun randomType(
            label: String,
            random: Random,
        ) = MachineType(
            label,
            Resources(listOf(8.0, 32.0, 96.0).random(random), 0.0, 64.0),
            40.0,
            1.0,
            random.nextDouble(1.0, 10.0),
            random.nextDouble(0.3, 3.0),
            random.nextDouble(5.0, 30.0),
            ZONES.shuffled(random).take(random.nextInt(1, 4)),
        )

        private fun randomRequest(random: Random): ResourceRequest {
            val options = ZONES.map { ZoneOption(it, random.nextInt(1, 20)) }
            return ResourceRequest(
                2.0,
                0.0,
                1.0,
                zones = listOf("a"),
                isSpot = random.nextBoolean(),
                count = options.first().count,
                jobId = "j-000001",
                zoneOptions = options,
            )
        }
    }

    /** The machines that the plans provision until the tasks have all that they need, in the order of the requests. */
    private fun provision(
        cloud: Cloud,
        seed: Int,
    ): List<Offer> {
        var now = 0L
        val registry = MachineRegistry(NoMachineListener) { now }
        registry.machineTypes = cloud.types.associateBy { it.label }
        val backoff = OfferBackoff(plainSettings(), registry) { now }
        val choices = ZoneChoices()
        val provisioned = ArrayList<Offer>()
        while (now <= cloud.boundMs) {
            val conditions =
                OfferConditions(
                    { backoff.isBackingOff(it, now) },
                    { backoff.refusalsInRow(it, now) },
                    { false },
                    { 1.0 },
                )
            val pending =
                provisioned.mapTo(
                    ArrayList(),
                ) { PlannedMachine(it, registry.machineTypes.getValue(it.type).resources) }
            val plan = ScaleOutPlan(cloud.types, conditions, pending, emptyMap(), 100, choices)
            val added = plan.plan(listOf(cloud.request))
            if (added.isEmpty() && plan.unmet.isEmpty()) return provisioned
            for ((offer, count) in added) {
                if (cloud.refuses(offer)) backoff.startBackoff(offer) else repeat(count) { provisioned.add(offer) }
            }
            now += STEP_MS
        }
        throw AssertionError("seed $seed: not provisioned within ${cloud.boundMs} ms: ${cloud.request}")
    }

    /**
     * Guards the bound within which a zone is given up, and that what was provisioned in it is not provisioned again: in
     * the chosen zone no machine is left over.
     */
    @Test
    fun `while the cloud has machines in one of the zones, the tasks get them within the sum of the boot times`() {
        var tried = 0
        for (seed in 1..SEEDS) {
            val cloud = Cloud(Random(seed))
            if (!cloud.hasEnough) continue
            tried++
            val provisioned = provision(cloud, seed)
            val tasksOf = { offer: Offer ->
                cloud.types
                    .first { it.label == offer.type }
                    .resources.cores
                    .toInt() / 2
            }
            val complete =
                cloud.request.zoneOptions.filter { option ->
                    provisioned.filter { it.zone == option.zone }.sumOf(tasksOf) >= option.count
                }
            assertEquals(1, complete.size, "seed $seed: zones with room for all tasks, of $provisioned")
            val inZone = provisioned.filter { it.zone == complete.single().zone }
            val smallest = inZone.minOf(tasksOf)
            assertTrue(
                inZone.sumOf(tasksOf) - smallest < complete.single().count,
                "seed $seed: one is left over of $inZone",
            )
        }
        assertTrue(tried > SEEDS / 2, "$tried clouds had machines")
    }

    private companion object {
        const val SEEDS = 400

        /** The time between two plans. */
        const val STEP_MS = 500L
        val ZONES = listOf("a", "b", "c")
    }
}
