package org.guavapath.core.limits

import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.time.MonotonicTime

/** The tokens of one loan, borrowed for a request. */
internal class BorrowedPart(val lender: VmId, val loan: LoanId, val tokens: Long)

/** The tokens charged for a request, by bucket. */
internal class Charge(
    val workspace: WorkspaceName,
    val ownMark: ChargeMark?,
    val ownTokens: Long,
    val borrowed: List<BorrowedPart>,
) {
    val total: Long get() = ownTokens + borrowed.sumOf { it.tokens }
}

/** The acquisition of tokens for one request from the local bucket and from other VMs. */
internal class TokenAcquisition(
    val startedAt: MonotonicTime,
    val goal: Long,
    val ownMark: ChargeMark?,
    val ownTokens: Long,
) {
    /** Unanswered asks and their lenders. */
    val pending = mutableMapOf<LoanId, VmId>()
    val borrowed = mutableListOf<BorrowedPart>()
    val asked = mutableSetOf<VmId>()

    val missing: Long get() = goal - ownTokens - borrowed.sumOf { it.tokens }

    /** Whether all tokens have been acquired. */
    val isComplete: Boolean get() = missing <= 0

    fun toCharge(workspace: WorkspaceName): Charge = Charge(workspace, ownMark, ownTokens, borrowed.toList())
}
