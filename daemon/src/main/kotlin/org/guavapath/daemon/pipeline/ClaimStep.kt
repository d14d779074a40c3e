package org.guavapath.daemon.pipeline

import org.guavapath.core.operations.OperationClaim
import org.guavapath.core.results.RunOutcome
import org.guavapath.daemon.operations.ClaimResult
import org.guavapath.daemon.operations.ClaimStore

private const val IDEMPOTENCY_HEADER = "Idempotency-Key"

/** Runs a non-repeatable request that has an idempotency key only under a claim on that key. */
internal class ClaimStep(private val claims: ClaimStore) {
    /** Runs [dispatch], under a claim if the request needs one, and records the outcome in the claim. */
    suspend fun run(routed: RoutedRequest, dispatch: suspend () -> DispatchResult): DispatchResult {
        val key = routed.request.header(IDEMPOTENCY_HEADER)
        if (key == null || routed.route.repeatable) return dispatch()
        val name = OperationClaim.objectName(routed.key?.workspace ?: OPEN_WORKSPACE, key)
        return when (val result = claims.claim(name, routed.request.id.text)) {
            is ClaimResult.Refused -> DispatchResult.Failed(Refusal(result.code), usedTokens = 0)
            is ClaimResult.Held -> dispatch().also { record(result, it) }
        }
    }

    private suspend fun record(held: ClaimResult.Held, result: DispatchResult) = when (result) {
        is DispatchResult.Served -> claims.markDone(held)
        is DispatchResult.Failed ->
            if (result.refusal.code.outcome == RunOutcome.NOT_RUN) claims.release(held) else Unit
    }
}
