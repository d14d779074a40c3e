package org.guavapath.core.weights

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Whether a request may be sent to a replica with certain weights. */
public sealed class WeightsUse {
    /** The weights are the newest that are known. */
    public data object Unlimited : WeightsUse()

    /**
     * Newer weights are wanted, but the request will begin in time.
     *
     * @property beginsWithin time within which the request must have begun
     */
    public data class Limited(public val beginsWithin: Duration) : WeightsUse()

    /**
     * It is not known for how long newer weights have been wanted; only if no other replica takes the request.
     *
     * @property beginsWithin time within which the request must have begun
     */
    public data class LastResort(public val beginsWithin: Duration) : WeightsUse()

    /** The request would, or might, begin too late. */
    public data object Forbidden : WeightsUse()
}

/**
 * Decides whether a request may be sent to a replica whose weights have been replaced.
 *
 * @property bound time after which no request may begin on weights that were replaced
 * @property startupGrace time after its start in which a VM is not held to [bound]
 * @throws IllegalArgumentException if [bound] is not longer than [RESERVE]
 */
public class ReplacedWeightsPolicy(
    private val bound: Duration = DEFAULT_BOUND,
    private val startupGrace: Duration = DEFAULT_STARTUP_GRACE,
) {
    init {
        require(bound > RESERVE) { "the bound is $bound" }
    }

    /** Time since a target was named in which requests may be sent to the weights before it. */
    public val usableFor: Duration get() = bound - RESERVE

    /** Time since a target was named by which requests that wait on the weights before it must have begun. */
    public val latestBeginning: Duration get() = bound - TAKE_BACK_TIME

    /**
     * Returns whether a request may be sent.
     *
     * @param staleness of the replica's weights
     * @param expectedWait expected time until the request begins there
     * @param uptime time since the VM that sends it has started
     */
    public fun use(staleness: Staleness, expectedWait: Duration, uptime: Duration): WeightsUse = when (staleness) {
        Staleness.Current -> WeightsUse.Unlimited
        is Staleness.Replaced -> {
            val timeLeft = latestBeginning - staleness.age
            if (staleness.age < usableFor && expectedWait * WAIT_FACTOR < timeLeft) {
                WeightsUse.Limited(timeLeft)
            } else {
                WeightsUse.Forbidden
            }
        }
        is Staleness.Unknown -> {
            val timeLeft = minOf(startupGrace - uptime, latestBeginning - staleness.atLeast) - START_TIME
            if (expectedWait * WAIT_FACTOR < timeLeft) WeightsUse.LastResort(timeLeft) else WeightsUse.Forbidden
        }
    }

    /** Holds the bounds of installations that state none. */
    public companion object {
        /** Bound of the first installations. */
        public val DEFAULT_BOUND: Duration = 6.seconds

        /** Grace of the first installations. */
        public val DEFAULT_STARTUP_GRACE: Duration = 3.seconds

        /** A request that waits for longer than expected still begins in time. */
        public val RESERVE: Duration = 1.seconds

        /** A replica drops a request some time after its connection was closed. */
        private val TAKE_BACK_TIME: Duration = 400.milliseconds

        /** Time from the start of a process to that of its clock, and to take back a request. */
        private val START_TIME: Duration = 800.milliseconds

        /** Requests wait longer than expected if others are sent at the same time. */
        private const val WAIT_FACTOR = 1.3
    }
}
