package org.guavapath.core.limits

import org.guavapath.core.results.Invariant
import org.guavapath.core.time.MonotonicTime

internal const val NANO_TOKENS_PER_TOKEN = 1_000_000_000L
private const val MILLI_TOKENS_PER_TOKEN = 1_000L
private const val MAX_HEADROOM_MARKS = 1_024

/** Position of a charge in the history of its [TokenBucket], required to refund it. */
@JvmInline
public value class ChargeMark(internal val sequence: Long)

/**
 * A token bucket for one VM's part of a workspace's limit.
 *
 * The bucket fills at its rate up to its burst. A refund has the effect of having charged the smaller amount from the
 * start: tokens that would have overflowed in the meantime are not credited. The tokens used by admitted requests, each
 * counted at its admission, therefore stay at or below burst + rate x length over every interval.
 *
 * Levels are stored in nano-tokens, rates in milli-tokens per second and time in microseconds, so that refilling needs
 * no rounding.
 */
public class TokenBucket(createdAt: MonotonicTime) {
    private class HeadroomMark(val sequence: Long, var nanoTokens: Long)

    private val marks = ArrayDeque<HeadroomMark>()
    private var milliTokensPerSecond = 0L
    private var burstNanoTokens = 0L
    private var levelNanoTokens = 0L
    private var refilledAt = createdAt
    private var nextSequence = 0L

    /** Capacity in whole tokens, rounded down. */
    public val burst: Long get() = burstNanoTokens / NANO_TOKENS_PER_TOKEN

    /** Returns the level at [now] in whole tokens, rounded down; negative after an overdraft. */
    public fun level(now: MonotonicTime): Long {
        refill(now)
        return Math.floorDiv(levelNanoTokens, NANO_TOKENS_PER_TOKEN)
    }

    /**
     * Changes the bucket's part of the workspace's limit to [parts] of [totalParts] from [now] on.
     *
     * A smaller burst caps the level; a larger one keeps it, so that the added capacity fills at the rate.
     */
    public fun resize(limit: WorkspaceLimit, parts: Int, totalParts: Int, now: MonotonicTime) {
        refill(now)
        recordHeadroom()
        milliTokensPerSecond = limit.rate * MILLI_TOKENS_PER_TOKEN * parts / totalParts
        burstNanoTokens = limit.sharedBurst * NANO_TOKENS_PER_TOKEN / totalParts * parts
        levelNanoTokens = minOf(levelNanoTokens, burstNanoTokens)
        recordHeadroom()
    }

    /**
     * Takes [tokens] at [now].
     *
     * @return the position of the charge, or null if the level is below [tokens] and nothing was taken
     */
    public fun take(tokens: Long, now: MonotonicTime): ChargeMark? {
        refill(now)
        val amount = tokens * NANO_TOKENS_PER_TOKEN
        if (amount > levelNanoTokens) return null
        recordHeadroom()
        levelNanoTokens -= amount
        return ChargeMark(nextSequence)
    }

    /** Takes [tokens] at [now], even if the level becomes negative. */
    public fun overdraw(tokens: Long, now: MonotonicTime) {
        refill(now)
        recordHeadroom()
        levelNanoTokens -= tokens * NANO_TOKENS_PER_TOKEN
    }

    /**
     * Refunds [tokens] of the charge at [mark]. A charge must be refunded at most once.
     *
     * Tokens that would have exceeded the burst at any time since the charge are dropped.
     */
    public fun refund(mark: ChargeMark, tokens: Long, now: MonotonicTime) {
        refill(now)
        recordHeadroom()
        val since = marks.filter { it.sequence > mark.sequence }
        val credit = minOf(tokens * NANO_TOKENS_PER_TOKEN, since.first().nanoTokens)
        since.forEach { it.nanoTokens -= credit }
        marks.removeAll { it.sequence <= mark.sequence && it.nanoTokens >= since.first().nanoTokens }
        levelNanoTokens += credit
        Invariant.check("bucket-within-burst", levelNanoTokens <= burstNanoTokens) {
            "level $levelNanoTokens is above burst $burstNanoTokens after a refund of $tokens tokens"
        }
    }

    private fun refill(now: MonotonicTime) {
        if (now <= refilledAt) return
        val missing = burstNanoTokens - levelNanoTokens
        val elapsed = now.microseconds - refilledAt.microseconds
        refilledAt = now
        if (milliTokensPerSecond == 0L || missing <= 0) return
        val timeToFill = missing / milliTokensPerSecond + 1
        levelNanoTokens += minOf(missing, milliTokensPerSecond * minOf(elapsed, timeToFill))
    }

    /** Records the headroom before the level falls. Older marks with at least as much headroom are redundant. */
    private fun recordHeadroom() {
        val headroom = burstNanoTokens - levelNanoTokens
        while (marks.isNotEmpty() && marks.last().nanoTokens >= headroom) marks.removeLast()
        nextSequence += 1
        marks.addLast(HeadroomMark(nextSequence, headroom))
        if (marks.size > MAX_HEADROOM_MARKS) {
            val oldest = marks.removeFirst()
            marks.first().nanoTokens = oldest.nanoTokens
        }
    }
}
