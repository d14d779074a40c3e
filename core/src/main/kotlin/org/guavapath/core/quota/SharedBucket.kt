package org.guavapath.core.quota

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What a request counts as.
 *
 * @property tokens tokens, or 1 where the workspace counts requests
 * @property isPlain whether it is no request to a model
 */
public data class RequestCost(public val tokens: Long, public val isPlain: Boolean)

/**
 * The state of a bucket behind a decision.
 *
 * @property level tokens that may be used, negative while a debt is worked off
 * @property burst tokens that a full bucket holds
 * @property ratePerSecond tokens that the fleet refills in a second
 * @property share part of the rate that this VM uses, below 1 while it does not hear the whole fleet
 */
public data class BucketReading(
    public val level: Long,
    public val burst: Long,
    public val ratePerSecond: Long,
    public val share: Double,
)

/**
 * One workspace's token bucket as one VM sees it: its own admissions at once, those of other VMs as
 * their reports arrive.
 *
 * The bucket may be overdrawn, by one request and by admissions on other VMs that were not reported
 * yet. The debt is worked off before anything is admitted again, so that the long-run rate holds.
 *
 * @param createdAt when the bucket starts
 * @param startsFull whether it starts with the whole burst, otherwise empty
 */
public class SharedBucket(createdAt: MonotonicTime, private val startsFull: Boolean) {
    private var ratePerSecond = 0.0
    private var burst = 0.0
    private var share = 1.0
    private var level = 0.0
    private var refilledAt = createdAt
    private var isConfigured = false
    private val plain = PlainAllowance(createdAt)

    /**
     * Whether the others should hear at once of [untold] tokens on one of [tellers] VMs, whose news are not added up
     * yet. One that knows the sum of all has nothing urgent to tell while the bucket is well filled.
     */
    internal fun isUrgent(untold: Long, tellers: Int): Boolean {
        val isWellFilled = tellers == 1 && level >= burst * WELL_FILLED_SHARE
        return !isWellFilled && untold >= burst * minOf(URGENT_SHARE, ALL_URGENT_SHARE / tellers)
    }

    private val fullLevel: Double get() = burst * maxOf(share, LEAST_BURST_SHARE)

    /** The present state, for the log. */
    internal val reading: BucketReading
        get() = BucketReading(level.toLong(), burst.toLong(), ratePerSecond.toLong(), share)

    /** Whether the workspace has no limit. */
    public val isUnlimited: Boolean get() = ratePerSecond == 0.0

    /** Takes over the workspace's limit; the level keeps its distance from a full bucket. */
    public fun configure(ratePerSecond: Long, burst: Long, now: MonotonicTime) {
        refill(now)
        val before = this.burst
        this.ratePerSecond = ratePerSecond.toDouble()
        this.burst = burst.toDouble()
        level = when {
            !isConfigured -> if (startsFull) this.burst else 0.0
            else -> level + minOf(0.0, this.burst - before)
        }
        isConfigured = true
    }

    /**
     * Uses only [part] of the rate from [now] on, from 0 to 1.
     *
     * Of the burst at least half stays: requests come in lumps, and a small part could hold none of them.
     */
    public fun limitTo(part: Double, now: MonotonicTime) {
        require(part in 0.0..1.0) { "part is $part, allowed is 0 to 1" }
        refill(now)
        share = part
        level = minOf(level, fullLevel)
    }

    /**
     * Admits a request if the bucket holds anything, and returns whether it did.
     *
     * A request is not made to wait until its whole cost is there: small ones would overtake it for ever. Plain
     * ones do not wait until the debt of a prompt is worked off, either, while this VM hears the whole fleet.
     *
     * @param vms number of VMs that share the rate
     */
    public fun admit(cost: RequestCost, vms: Int, now: MonotonicTime): Boolean {
        refill(now)
        plain.refill(ratePerSecond / vms, now)
        val isPlainPassed = cost.isPlain && share == 1.0 && level <= 0 && plain.take(cost.tokens)
        val isAdmitted = isUnlimited || level > 0 || isPlainPassed
        if (isAdmitted && !isUnlimited) level -= cost.tokens
        return isAdmitted
    }

    /** Charges [tokens] that another VM admitted. */
    public fun charge(tokens: Long, now: MonotonicTime) {
        refill(now)
        level = maxOf(level - tokens, -burst * LARGEST_DEBT - tokens)
    }

    /** Gives back [tokens] of an admitted request that did not run. */
    public fun refund(tokens: Long) {
        level = minOf(level + tokens, fullLevel)
    }

    /** Returns how long it takes until a request is admitted if nothing else is. */
    public fun untilOpen(now: MonotonicTime): Duration {
        refill(now)
        val missing = 1.0 - level
        val rate = ratePerSecond * share
        return when {
            missing <= 0 -> 0.milliseconds
            rate == 0.0 -> LONGEST_WAIT
            else -> minOf((missing / rate).seconds, LONGEST_WAIT)
        }
    }

    private fun refill(now: MonotonicTime) {
        if (now <= refilledAt) return
        val seconds = (now - refilledAt) / 1.seconds
        refilledAt = now
        level = minOf(level + ratePerSecond * share * seconds, fullLevel)
    }

    private companion object {
        const val URGENT_SHARE = 0.06
        const val ALL_URGENT_SHARE = 0.5
        const val WELL_FILLED_SHARE = 0.5
        const val LEAST_BURST_SHARE = 0.5

        /** Debt in bursts beyond which reports of other VMs no longer add up: they then describe a fault. */
        const val LARGEST_DEBT = 4.0
        val LONGEST_WAIT = 10.seconds
    }
}
