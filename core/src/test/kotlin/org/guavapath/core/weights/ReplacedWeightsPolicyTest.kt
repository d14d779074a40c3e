package org.guavapath.core.weights

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class ReplacedWeightsPolicyTest {
    private class Case(
        val staleness: Staleness,
        val expected: WeightsUse,
        val wait: Duration = Duration.ZERO,
        val uptime: Duration = 10.minutes,
    )

    private val cases = listOf(
        Case(Staleness.Current, WeightsUse.Unlimited, wait = 20.seconds),
        Case(Staleness.Replaced(0.seconds), WeightsUse.Limited(5600.milliseconds)),
        Case(Staleness.Replaced(4.seconds), WeightsUse.Limited(1600.milliseconds), wait = 1200.milliseconds),
        Case(Staleness.Replaced(4.seconds), WeightsUse.Forbidden, wait = 1300.milliseconds),
        Case(Staleness.Replaced(5.seconds), WeightsUse.Forbidden),
        Case(Staleness.Unknown(1.seconds), WeightsUse.Forbidden),
        Case(Staleness.Unknown(1.seconds), WeightsUse.LastResort(1200.milliseconds), uptime = 1.seconds),
        Case(Staleness.Unknown(1.seconds), WeightsUse.Forbidden, wait = 2.seconds, uptime = 1.seconds),
        Case(Staleness.Unknown(1.seconds), WeightsUse.Forbidden, uptime = 2200.milliseconds),
        Case(Staleness.Unknown(9.seconds), WeightsUse.Forbidden, uptime = 1.seconds),
    )

    @Test
    fun replacedWeightsAreUsedOnlyWhileRequestsBeginInTime() = cases.forEach { case ->
        val use = ReplacedWeightsPolicy().use(case.staleness, case.wait, case.uptime)
        assertEquals(case.expected, use, "${case.staleness}, wait ${case.wait}, uptime ${case.uptime}")
    }

    /** The bound holds for each time to wait, if requests are taken back when they must have begun. */
    @Test
    fun noRequestBeginsLaterThanTheBound() {
        for (bound in listOf(6.seconds, 8.seconds, 20.seconds)) {
            val policy = ReplacedWeightsPolicy(bound)
            for (age in 0..30_000 step 100) {
                val use = policy.use(Staleness.Replaced(age.milliseconds), Duration.ZERO, 10.minutes)
                val latest = (use as? WeightsUse.Limited)?.let { age.milliseconds + it.beginsWithin } ?: Duration.ZERO
                assertTrue(latest < bound, "bound $bound, age $age ms: up to $latest")
            }
        }
        assertFailsWith<IllegalArgumentException> { ReplacedWeightsPolicy(1.seconds) }
    }
}
