package org.guavapath.core.quota

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/**
 * The part of a workspace's rate that is reserved on one VM for plain requests while the bucket is overdrawn.
 *
 * Plain requests cost a few tokens, prompts thousands. The tokens used here add to the bucket's debt, so that the
 * rate of all requests together stays the same.
 */
internal class PlainAllowance(createdAt: MonotonicTime) {
    private var level = 0.0
    private var refilledAt = createdAt

    /** Refills the allowance for the time since the last call; [ratePerSecond] is this VM's part of the rate. */
    fun refill(ratePerSecond: Double, now: MonotonicTime) {
        if (now <= refilledAt) return
        val refillRate = ratePerSecond * PLAIN_SHARE
        level = minOf(level + refillRate * ((now - refilledAt) / 1.seconds), refillRate * CAPACITY_SECONDS)
        refilledAt = now
    }

    /** Takes [tokens] and returns true, or returns false if the allowance holds fewer. */
    fun take(tokens: Long): Boolean {
        val isTaken = tokens <= level
        if (isTaken) level -= tokens
        return isTaken
    }

    private companion object {
        /** Leaves three quarters of the rate to prompts. */
        const val PLAIN_SHARE = 0.25

        /** Seconds of refill that a full allowance holds; on one of 85 VMs this covers a request of 200 tokens. */
        const val CAPACITY_SECONDS = 4.0
    }
}
