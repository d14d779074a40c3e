package org.guavapath.daemon.gateway

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.guavapath.core.fleet.Replica
import org.guavapath.core.identity.RequestId
import org.guavapath.platform.wire.ReplicaInstructions
import org.guavapath.platform.wire.RequestCodec
import kotlin.time.Duration

/**
 * A request as the pool sends it.
 *
 * @property http the request on the wire; the pool releases it
 * @property id the identity that the answer must name, null for calls that are not callers' requests
 * @property freshness longest rest of a kept connection that may carry it
 * @property mostOpen connections that this VM may have open to the replica
 */
internal class ReplicaRequest(
    val replica: Replica,
    val http: FullHttpRequest,
    val id: RequestId?,
    val freshness: Duration,
    val mostOpen: Int,
)

/** Makes requests to replicas. */
internal object ReplicaRequests {
    /** Returns the caller's request [incoming] for a replica: method, target and body as they came. */
    fun forward(incoming: IncomingRequest, instructions: ReplicaInstructions): FullHttpRequest {
        val headers = DefaultHttpHeaders()
        RequestCodec.forReplica(incoming.headers, instructions).forEach { (name, value) -> headers.add(name, value) }
        val hadBody = incoming.headers.contains("Content-Length") || incoming.headers.contains("Transfer-Encoding")
        return request(incoming.method, incoming.target, headers, incoming.body, hadBody)
    }

    /** Returns a call of the gateway's own. */
    fun call(method: HttpMethod, path: String, headers: HttpHeaders, body: ByteArray?): FullHttpRequest =
        request(method, path, headers, body ?: ByteArray(0), hasLength = body != null)

    private fun request(
        method: HttpMethod,
        target: String,
        headers: HttpHeaders,
        body: ByteArray,
        hasLength: Boolean,
    ): FullHttpRequest {
        val trailers = EmptyHttpHeaders.INSTANCE
        val content = Unpooled.wrappedBuffer(body)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, target, content, headers, trailers)
        if (hasLength) HttpUtil.setContentLength(request, body.size.toLong())
        return request
    }
}
