package org.guavapath.core.limits

import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.time.MonotonicTime

/** The lending side of one VM: debits its buckets for other VMs and refunds unused tokens. */
internal class Lender {
    private val granted = LoanRegistry()

    /** Answers [ask]; [tokens] is this VM's state of the workspace, or null if it is not configured. */
    fun lend(from: VmId, ask: LimitMessage.LoanAsk, tokens: WorkspaceTokens?, now: MonotonicTime): List<LimitEffect> {
        if (ask.loan in granted) return emptyList()
        val lent = tokens?.let { debit(it, ask, now) } ?: 0
        val remaining = maxOf(0, tokens?.bucket?.level(now) ?: 0)
        return listOf(LimitEffect.Send(from, LimitMessage.LoanAnswer(ask.loan, lent, remaining)))
    }

    /** Refunds a loan, at most once, and returns the workspace whose bucket changed, or null. */
    fun acceptHandBack(
        message: LimitMessage.HandBack,
        workspaces: Map<WorkspaceName, WorkspaceTokens>,
        now: MonotonicTime,
    ): WorkspaceTokens? {
        val loan = granted.end(message.loan)
        val tokens = workspaces[loan?.workspace]
        if (loan != null) tokens?.bucket?.refund(loan.mark, minOf(message.tokens, loan.tokens), now)
        return tokens
    }

    fun expire(now: MonotonicTime) = granted.expire(now)

    private fun debit(tokens: WorkspaceTokens, ask: LimitMessage.LoanAsk, now: MonotonicTime): Long {
        val amount = lendable(tokens, ask, now)
        val mark = if (amount > 0) tokens.bucket.take(amount, now) else null
        if (mark == null) return 0
        granted.record(ask.loan, LoanRegistry.Loan(ask.workspace, amount, mark, now))
        return amount
    }

    /** Returns the tokens to lend; 0 if this VM's own first request has waited longer than the borrower's. */
    private fun lendable(tokens: WorkspaceTokens, ask: LimitMessage.LoanAsk, now: MonotonicTime): Long {
        val ownWaited = tokens.queue.firstOrNull()?.let { (now - it.enqueuedAt).inWholeMilliseconds } ?: -1
        return if (ownWaited > ask.waitedMilliseconds) 0 else minOf(ask.tokens, tokens.bucket.level(now))
    }
}
