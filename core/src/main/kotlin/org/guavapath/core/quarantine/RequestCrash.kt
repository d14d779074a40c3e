package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime

/**
 * A replica crashed while it had a request.
 *
 * @property key the whole request
 * @property incarnation the run of the replica that ended
 * @property request id of the caller's attempt
 * @property at when it crashed
 * @property depth number of crashes in a row with this request; replicas that are lost at one moment count once
 */
public data class RequestCrash(
    public val key: RequestKey,
    public val incarnation: ReplicaIncarnation,
    public val request: RequestId,
    public val at: MonotonicTime,
    public val depth: Int,
) {
    init {
        require(depth > 0) { "the depth is $depth" }
    }
}
