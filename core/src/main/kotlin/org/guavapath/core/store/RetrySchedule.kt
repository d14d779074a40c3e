package org.guavapath.core.store

import org.guavapath.core.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * When a process may call the store: at any time while calls succeed, otherwise one call at a time, with exponential
 * back-off and full jitter.
 *
 * The first call that succeeds ends the back-off for all callers of the process. While calls fail, two of them begin at
 * most [MAX_BACK_OFF] apart, unless the store asks for a longer wait. A call that does not return in time does not
 * prevent the next one.
 *
 * @param random source of the jitter
 */
public class RetrySchedule(private val random: Random) {
    private var failures = 0
    private var failingSince = MonotonicTime.ZERO
    private var probedAt = MonotonicTime.ZERO
    private var nextCallAt = MonotonicTime.ZERO
    private var askedUntil = MonotonicTime.ZERO

    /** Whether calls fail, so that only probes are made. */
    public val isFailing: Boolean get() = failures > 0

    /** The wait that was chosen after the last failure; zero while calls succeed. */
    public var backOff: Duration = Duration.ZERO
        private set

    /** Returns how long the next call has to wait from [now]; zero or less if it may begin. */
    public fun timeLeft(now: MonotonicTime): Duration =
        if (isFailing) maxOf(nextCallAt, askedUntil) - now else Duration.ZERO

    /** Records that a call begins [now]; returns whether it is a probe, as calls before it failed. */
    public fun begin(now: MonotonicTime): Boolean {
        if (!isFailing) return false
        probedAt = now
        nextCallAt = now + limit() * (1 + random.nextDouble()) / 2
        return true
    }

    /** Records that the store answered a call [now]. A wait that it asked for is kept. */
    public fun succeeded(now: MonotonicTime) {
        if (now < askedUntil) return
        failures = 0
        backOff = Duration.ZERO
    }

    /**
     * Records that a call that began at [calledAt] failed [now].
     *
     * @param askedWait the least wait that the store asked for, null if it asked for none
     */
    public fun failed(calledAt: MonotonicTime, now: MonotonicTime, askedWait: Duration?) {
        val isFirst = failures == 0
        if (isFirst) failingSince = now
        // Calls that were running when the first one failed tell nothing new.
        if (isFirst || calledAt >= failingSince) failures += 1
        val wait = limit() * random.nextDouble()
        when {
            isFirst -> nextCallAt = now + wait
            calledAt >= probedAt -> nextCallAt = minOf(now + wait, maxOf(now, probedAt + MAX_BACK_OFF))
        }
        askedWait?.let { askedUntil = maxOf(askedUntil, now + minOf(it, MAX_ASKED_WAIT) + wait) }
        backOff = maxOf(Duration.ZERO, timeLeft(now))
    }

    private fun limit(): Duration =
        minOf(MAX_BACK_OFF, FIRST_BACK_OFF * (1 shl minOf(failures - 1, MAX_DOUBLINGS)))

    /** Holds the limits. */
    public companion object {
        private val FIRST_BACK_OFF: Duration = 250.milliseconds
        private const val MAX_DOUBLINGS = 8

        /** Leaves time to list all kinds within two seconds of the store's return. */
        public val MAX_BACK_OFF: Duration = 1500.milliseconds

        /** A longer wait is taken for a mistake, as it would leave the process without new objects. */
        public val MAX_ASKED_WAIT: Duration = 1.minutes
    }
}
