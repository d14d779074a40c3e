package org.guavapath.core.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

private const val NANOSECONDS_PER_MICROSECOND = 1_000L

/**
 * A point in time on a clock that never goes backwards.
 *
 * Points of different processes must not be compared.
 *
 * @property microseconds time since an arbitrary origin
 */
@JvmInline
public value class MonotonicTime(public val microseconds: Long) : Comparable<MonotonicTime> {
    /** Returns the point that is [duration] later, truncated to whole microseconds. */
    public operator fun plus(duration: Duration): MonotonicTime =
        MonotonicTime(microseconds + duration.inWholeMicroseconds)

    /** Returns the time elapsed from [earlier] to this point, negative if [earlier] is later. */
    public operator fun minus(earlier: MonotonicTime): Duration =
        (microseconds - earlier.microseconds).microseconds

    override fun compareTo(other: MonotonicTime): Int = microseconds.compareTo(other.microseconds)

    /** Reads the clock. */
    public companion object {
        /** The origin of the clock. */
        public val ZERO: MonotonicTime = MonotonicTime(0)

        /** Returns the current time on this process's clock. */
        public fun now(): MonotonicTime = MonotonicTime(System.nanoTime() / NANOSECONDS_PER_MICROSECOND)
    }
}
