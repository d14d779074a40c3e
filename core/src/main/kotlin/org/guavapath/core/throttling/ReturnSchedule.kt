package org.guavapath.core.throttling

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The times at which a VM's refused callers may return: one after the other, at the rate at which they can be served.
 */
public class ReturnSchedule {
    private var last = MonotonicTime.ZERO

    /** Returns when the next caller may return, where callers refused by this VM are served at [rate]. */
    public fun next(rate: RequestRate, now: MonotonicTime): Duration {
        val interval = if (rate.perSecond > 0) minOf(LATEST, (1 / rate.perSecond).seconds) else LATEST
        last = minOf(maxOf(last, now) + interval, now + LATEST)
        return maxOf(EARLIEST, last - now)
    }

    private companion object {
        val EARLIEST = 50.milliseconds

        /** Rates change within seconds, so that nothing is known of later times. */
        val LATEST = 10.seconds
    }
}
