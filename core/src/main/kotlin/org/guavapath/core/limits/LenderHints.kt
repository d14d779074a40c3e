package org.guavapath.core.limits

import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private val LENDER_TIMEOUT_PENALTY = 2.seconds

/** Estimates of what other VMs can lend of one workspace's tokens, from their latest answers. */
internal class LenderHints {
    private class Hint(val tokens: Long, val at: MonotonicTime)

    private val hints = mutableMapOf<VmId, Hint>()
    private val avoidUntil = mutableMapOf<VmId, MonotonicTime>()

    fun record(lender: VmId, remaining: Long, now: MonotonicTime) {
        hints[lender] = Hint(remaining, now)
        avoidUntil.remove(lender)
    }

    /** Records that [lender] did not answer in time, so that it is not asked for a while. */
    fun recordTimeout(lender: VmId, now: MonotonicTime) {
        avoidUntil[lender] = now + LENDER_TIMEOUT_PENALTY
    }

    /** Estimates how many tokens [lender], which owns [parts] of the slots, can lend. */
    fun estimate(lender: VmId, parts: Int, limit: WorkspaceLimit, now: MonotonicTime): Long {
        val burst = limit.sharedBurst * parts / SLOTS_PER_WORKSPACE
        val hint = hints[lender]
        val avoided = avoidUntil[lender]
        return when {
            avoided != null && now < avoided -> 0
            hint == null -> burst
            else -> minOf(burst, hint.tokens + refill(parts, limit, now - hint.at))
        }
    }

    private fun refill(parts: Int, limit: WorkspaceLimit, elapsed: Duration): Long {
        val rate = limit.rate.toDouble() * parts / SLOTS_PER_WORKSPACE
        return (rate * elapsed.toDouble(DurationUnit.SECONDS)).toLong()
    }
}
