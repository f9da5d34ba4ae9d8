package micatally.quota

import micatally.job.ShardState
import micatally.settings.Team
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Runs several controllers through random schedules of raised and lowered allotments, starvation, late, lost and
 * refused writes, frozen controllers and failovers. After each step, the sum of a team's rows must not exceed its
 * limit, and the running tasks of each shard must not exceed the shard's row.
 */
class QuotaScheduleTest {
    private val teams =
        listOf(
            Team("cards", 0.0, 0.0, 10.0, 40.0),
            Team("cores", 10.0, 64.0, 0.0, 0.0),
            Team("both", 10.0, 100.0, 4.0, 16.0),
        )

    private inner class Schedule(
        private val seed: Int,
    ) {
        private val random = Random(seed)
        private val controllerCount = random.nextInt(3, 12)
        private val fleet = QuotaFleet(seed, controllerCount, teams, random.nextInt(2, 12).toDouble())
        private val frozenUntilMs = LongArray(controllerCount)

        fun execute(seconds: Int) {
            for (i in 0 until controllerCount) fleet.transferShard("ledger-$i", i)
            val untilMs = seconds * 1000L
            while (fleet.now < untilMs) step(fleet.now < untilMs * 3 / 4)
            checkWholeLimitIsUsable()
            fleet.close()
        }

        private fun step(hasFaults: Boolean) {
            fleet.faults = if (hasFaults) StateFaults.MANY else StateFaults.NONE
            for ((i, controller) in fleet.controllers.withIndex()) stepController(i, controller, hasFaults)
            if (random.nextInt(2) == 0) fleet.endRandomTask()
            if (hasFaults && random.nextInt(300) == 0) {
                fleet.transferShard("ledger-${random.nextInt(controllerCount)}", random.nextInt(controllerCount))
            }
            fleet.runFor(STEP_MS)
            check()
        }

        private fun stepController(
            i: Int,
            controller: QuotaFleet.Controller,
            hasFaults: Boolean,
        ) {
            if (fleet.now >= frozenUntilMs[i]) controller.isFrozen = false
            if (controller.isFrozen) return
            if (random.nextInt(12) == 0) {
                controller.refreshCache(random.nextLong(1, if (random.nextInt(20) == 0) 3000 else 80))
            }
            if (random.nextInt(50) == 0) controller.quota.releaseUnused()
            if (random.nextInt(3) == 0) startTasks(controller)
            if (hasFaults && random.nextInt(1500) == 0) freeze(i)
        }

        private fun freeze(i: Int) {
            fleet.controllers[i].isFrozen = true
            frozenUntilMs[i] = fleet.now + random.nextLong(500, 15_000)
        }

        private fun startTasks(controller: QuotaFleet.Controller) {
            val shard = controller.shards.values.randomOrNull(random) ?: return
            if (shard.state != ShardState.ACTIVE) return
            val task = Share(random.nextInt(1, 5).toDouble(), random.nextInt(1, 3).toDouble())
            controller.tryToStart(shard, teams.random(random).name, task, random.nextInt(1, 9))
        }

        private fun check() {
            for (team in teams) {
                val rows = (0 until controllerCount).map { fleet.storedRow(team.name, "ledger-$it") }
                val sum = rows.fold(Share.NONE) { total, row -> total + row }
                assertTrue(
                    team.covers(team.limit + ROUNDING, sum),
                ) { "seed $seed at ${fleet.now} ms: the rows of ${team.name} sum up to $sum, above its limit" }
                for ((i, row) in rows.withIndex()) checkUse(team, "ledger-$i", row)
            }
        }

        private fun checkUse(
            team: Team,
            shard: String,
            row: Share,
        ) {
            val used = fleet.runningShare(team.name, shard)
            assertTrue(team.covers(row + ROUNDING, used)) {
                "seed $seed at ${fleet.now} ms: tasks of ${team.name} in $shard use $used, above the row $row"
            }
        }

        /** Once there are no faults and other tasks end, one shard must be able to use the whole limit of a team. */
        private fun checkWholeLimitIsUsable() {
            val team = teams.first()
            val wholeLimit = Share(1.0, team.gpusMax)
            repeat(STEPS_WITHOUT_FAULTS) {
                repeat(10) { fleet.endRandomTask() }
                for (controller in fleet.controllers) {
                    controller.isFrozen = false
                    controller.refreshCache(1)
                    if (random.nextInt(20) == 0) controller.quota.releaseUnused()
                }
                val leader = fleet.controllers.first { it.shards["ledger-0"]?.state == ShardState.ACTIVE }
                leader.tryToStart(leader.shards.getValue("ledger-0"), team.name, wholeLimit, 1)
                fleet.runFor(STEP_MS)
                check()
                if (fleet.runningShare(team.name, "ledger-0").gpus >= team.gpusMax) return
            }
            assertTrue(
                false,
            ) { "seed $seed: the limit of ${team.name} was never allotted to the only shard that needs it" }
        }
    }

    @Test
    fun `use stays within the rows and the rows within the limit`() {
        for (seed in 1..SEEDS) Schedule(seed).execute(SECONDS)
    }

    /**
     * Runs many more schedules. Takes about a minute in CI; run by hand with `-Dmicatally.quota.seeds=2000` or more.
     */
    @Test
    fun `use stays within the rows and the rows within the limit over many schedules`() {
        val seeds = Integer.getInteger("micatally.quota.seeds", MANY_SEEDS)
        for (seed in 1..seeds) Schedule(FIRST_OF_MANY_SEEDS + seed).execute(LONG_SECONDS)
    }

    private companion object {
        const val STEP_MS = 20L
        const val STEPS_WITHOUT_FAULTS = 3000
        const val SEEDS = 12
        const val SECONDS = 40
        const val MANY_SEEDS = 40
        const val LONG_SECONDS = 120
        const val FIRST_OF_MANY_SEEDS = 1000

        /** The tolerance for rounding, as rows are sums of fractions. */
        val ROUNDING = Share(1e-4, 1e-4)
    }
}
