package org.guavapath.core.limits

import kotlinx.serialization.Serializable
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName

/**
 * The identifier of one loan of tokens.
 *
 * @property borrower the VM that asked for the loan
 * @property incarnation the run of the borrower's daemon
 * @property sequence the number of the ask within that run
 */
@Serializable
public data class LoanId(
    public val borrower: VmId,
    public val incarnation: Incarnation,
    public val sequence: Long,
)

/** A message between two VMs about the tokens of a workspace. */
@Serializable
public sealed class LimitMessage {
    /**
     * Asks the receiver for tokens for one waiting request.
     *
     * @property loan the identifier of the loan
     * @property workspace the workspace whose tokens are asked for
     * @property tokens how many tokens are asked for
     * @property waitedMilliseconds how long the request has waited
     */
    @Serializable
    public data class LoanAsk(
        public val loan: LoanId,
        public val workspace: WorkspaceName,
        public val tokens: Long,
        public val waitedMilliseconds: Long,
    ) : LimitMessage()

    /**
     * Answers a [LoanAsk]. The lender has already debited the tokens.
     *
     * @property loan the identifier of the loan
     * @property tokens how many tokens were lent; 0 if none
     * @property remaining the lender's level after the loan
     */
    @Serializable
    public data class LoanAnswer(
        public val loan: LoanId,
        public val tokens: Long,
        public val remaining: Long,
    ) : LimitMessage()

    /**
     * Returns unused tokens of a loan. The lender accepts only the first such message for a loan.
     *
     * @property loan the identifier of the loan
     * @property tokens how many tokens are returned
     */
    @Serializable
    public data class HandBack(public val loan: LoanId, public val tokens: Long) : LimitMessage()
}
