package org.guavapath.daemon.pipeline

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.limits.AdmissionRequest
import org.guavapath.core.limits.AdmissionVerdict
import org.guavapath.core.results.IdentityCode
import org.guavapath.core.results.LimitCode
import org.guavapath.daemon.limits.LimitsTask
import org.guavapath.daemon.limits.LimitsTaskMessage

/** The charge for a request; [workspace] is null on open routes, which are not limited. */
internal class RequestCharge(val id: RequestId, val workspace: WorkspaceName?, val tokens: Long)

/** Charges a request to its workspace before it runs, or refuses it if the workspace's limits don't allow it. */
internal class AdmissionFilter(private val limits: LimitsTask) : Filter<RequestCharge, RequestCharge> {
    override suspend fun apply(input: RequestCharge): Result<RequestCharge, Refusal> {
        val workspace = input.workspace ?: return Ok(input)
        return when (val verdict = limits.admit(AdmissionRequest(input.id, workspace, input.tokens))) {
            AdmissionVerdict.Admitted -> Ok(input)
            AdmissionVerdict.WorkspaceUnknown -> Err(Refusal(IdentityCode.KeyUnknown))
            is AdmissionVerdict.RateExceeded -> Err(Refusal(LimitCode.RateExceeded, retryAfter = verdict.retryAfter))
            is AdmissionVerdict.LargerThanBurst -> Err(
                Refusal(
                    LimitCode.LargerThanBurst,
                    "The request needs ${input.tokens} tokens; the workspace's burst allows ${verdict.usableBurst}.",
                ),
            )
        }
    }

    /** Returns the tokens that the request did not use. Idempotent. */
    suspend fun settle(charge: RequestCharge, usedTokens: Long) {
        if (charge.workspace != null) limits.send(LimitsTaskMessage.Settle(charge.id, usedTokens))
    }
}
