package org.guavapath.daemon.limits

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects pauses of this process that last longer than [threshold].
 *
 * The monotonic clock may stop while a VM is suspended, so the wall clock is checked as well.
 */
internal class PauseDetector(private val threshold: Duration) {
    private var lastMonotonic = MonotonicTime.now()
    private var lastWallMilliseconds = System.currentTimeMillis()

    /** Returns whether more than the threshold has passed since the previous call. */
    fun detectPause(now: MonotonicTime): Boolean {
        val wall = System.currentTimeMillis()
        val elapsed = maxOf(now - lastMonotonic, (wall - lastWallMilliseconds).milliseconds)
        lastMonotonic = now
        lastWallMilliseconds = wall
        return elapsed > threshold
    }
}
