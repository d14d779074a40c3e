package org.guavapath.core.time

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class StallDetectorTest {
    /**
     * Ticks every 250 ms until [monotonic] and [wall] pass between two of them.
     *
     * @property suspended what the tick after that returns
     * @property earliest how long before the tick a message may have arrived that is handled right after it
     */
    private class Case(
        val name: String,
        val monotonic: Duration,
        val wall: Duration,
        val suspended: Duration,
        val earliest: Duration,
    )

    private val cases = listOf(
        Case("ticks in time", 250.milliseconds, 250.milliseconds, 0.milliseconds, 0.milliseconds),
        Case("a late tick", 700.milliseconds, 700.milliseconds, 0.milliseconds, 700.milliseconds),
        Case("a freeze", 4000.milliseconds, 4000.milliseconds, 0.milliseconds, 4000.milliseconds),
        Case("a suspension", 250.milliseconds, 4250.milliseconds, 4000.milliseconds, 4250.milliseconds),
        Case("a time of day set back", 250.milliseconds, (-2000).milliseconds, 0.milliseconds, 0.milliseconds),
        Case("a freeze, time set back", 4000.milliseconds, 1000.milliseconds, 0.milliseconds, 4000.milliseconds),
    )

    /** Guards against messages that count as new although they arrived while the process did not run. */
    @Test
    fun timesWithoutTicksAreFound() = cases.forEach { case ->
        val detector = StallDetector()
        var now = MonotonicTime.ZERO + 1_000.milliseconds
        var wall = 1_000_000L
        repeat(3) {
            assertEquals(Duration.ZERO, detector.tick(now, wall), case.name)
            now += 250.milliseconds
            wall += 250
        }
        now += case.monotonic - 250.milliseconds
        wall += case.wall.inWholeMilliseconds - 250
        assertEquals(case.suspended, detector.tick(now, wall), case.name)
        assertEquals(case.earliest, now - detector.earliestArrival(now), case.name)
        val later = now + 1100.milliseconds
        for (step in 100..1_100 step 200) detector.tick(now + step.milliseconds, wall + step)
        assertEquals(Duration.ZERO, later - detector.earliestArrival(later), case.name)
    }

    /** A message may be handled before the tick that shows that the process did not run. */
    @Test
    fun messagesBeforeTheFirstTickAfterAFreezeCountFromTheTickBefore() {
        val detector = StallDetector()
        val before = MonotonicTime.ZERO + 1_000.milliseconds
        detector.tick(before, wallClock = 0)
        assertEquals(before, detector.earliestArrival(before + 3_000.milliseconds))
    }
}
