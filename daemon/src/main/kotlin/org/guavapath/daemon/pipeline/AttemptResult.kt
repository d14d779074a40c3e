package org.guavapath.daemon.pipeline

import org.guavapath.core.identity.EndpointName
import org.guavapath.core.results.ResultCode

/** How one attempt at an engine ended. */
internal sealed class AttemptResult {
    /** The complete stream was relayed. */
    class Complete(val usage: Usage, val endpoint: EndpointName) : AttemptResult()

    /** The engine did not run the request; another engine may. */
    class NotRun(val reason: String) : AttemptResult()

    /** The attempt failed after the engine may have run the request, in whole or in part. */
    class Failed(val code: ResultCode, val reason: String) : AttemptResult()

    /** The engine rejected the request as invalid. */
    class Rejected(val refusal: Refusal) : AttemptResult()

    /** The caller's key was withdrawn during the attempt. */
    data object KeyWithdrawn : AttemptResult()
}
