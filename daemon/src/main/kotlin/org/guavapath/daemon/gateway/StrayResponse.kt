package org.guavapath.daemon.gateway

import org.guavapath.core.identity.RequestId
import org.guavapath.platform.wire.ReplicaResponseHead

/** Why what has arrived on a replica's connection is not the response to the pending request. */
internal enum class StrayKind(val label: String) {
    /** The response names a request that had its response on this connection before. */
    REPEATED("repeated"),

    /** The response names no request. */
    UNNAMED("unnamed"),

    /** The response names a request that this connection has not carried. */
    UNKNOWN("unknown"),

    /** The head holds parts of more than one response. */
    AMBIGUOUS("ambiguous"),

    /** It arrived while no request was pending. */
    UNASKED("unasked"),
}

/**
 * A response, or bytes, that a replica has sent beside the response to the pending request.
 *
 * @property expected the pending request, null if there is none or if it is a call of the gateway's own
 * @property head the response's head, null if there is none
 * @property detail what is wrong with the head, null if [kind] tells all
 * @property port the local port of the connection
 * @property carried number of requests that were sent on the connection
 */
internal class StrayResponse(
    val kind: StrayKind,
    val expected: RequestId?,
    val head: ReplicaResponseHead?,
    val detail: String?,
    val port: Int?,
    val carried: Int,
)
