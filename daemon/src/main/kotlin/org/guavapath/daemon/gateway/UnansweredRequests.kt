package org.guavapath.daemon.gateway

/** Why a caller's connection has ended, or is about to. */
internal enum class ConnectionEnd {
    /** The caller or the network closed it. */
    DISCONNECTED,

    /** The gateway broke off a response that had begun. */
    BROKEN_OFF,

    /** It closes after its last response. */
    LAST_RESPONSE,

    /** It had no request for too long. */
    IDLE,

    /** The caller did not read its response for too long. */
    UNREAD,

    /** It had no request while the gateway drains. */
    DRAINED,

    /** The process ends. */
    STOPPED,
}

/**
 * Requests that were read whole, on a connection that ends before the caller has their whole responses.
 *
 * @property requests the one that is being served, if any, then those that wait behind it
 * @property pendingBytes bytes of responses that were not handed to the socket; 0 if the caller closed the connection
 * @property progress how far the request that is being served is, null if none is
 */
internal class UnansweredRequests(
    val end: ConnectionEnd,
    val requests: List<IncomingRequest>,
    val pendingBytes: Long,
    val progress: ExchangeProgress?,
)

/**
 * How far a request is.
 *
 * @property sends number of replicas that it was sent to
 * @property replica identity of the last one, null if there is none
 * @property hasBegun whether a part of the response was relayed
 */
internal class ExchangeProgress(val sends: Int, val replica: String?, val hasBegun: Boolean)
