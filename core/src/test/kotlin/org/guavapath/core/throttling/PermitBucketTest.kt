package org.guavapath.core.throttling

import org.guavapath.core.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class PermitBucketTest {
    private fun at(milliseconds: Int) = MonotonicTime.ZERO + milliseconds.milliseconds

    /** Permits wanted at [wantedAt], in milliseconds, from a bucket of [perSecond] since 0. */
    private class Case(val name: String, val perSecond: Double, val wantedAt: List<Int>, val granted: List<Boolean>)

    @Test
    fun grantsTheRateAndASmallBurst() {
        val cases = listOf(
            Case("starts empty", 2.0, listOf(0, 499, 500), listOf(false, false, true)),
            Case("holds two at a low rate", 2.0, List(3) { 60_000 }, listOf(true, true, false)),
            Case("holds more at a high rate", 20.0, List(6) { 60_000 }, List(5) { true } + false),
            Case("a rate below one", 0.5, listOf(1_900, 2_000, 3_900, 4_000), listOf(false, true, false, true)),
        )
        cases.forEach { case ->
            val bucket = PermitBucket(at(0))
            bucket.setRate(RequestRate(case.perSecond), at(0))
            val granted = case.wantedAt.map { bucket.take(at(it)) is PermitDecision.Granted }
            assertEquals(case.granted, granted, case.name)
        }
    }

    @Test
    fun deniedPermitsTellWhenTheNextOneIsThere() {
        val bucket = PermitBucket(at(0))
        bucket.setRate(RequestRate(2.0), at(0))
        val denied = bucket.take(at(100))
        assertEquals(PermitDecision.Denied(400.milliseconds), denied)
        assertEquals(PermitDecision.Granted, bucket.take(at(500)))
    }

    @Test
    fun changedRateHoldsFromItsChangeOn() {
        val bucket = PermitBucket(at(0))
        bucket.setRate(RequestRate(2.0), at(0))
        bucket.setRate(RequestRate(10.0), at(400))
        assertTrue(bucket.take(at(410)) is PermitDecision.Denied, "0.9 permits are there")
        assertEquals(PermitDecision.Granted, bucket.take(at(420)))
        bucket.setRate(RequestRate(0.0), at(420))
        assertTrue(bucket.take(at(60_000)) is PermitDecision.Denied, "nothing is added")
    }

    @Test
    fun overdrawnPermitsAreMadeUpFor() {
        val bucket = PermitBucket(at(0))
        bucket.setRate(RequestRate(2.0), at(0))
        repeat(3) { bucket.overdraw(at(0)) }
        assertEquals(PermitDecision.Denied(2_000.milliseconds), bucket.take(at(0)))
        assertEquals(PermitDecision.Granted, bucket.take(at(2_000)))
    }
}
