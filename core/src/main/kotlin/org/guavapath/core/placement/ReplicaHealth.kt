package org.guavapath.core.placement

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Outcome of one request to a replica, as seen by a VM. */
public enum class ReplicaOutcome {
    /** The replica responded in time. */
    RESPONDED,

    /** The replica responded with an error of its own, or its response broke off. */
    FAILED,

    /** The replica could not be connected to, or sent nothing for longer than expected. */
    UNRESPONSIVE,
}

/**
 * Health of one replica, derived from the outcomes of requests; health probes do not count.
 *
 * An unresponsive replica is avoided at once, a partially failing one once its failures exceed chance.
 * Avoidance ends with a trial after a backoff that doubles while trials fail.
 */
public class ReplicaHealth {
    private var failureShare = 0.0
    private var outcomeCount = 0
    private var avoidedUntil = MonotonicTime.ZERO
    private var backoff = INITIAL_BACKOFF

    /** Exponentially weighted share of failed requests, from 0 to 1. */
    public val recentFailures: Double get() = failureShare

    /** Returns whether other replicas should be preferred at [now]. */
    public fun isAvoided(now: MonotonicTime): Boolean = now < avoidedUntil

    /** Updates the health with the [outcome] of one request. */
    public fun observe(outcome: ReplicaOutcome, now: MonotonicTime) {
        val failure = if (outcome == ReplicaOutcome.RESPONDED) 0.0 else 1.0
        failureShare += (failure - failureShare) * SMOOTHING_FACTOR
        outcomeCount += 1
        val isFailing = outcomeCount >= MIN_OUTCOMES && failureShare > FAILING_SHARE
        when (outcome) {
            ReplicaOutcome.RESPONDED -> if (failureShare < FAILING_SHARE / 2) backoff = INITIAL_BACKOFF
            ReplicaOutcome.FAILED -> if (isFailing) avoid(now)
            ReplicaOutcome.UNRESPONSIVE -> avoid(now)
        }
    }

    private fun avoid(now: MonotonicTime) {
        if (isAvoided(now)) return
        avoidedUntil = now + backoff
        backoff = minOf(backoff * 2, MAX_BACKOFF)
    }

    private companion object {
        /** Weight of the newest outcome; the average covers about six requests. */
        const val SMOOTHING_FACTOR = 0.18
        const val MIN_OUTCOMES = 3

        /** Plain services ordinarily fail about one request in seven; a rate above twice that is a gray failure. */
        const val FAILING_SHARE = 0.35
        val INITIAL_BACKOFF: Duration = 700.milliseconds
        val MAX_BACKOFF: Duration = 4.seconds
    }
}
