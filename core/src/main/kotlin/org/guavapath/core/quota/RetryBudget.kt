package org.guavapath.core.quota

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One VM's part of the fleet's retry budget of one service.
 *
 * In any window the fleet may send a ratio of the first sends of that window, plus a slack. Each VM keeps a bound of
 * the same form without coordination: its first sends fill a bucket that holds little, and its part of the slack serves
 * once in each window. As the bound holds in every window, the sum over all VMs does too, however unevenly and at
 * whatever times their callers come.
 *
 * What a VM has spent is not known after its end. A process that has just started therefore uses no slack for one
 * window, and while VMs leave, the others use no more than the parts that they had before.
 *
 * A VM whose part of the slack is below one retry sends none.
 *
 * @param window length of the sliding window
 * @param ratio retries allowed for each first send
 * @param startedAt when this process started
 * @param isFirstStart whether no process has spent anything before
 */
public class RetryBudget(
    private val window: Duration,
    private val ratio: Double,
    private val startedAt: MonotonicTime,
    private val isFirstStart: Boolean = false,
) {
    private class Part(val from: MonotonicTime, val slack: Double) {
        /** Retries that first sends may back at a later time; at least one, as retries are whole. */
        val bucketSize: Double get() = minOf(slack, maxOf(1.0, slack * BUCKET_SHARE))
        val usesPerWindow: Double get() = slack - bucketSize
    }

    private var backed = 0.0
    private val uses = ArrayDeque<MonotonicTime>()
    private val parts = ArrayDeque<Part>()

    /**
     * Records a request that is sent for the first time. One that may have waited while this VM stood still may be of
     * an earlier window, and backs no retry.
     *
     * @param slack this VM's part of the fleet's slack, in retries
     * @param arrivedAt when the request arrived at the earliest
     */
    public fun recordFirstSend(slack: Double, arrivedAt: MonotonicTime, now: MonotonicTime) {
        if (now - arrivedAt > TIME_TO_ARRIVE) return
        backed = minOf(backed + ratio, smallestPart(slack, now).bucketSize)
    }

    /** Returns whether a request may be retried, and records the retry if so. */
    public fun takeRetry(slack: Double, now: MonotonicTime): Boolean {
        val part = smallestPart(slack, now)
        val span = window + TIME_TO_ARRIVE
        while (uses.isNotEmpty() && now - uses.first() > span) uses.removeFirst()
        backed = minOf(backed, part.bucketSize)
        val isSlackKnown = isFirstStart || now - startedAt > span
        return when {
            backed >= 1 -> {
                backed -= 1
                true
            }
            isSlackKnown && uses.size + 1 <= part.usesPerWindow -> uses.add(now)
            else -> false
        }
    }

    /** Returns the smallest part that this VM has had within a window. */
    private fun smallestPart(slack: Double, now: MonotonicTime): Part {
        val usable = if (slack >= 1) maxOf(1.0, slack * USABLE_SHARE) else slack
        while (parts.size > 1 && now - parts[1].from > window + TIME_TO_ARRIVE) parts.removeFirst()
        if (parts.lastOrNull()?.slack != usable) parts.addLast(Part(now, usable))
        return parts.minBy { it.slack }
    }

    private companion object {
        /** The rest covers requests that arrive, here or at replicas, up to [TIME_TO_ARRIVE] late. */
        const val USABLE_SHARE = 0.9
        const val BUCKET_SHARE = 0.2

        /** A connection takes up to this long; what is later counts as late. */
        val TIME_TO_ARRIVE = 400.milliseconds
    }
}
