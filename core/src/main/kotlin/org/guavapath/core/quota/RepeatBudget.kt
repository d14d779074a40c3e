package org.guavapath.core.quota

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration

/**
 * Bounds the requests that are sent again to one service.
 *
 * Over every window, repeats stay at or below a ratio of the first sends of the last window plus this
 * VM's part of the fleet's slack. Each VM keeps to its part alone, so the sum holds under any partition.
 *
 * @param window length of the window
 * @param ratio repeats allowed for each first send
 */
public class RepeatBudget(private val window: Duration, private val ratio: Double) {
    private val firstSends = ArrayDeque<MonotonicTime>()
    private val repeats = ArrayDeque<MonotonicTime>()

    /** Counts a request that is sent for the first time. */
    public fun countFirst(now: MonotonicTime) {
        firstSends.addLast(now)
        trim(now)
    }

    /** Returns whether a request may be sent again, and counts it if so; [slack] is this VM's part. */
    public fun takeRepeat(slack: Double, now: MonotonicTime): Boolean {
        trim(now)
        if (repeats.size + 1 > firstSends.size * ratio + slack) return false
        repeats.addLast(now)
        return true
    }

    private fun trim(now: MonotonicTime) {
        while (firstSends.isNotEmpty() && now - firstSends.first() > window) firstSends.removeFirst()
        while (repeats.isNotEmpty() && now - repeats.first() > window) repeats.removeFirst()
    }
}
