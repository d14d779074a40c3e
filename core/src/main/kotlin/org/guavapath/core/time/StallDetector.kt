package org.guavapath.core.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects that this process did not run for a while, from the time between regular ticks.
 *
 * A process that is frozen handles what arrived meanwhile only afterwards. While the VM is suspended the monotonic
 * clock stands still; only the time of day shows it. A time of day that is set forward looks the same.
 */
public class StallDetector {
    private var lastTick: MonotonicTime? = null
    private var lastWallClock = 0L
    private var stallStart = MonotonicTime.ZERO
    private var stallEnd: MonotonicTime? = null

    /**
     * Records a tick; returns for how long the monotonic clock may have stood still since the one before.
     *
     * @param wallClock time of day in Unix milliseconds
     */
    public fun tick(now: MonotonicTime, wallClock: Long): Duration {
        val before = lastTick
        val wallElapsed = (wallClock - lastWallClock).milliseconds
        lastTick = now
        lastWallClock = wallClock
        if (before == null) return Duration.ZERO
        val elapsed = now - before
        val suspended = (wallElapsed - elapsed).takeIf { it > TOLERANCE } ?: Duration.ZERO
        if (elapsed > TOLERANCE || suspended > Duration.ZERO) {
            stallStart = before + (-suspended)
            stallEnd = now
        }
        return suspended
    }

    /** Returns the earliest time at which a message may have arrived that is handled at [now]. */
    public fun earliestArrival(now: MonotonicTime): MonotonicTime {
        val last = lastTick
        val end = stallEnd
        return when {
            last == null -> now
            now - last > TOLERANCE -> last
            end != null && now - end < BACKLOG_TIME -> stallStart
            else -> now
        }
    }

    private companion object {
        /** Longer than the time between ticks. */
        val TOLERANCE = 300.milliseconds

        /** Time within which a process has handled what arrived while it did not run. */
        val BACKLOG_TIME = 1000.milliseconds
    }
}
