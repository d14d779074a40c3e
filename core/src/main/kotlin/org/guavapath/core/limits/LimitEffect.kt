package org.guavapath.core.limits

import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName
import kotlin.time.Duration

/**
 * A request to be admitted.
 *
 * @property id the identifier of the request, unique within one run of the daemon
 * @property workspace the workspace whose tokens the request uses
 * @property tokens the cost of the request: the tokens of the prompt and of the largest output
 */
public data class AdmissionRequest(
    public val id: RequestId,
    public val workspace: WorkspaceName,
    public val tokens: Long,
)

/** The verdict on an [AdmissionRequest]. */
public sealed class AdmissionVerdict {
    /** The request may run; its tokens are charged. */
    public data object Admitted : AdmissionVerdict()

    /** The workspace is short of tokens; they may suffice after [retryAfter]. */
    public data class RateExceeded(public val retryAfter: Duration) : AdmissionVerdict()

    /** The request can never run, as it costs more than [usableBurst] tokens. */
    public data class LargerThanBurst(public val usableBurst: Long) : AdmissionVerdict()

    /** The workspace is not configured on this VM. */
    public data object WorkspaceUnknown : AdmissionVerdict()
}

/** An action requested by [WorkspaceLimiter], to be performed by the code that drives it. */
public sealed class LimitEffect {
    /** Send [message] to the VM [to]; it may be lost. */
    public data class Send(public val to: VmId, public val message: LimitMessage) : LimitEffect()

    /** Complete the admission of [request] with [verdict]. */
    public data class Decide(public val request: RequestId, public val verdict: AdmissionVerdict) : LimitEffect()
}
