package org.guavapath.core.limits

import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.minutes

private val LOAN_RETENTION = 15.minutes
private const val MAX_LOANS = 100_000

/** Loans granted by this VM whose tokens may still be returned, oldest first. */
internal class LoanRegistry {
    class Loan(val workspace: WorkspaceName, val tokens: Long, val mark: ChargeMark, val at: MonotonicTime)

    private val loans = LinkedHashMap<LoanId, Loan>()

    /** Returns whether [loan] was granted and is still registered. */
    operator fun contains(loan: LoanId): Boolean = loan in loans

    fun record(id: LoanId, loan: Loan) {
        loans[id] = loan
        if (loans.size > MAX_LOANS) loans.remove(loans.keys.first())
    }

    /** Removes and returns the loan [id], or returns null if it has ended, expired or been evicted. */
    fun end(id: LoanId): Loan? = loans.remove(id)

    /** Removes loans that are too old to be returned. */
    fun expire(now: MonotonicTime) {
        val entries = loans.entries.iterator()
        while (entries.hasNext() && now - entries.next().value.at > LOAN_RETENTION) entries.remove()
    }
}
