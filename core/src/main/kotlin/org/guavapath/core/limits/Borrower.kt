package org.guavapath.core.limits

import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

private val MIN_RETRY_DELAY = 10.milliseconds
private val MAX_RETRY_DELAY = 500.milliseconds
private val ABANDONED_LOAN_RETENTION = 1.minutes
private const val MILLISECONDS_PER_SECOND = 1_000L

/**
 * The borrowing side of one VM: acquires tokens for the first queued request of a workspace.
 *
 * Acquired tokens are either used within [ADMISSION_SPAN] or handed back. A loan that arrives after its acquisition
 * ended is handed back once; duplicate answers are ignored.
 */
internal class Borrower(private val self: VmId, private val incarnation: Incarnation) {
    private val workspacesByLoan = mutableMapOf<LoanId, WorkspaceTokens>()
    private val abandoned = LinkedHashMap<LoanId, MonotonicTime>()
    private var nextLoan = 0L

    /** Starts an acquisition for the first request of [tokens], taking as much as possible from the local bucket. */
    fun start(tokens: WorkspaceTokens, now: MonotonicTime): List<LimitEffect> {
        val goal = tokens.queue.first().request.tokens
        val ownTokens = minOf(goal, maxOf(0, tokens.bucket.level(now)))
        val mark = if (ownTokens > 0) tokens.bucket.take(ownTokens, now) else null
        val acquisition = TokenAcquisition(now, goal, mark, ownTokens)
        tokens.acquisition = acquisition
        return askForMissing(tokens, acquisition, now)
    }

    /** Handles a lender's answer, and asks further lenders if tokens are still missing. */
    fun accept(from: VmId, answer: LimitMessage.LoanAnswer, now: MonotonicTime): List<LimitEffect> {
        val tokens = workspacesByLoan.remove(answer.loan)
        val acquisition = tokens?.acquisition
        val isExpected = acquisition?.pending?.remove(answer.loan) != null
        if (tokens == null || acquisition == null || !isExpected) return handBackLate(from, answer)
        tokens.hints.record(from, answer.remaining, now)
        if (answer.tokens > 0) acquisition.borrowed += BorrowedPart(from, answer.loan, answer.tokens)
        return if (acquisition.pending.isEmpty()) askForMissing(tokens, acquisition, now) else emptyList()
    }

    /** Fails the acquisition of [tokens] and schedules a retry without the lenders that did not answer. */
    fun failAcquisition(tokens: WorkspaceTokens, now: MonotonicTime): List<LimitEffect> {
        val missing = tokens.acquisition?.missing ?: 0
        tokens.acquisition?.pending?.values?.forEach { tokens.hints.recordTimeout(it, now) }
        val refillTime = (missing * MILLISECONDS_PER_SECOND / tokens.limit.rate).milliseconds
        tokens.retryAt = now + refillTime.coerceIn(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
        return stop(tokens, now)
    }

    /** Ends the acquisition of [tokens], if there is one, and hands back all of its tokens. */
    fun stop(tokens: WorkspaceTokens, now: MonotonicTime): List<LimitEffect> {
        val acquisition = tokens.acquisition ?: return emptyList()
        tokens.acquisition = null
        acquisition.pending.keys.forEach { loan ->
            workspacesByLoan.remove(loan)
            abandoned[loan] = now
        }
        acquisition.ownMark?.let { tokens.bucket.refund(it, acquisition.ownTokens, now) }
        return handBack(acquisition.borrowed, acquisition.borrowed.sumOf { it.tokens })
    }

    /** Returns the messages that hand back [tokens] of [parts]. */
    fun handBack(parts: List<BorrowedPart>, tokens: Long): List<LimitEffect> {
        var left = tokens
        return parts.mapNotNull { part ->
            val amount = minOf(left, part.tokens)
            left -= amount
            LimitEffect.Send(part.lender, LimitMessage.HandBack(part.loan, amount)).takeIf { amount > 0 }
        }
    }

    /** Refuses the queued requests of [tokens] whose deadline has passed. */
    fun expireWaiting(tokens: WorkspaceTokens, now: MonotonicTime): List<LimitEffect> {
        val effects = mutableListOf<LimitEffect>()
        while (tokens.queue.isNotEmpty() && now >= tokens.queue.first().deadline) {
            effects += stop(tokens, now)
            val request = tokens.queue.removeFirst().request
            effects += LimitEffect.Decide(request.id, tokens.rateExceeded(request.tokens))
        }
        return effects
    }

    fun expire(now: MonotonicTime) {
        abandoned.values.removeIf { now - it > ABANDONED_LOAN_RETENTION }
    }

    private fun askForMissing(
        tokens: WorkspaceTokens,
        acquisition: TokenAcquisition,
        now: MonotonicTime,
    ): List<LimitEffect> {
        val asks = tokens.lendersFor(acquisition.missing, acquisition.asked, now)
        val waited = (now - tokens.queue.first().enqueuedAt).inWholeMilliseconds
        return when {
            acquisition.isComplete -> emptyList()
            asks.sumOf { it.tokens } < acquisition.missing -> failAcquisition(tokens, now)
            else -> asks.map { ask(tokens, acquisition, it, waited) }
        }
    }

    private fun ask(tokens: WorkspaceTokens, acquisition: TokenAcquisition, ask: LenderAsk, waited: Long): LimitEffect {
        nextLoan += 1
        val loan = LoanId(self, incarnation, nextLoan)
        acquisition.pending[loan] = ask.lender
        acquisition.asked += ask.lender
        workspacesByLoan[loan] = tokens
        return LimitEffect.Send(ask.lender, LimitMessage.LoanAsk(loan, tokens.name, ask.tokens, waited))
    }

    private fun handBackLate(from: VmId, answer: LimitMessage.LoanAnswer): List<LimitEffect> {
        val isExpected = abandoned.remove(answer.loan) != null
        if (!isExpected || answer.tokens == 0L) return emptyList()
        return listOf(LimitEffect.Send(from, LimitMessage.HandBack(answer.loan, answer.tokens)))
    }
}
