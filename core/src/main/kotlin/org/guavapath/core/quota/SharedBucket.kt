package org.guavapath.core.quota

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The cost of a request.
 *
 * @property tokens number of tokens, or 1 where the workspace counts requests
 * @property isPlain whether the request is not addressed to a model
 */
public data class RequestCost(public val tokens: Long, public val isPlain: Boolean)

/**
 * The state of a bucket at the time of a decision.
 *
 * @property level available tokens, negative while the bucket is overdrawn
 * @property burst capacity of the bucket in tokens
 * @property ratePerSecond tokens per second of the whole fleet
 * @property share share of the rate that this VM uses, below 1 while parts of the fleet are unreachable
 */
public data class BucketReading(
    public val level: Long,
    public val burst: Long,
    public val ratePerSecond: Long,
    public val share: Double,
)

/**
 * One VM's copy of a workspace's token bucket, charged with this VM's admissions at once and with those of other VMs
 * as their reports arrive.
 *
 * The bucket may be overdrawn by one request and by unreported admissions on other VMs. It has to be refilled
 * above zero before further requests are admitted, so that the long-run rate holds.
 *
 * @param createdAt when the bucket starts to fill
 * @param startsFull whether it starts with the whole burst, otherwise empty
 */
public class SharedBucket(createdAt: MonotonicTime, private val startsFull: Boolean) {
    private var ratePerSecond = 0.0
    private var burst = 0.0
    private var share = 1.0
    private var level = 0.0
    private var refilledAt = createdAt
    private var isConfigured = false
    private val plainAllowance = PlainAllowance(createdAt)

    /**
     * Whether [unreported] tokens have to be reported at once by one of [reporters] VMs, whose unreported tokens add
     * up. A single reporter, which knows the sum of all, reports nothing urgently while the bucket is well filled.
     */
    internal fun isUrgent(unreported: Long, reporters: Int): Boolean {
        val isWellFilled = reporters == 1 && level >= burst * WELL_FILLED_SHARE
        return !isWellFilled && unreported >= burst * minOf(URGENT_SHARE, TOTAL_URGENT_SHARE / reporters)
    }

    private val fullLevel: Double get() = burst * maxOf(share, MIN_BURST_SHARE)

    /** The current state, for the log. */
    internal val reading: BucketReading
        get() = BucketReading(level.toLong(), burst.toLong(), ratePerSecond.toLong(), share)

    /** Whether the workspace has no limit. */
    public val isUnlimited: Boolean get() = ratePerSecond == 0.0

    /** Applies the workspace's limit. A smaller burst lowers the level by the difference; a larger one keeps it. */
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
     * Uses only [rateShare] of the rate from [now] on.
     *
     * At least half of the burst remains: requests arrive in groups, which a smaller capacity could not admit.
     *
     * @throws IllegalArgumentException if [rateShare] is not between 0 and 1
     */
    public fun setRateShare(rateShare: Double, now: MonotonicTime) {
        require(rateShare in 0.0..1.0) { "rate share is $rateShare, but must be between 0 and 1" }
        refill(now)
        share = rateShare
        level = minOf(level, fullLevel)
    }

    /**
     * Admits a request if the level is positive, and returns whether it did.
     *
     * A request does not have to wait for its whole cost, because smaller requests would overtake it forever. While
     * the whole fleet is reachable, plain requests pass through their own allowance even if the bucket is overdrawn.
     *
     * @param vms number of VMs that share the rate
     */
    public fun admit(cost: RequestCost, vms: Int, now: MonotonicTime): Boolean {
        refill(now)
        plainAllowance.refill(ratePerSecond / vms, now)
        val isWithinPlainAllowance = cost.isPlain && share == 1.0 && level <= 0 && plainAllowance.take(cost.tokens)
        val isAdmitted = isUnlimited || level > 0 || isWithinPlainAllowance
        if (isAdmitted && !isUnlimited) level -= cost.tokens
        return isAdmitted
    }

    /** Charges [tokens] that another VM admitted. */
    public fun charge(tokens: Long, now: MonotonicTime) {
        refill(now)
        level = maxOf(level - tokens, -burst * MAX_DEBT - tokens)
    }

    /** Refunds [tokens] of an admitted request that did not run. */
    public fun refund(tokens: Long) {
        level = minOf(level + tokens, fullLevel)
    }

    /** Returns the time until a request is admitted if no other is admitted before. */
    public fun timeUntilAdmission(now: MonotonicTime): Duration {
        refill(now)
        val missing = 1.0 - level
        val rate = ratePerSecond * share
        return when {
            missing <= 0 -> 0.milliseconds
            rate == 0.0 -> MAX_WAIT
            else -> minOf((missing / rate).seconds, MAX_WAIT)
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
        const val TOTAL_URGENT_SHARE = 0.5
        const val WELL_FILLED_SHARE = 0.5
        const val MIN_BURST_SHARE = 0.5

        /** Debt in bursts beyond which reports of other VMs no longer accumulate, as they then indicate a fault. */
        const val MAX_DEBT = 4.0
        val MAX_WAIT = 10.seconds
    }
}
