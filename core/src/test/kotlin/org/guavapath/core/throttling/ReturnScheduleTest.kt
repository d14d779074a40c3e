package org.guavapath.core.throttling

import org.guavapath.core.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReturnScheduleTest {
    private val now = MonotonicTime.ZERO + 60.seconds

    @Test
    fun callersReturnOneAfterTheOther() {
        val cases = listOf(
            Triple("two a second", 2.0, listOf(500, 1_000, 1_500)),
            Triple("a high rate", 1_000.0, listOf(50, 50, 50)),
            Triple("a low rate", 0.2, listOf(5_000, 10_000, 10_000)),
            Triple("no rate", 0.0, listOf(10_000, 10_000, 10_000)),
        )
        cases.forEach { (name, perSecond, expected) ->
            val schedule = ReturnSchedule()
            val times = expected.map { schedule.next(RequestRate(perSecond), now).inWholeMilliseconds.toInt() }
            assertEquals(expected, times, name)
        }
    }

    @Test
    fun timesWithoutRefusalsAreNotSavedUp() {
        val schedule = ReturnSchedule()
        schedule.next(RequestRate(2.0), now)
        assertEquals(500.milliseconds, schedule.next(RequestRate(2.0), now + 30.seconds))
    }
}
