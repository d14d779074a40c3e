package org.guavapath.core.placement

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a VM learned from one request to a replica. */
public enum class ReplicaOutcome {
    /** The replica answered in time. */
    ANSWERED,

    /** The replica answered with a fault of its own, or broke its answer off. */
    FAILED,

    /** The replica could not be connected to, or said nothing for longer than expected. */
    SILENT,
}

/**
 * Health of one replica by what requests to it showed; health probes do not count.
 *
 * A silent replica is avoided at once, one that fails part of its requests once the failures are more
 * than chance. Avoidance ends by itself with a trial and doubles while trials fail.
 */
public class ReplicaHealth {
    private var failureShare = 0.0
    private var outcomes = 0
    private var avoidedUntil = MonotonicTime.ZERO
    private var avoidance = FIRST_AVOIDANCE

    /** Share of recent requests that failed, from 0 to 1, newer ones weigh more. */
    public val recentFailures: Double get() = failureShare

    /** Returns whether other replicas should be preferred at [now]. */
    public fun isAvoided(now: MonotonicTime): Boolean = now < avoidedUntil

    /** Learns from one request. */
    public fun observe(outcome: ReplicaOutcome, now: MonotonicTime) {
        val failure = if (outcome == ReplicaOutcome.ANSWERED) 0.0 else 1.0
        failureShare += (failure - failureShare) * WEIGHT_OF_NEWEST
        outcomes += 1
        val isGrey = outcomes >= FEWEST_OUTCOMES && failureShare > GREY_SHARE
        when (outcome) {
            ReplicaOutcome.ANSWERED -> if (failureShare < GREY_SHARE / 2) avoidance = FIRST_AVOIDANCE
            ReplicaOutcome.FAILED -> if (isGrey) avoid(now)
            ReplicaOutcome.SILENT -> avoid(now)
        }
    }

    private fun avoid(now: MonotonicTime) {
        if (isAvoided(now)) return
        avoidedUntil = now + avoidance
        avoidance = minOf(avoidance * 2, LONGEST_AVOIDANCE)
    }

    private companion object {
        /** The newest of about six requests counts as much as the five before it. */
        const val WEIGHT_OF_NEWEST = 0.18
        const val FEWEST_OUTCOMES = 3

        /** Plain services fail about one request in seven in ordinary use; above twice that they are grey. */
        const val GREY_SHARE = 0.35
        val FIRST_AVOIDANCE: Duration = 700.milliseconds
        val LONGEST_AVOIDANCE: Duration = 4.seconds
    }
}
