package org.guavapath.core.quota

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/**
 * A part of a workspace's rate that only plain requests use, on one VM, while the workspace is in debt.
 *
 * Plain requests count as a few tokens, prompts as thousands. What the plain ones use adds to the debt, so that the
 * rate of all requests together stays the same.
 */
internal class PlainAllowance(createdAt: MonotonicTime) {
    private var level = 0.0
    private var refilledAt = createdAt

    /** Adds what came in since the last call; [ratePerSecond] is this VM's part of the workspace's rate. */
    fun refill(ratePerSecond: Double, now: MonotonicTime) {
        if (now <= refilledAt) return
        val own = ratePerSecond * PLAIN_SHARE
        level = minOf(level + own * ((now - refilledAt) / 1.seconds), own * LONGEST_SAVING)
        refilledAt = now
    }

    /** Uses [tokens] of the allowance if it holds them; returns whether it did. */
    fun take(tokens: Long): Boolean {
        val isTaken = tokens <= level
        if (isTaken) level -= tokens
        return isTaken
    }

    private companion object {
        /** Leaves three quarters of the rate to prompts. */
        const val PLAIN_SHARE = 0.25

        /** Seconds for which an unused allowance adds up; on one of 85 VMs it then covers a request of 200 tokens. */
        const val LONGEST_SAVING = 4.0
    }
}
