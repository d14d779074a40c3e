package org.guavapath.core.limits

import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val MIN_RETRY_AFTER = 1.seconds
private const val MILLISECONDS_PER_SECOND = 1_000L

/** A request in the queue of its workspace. */
internal class WaitingRequest(val request: AdmissionRequest, val enqueuedAt: MonotonicTime, val deadline: MonotonicTime)

/** One VM's state for one workspace: its bucket, the queue and the acquisition for the head of the queue. */
internal class WorkspaceTokens(val name: WorkspaceName, var limit: WorkspaceLimit, now: MonotonicTime) {
    val slots: List<Int> = SlotTable.slotsFor(name)
    val bucket = TokenBucket(now)
    val queue = ArrayDeque<WaitingRequest>()
    val hints = LenderHints()
    var acquisition: TokenAcquisition? = null
    var retryAt: MonotonicTime = now
    private var usableParts = 0
    private var lenders = emptyMap<VmId, Int>()

    /** Sets this VM's usable slots and takes the other owners from [table]. */
    fun updateSlots(usable: Set<Int>, table: SlotTable, self: VmId, now: MonotonicTime) {
        usableParts = slots.count { it in usable }
        lenders = slots.mapNotNull { table.owners[it] }.filter { it != self }.groupingBy { it }.eachCount()
        bucket.resize(limit, usableParts, SLOTS_PER_WORKSPACE, now)
    }

    fun changeLimit(changed: WorkspaceLimit, now: MonotonicTime) {
        limit = changed
        bucket.resize(changed, usableParts, SLOTS_PER_WORKSPACE, now)
    }

    /** Whether an acquisition for the first queued request is in progress or may start at [now]. */
    fun canStart(now: MonotonicTime): Boolean = queue.isNotEmpty() && (acquisition != null || now >= retryAt)

    /** Returns the time in which the workspace's rate yields the tokens of the queue and [more] tokens. */
    fun refillTime(more: Long): Duration {
        val waiting = queue.sumOf { it.request.tokens } + more
        return (waiting * MILLISECONDS_PER_SECOND / limit.rate).milliseconds
    }

    /** Returns the verdict if [request] is refused without waiting, or null. */
    fun immediateRefusal(request: AdmissionRequest, maxWait: Duration): AdmissionVerdict? = when {
        request.tokens > limit.sharedBurst -> AdmissionVerdict.LargerThanBurst(limit.sharedBurst)
        refillTime(0) > maxWait -> rateExceeded(request.tokens)
        else -> null
    }

    fun rateExceeded(tokens: Long): AdmissionVerdict =
        AdmissionVerdict.RateExceeded(refillTime(tokens).coerceAtLeast(MIN_RETRY_AFTER))

    /** Returns the VMs to ask next for [tokens], highest estimate first, with the amount to ask of each. */
    fun lendersFor(tokens: Long, except: Set<VmId>, now: MonotonicTime): List<LenderAsk> {
        var missing = tokens
        return lenders.entries
            .filter { it.key !in except }
            .map { LenderAsk(it.key, hints.estimate(it.key, it.value, limit, now)) }
            .filter { it.tokens > 0 }
            .sortedWith(compareByDescending<LenderAsk> { it.tokens }.thenBy { it.lender })
            .mapNotNull { candidate ->
                val amount = minOf(candidate.tokens, missing)
                missing -= amount
                candidate.copy(tokens = amount).takeIf { amount > 0 }
            }
    }
}

/** An amount to ask of one VM. */
internal data class LenderAsk(val lender: VmId, val tokens: Long)
