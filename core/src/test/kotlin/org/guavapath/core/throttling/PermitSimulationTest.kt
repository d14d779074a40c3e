package org.guavapath.core.throttling

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class PermitSimulationTest {
    /** A fleet of [voters], each of which asks for [vmsPerVoter] VMs. */
    private class Shape(val voters: Int, val vmsPerVoter: Int)

    /**
     * A fleet whose replica names [rates] in turn, for [STEP] each.
     *
     * @property usedShare share of the rate that is used at least
     * @property demand requests per second as a multiple of the rate
     * @property disturb changes the fleet before each second
     */
    private class Case(
        val name: String,
        val shape: Shape,
        val rates: List<Double>,
        val usedShare: Double = 0.8,
        val demand: Double = 10.0,
        val disturb: (SimulatedFleet, Random) -> Unit = { _, _ -> },
    )

    private val single = Shape(voters = 1, vmsPerVoter = 1)
    private val small = Shape(voters = 8, vmsPerVoter = 1)
    private val grown = Shape(voters = 17, vmsPerVoter = 5)
    private val large = Shape(voters = 34, vmsPerVoter = 10)

    private val cases = listOf(
        Case("one gateway", single, listOf(2.0)),
        Case("2 a second", small, listOf(2.0)),
        Case("40 a second", small, listOf(40.0)),
        Case("one in 5 s", small, listOf(0.2)),
        Case("changing rates", small, listOf(6.0, 2.0, 20.0, 1.0)),
        Case("85 gateways", grown, listOf(2.0)),
        Case("85 gateways, twice the rate wanted", grown, listOf(2.0), demand = 2.0),
        Case("340 gateways", large, listOf(5.0)),
        Case("two halves", small, listOf(4.0), disturb = ::cutIntoHalves),
        Case("single links cut", small, listOf(4.0), usedShare = 0.5, disturb = ::cutSingleLinks),
        Case("none linked", small, listOf(4.0), usedShare = 0.5) { fleet, _ -> fleet.isLinked = { _, _ -> false } },
        Case("restarts in series", small, listOf(4.0), usedShare = 0.5, disturb = ::restartOne),
        Case("85 gateways, restarts and cuts", grown, listOf(2.0), usedShare = 0.3, disturb = ::restartAndCut),
    )

    private fun cutIntoHalves(fleet: SimulatedFleet, random: Random) {
        val isCut = random.nextInt(4) == 0
        fleet.isLinked = { one, other -> !isCut || (one < 4) == (other < 4) }
    }

    private fun cutSingleLinks(fleet: SimulatedFleet, random: Random) {
        val cut = List(6) { random.nextInt(8) to random.nextInt(8) }
        fleet.isLinked = { one, other -> (one to other) !in cut }
    }

    private fun restartOne(fleet: SimulatedFleet, random: Random) = fleet.restart(random.nextInt(8))

    private fun restartAndCut(fleet: SimulatedFleet, random: Random) {
        if (random.nextInt(3) == 0) fleet.restart(random.nextInt(17))
        val cut = random.nextInt(17)
        fleet.isLinked = { one, other -> one != cut && other != cut }
    }

    /** Guards against permits that add up to more than a replica's rate, and against a rate that lies idle. */
    @Test
    fun permitsAddUpToTheRateAndUseIt() = cases.forEach { case ->
        repeat(SEEDS) { seed ->
            val fleet = SimulatedFleet(case.shape.voters, case.shape.vmsPerVoter, seed)
            val random = Random(seed)
            val begins = ArrayList<Int>()
            case.rates.forEach { rate ->
                fleet.nameRate(rate)
                repeat(STEP.inWholeSeconds.toInt()) {
                    case.disturb(fleet, random)
                    fleet.run(1.seconds, rate * case.demand)
                }
                begins.add(fleet.sendTimes.size)
            }
            val name = "${case.name}, seed $seed"
            assertNeverAbove(case, fleet.sendTimes, name)
            val expected = case.rates.sumOf { it * STEP.inWholeSeconds }
            val usedShare = fleet.sendTimes.size / expected
            assertTrue(usedShare >= case.usedShare, "$name: $usedShare of the rate used, ${fleet.refusals} refused")
        }
    }

    /** Compares each span of four seconds with what the rates allow in it. */
    private fun assertNeverAbove(case: Case, sendTimes: List<Int>, name: String) {
        val allowedUntil = { time: Int ->
            val step = STEP.inWholeMilliseconds.toInt()
            case.rates.indices.sumOf { case.rates[it] * (time - it * step).coerceIn(0, step) / 1_000 }
        }
        sendTimes.forEachIndexed { index, start ->
            val count = sendTimes.drop(index).takeWhile { it < start + WINDOW }.size
            val allowed = allowedUntil(start + WINDOW) - allowedUntil(start)
            val highest = case.rates.max()
            assertTrue(
                count <= allowed + SMALL_BURST + highest * BURST_SECONDS,
                "$name: $count requests in 4 s from $start, where the rates allow $allowed",
            )
        }
    }

    private companion object {
        const val SEEDS = 5
        const val WINDOW = 4_000
        const val SMALL_BURST = 4

        /** Permits that a bucket holds at a high rate, and those on their way. */
        const val BURST_SECONDS = 0.5
        val STEP = 60.seconds
    }
}
