package org.guavapath.core.throttling

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

private const val SMALLEST_BURST = 2.0
private const val BURST_SECONDS = 0.25

/**
 * A token bucket of permits for one replica.
 *
 * It starts empty, as the replica has just received requests without a limit, or by permits of another VM. It holds two
 * permits, or what the rate yields in a quarter of a second if that is more.
 *
 * @param createdAt when the bucket starts to fill
 */
internal class PermitBucket(createdAt: MonotonicTime) {
    private var perSecond = 0.0
    private var level = 0.0
    private var refilledAt = createdAt

    private val burst get() = maxOf(SMALLEST_BURST, perSecond * BURST_SECONDS)

    /** Fills at [rate] from [now] on. */
    fun setRate(rate: RequestRate, now: MonotonicTime) {
        refill(now)
        perSecond = rate.perSecond
        level = minOf(level, burst)
    }

    /** Takes a permit if there is one. */
    fun take(now: MonotonicTime): PermitDecision {
        refill(now)
        if (level < 1) return PermitDecision.Denied(((1 - level) / perSecond).seconds)
        level -= 1
        return PermitDecision.Granted
    }

    /** Takes a permit even if there is none; further permits then wait until this one is made up for. */
    fun overdraw(now: MonotonicTime) {
        refill(now)
        level = maxOf(level - 1, -MAX_DEBT)
    }

    private fun refill(now: MonotonicTime) {
        if (now <= refilledAt) return
        level = minOf(burst, level + perSecond * (now - refilledAt).inWholeMicroseconds / MICROSECONDS_PER_SECOND)
        refilledAt = now
    }

    private companion object {
        /** A load of weights takes this many calls. */
        const val MAX_DEBT = 8.0
        const val MICROSECONDS_PER_SECOND = 1_000_000.0
    }
}
