package org.guavapath.daemon.gateway

import io.netty.buffer.ByteBuf
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

/** Which connections may carry a request. */
internal sealed class ConnectionChoice {
    /** A new one, which carries no other request after it. */
    data object New : ConnectionChoice()

    /** One that was idle for no longer than [maxIdle], or a new one. */
    class Pooled(val maxIdle: Duration) : ConnectionChoice()
}

/**
 * A request to a replica.
 *
 * @property http the HTTP request; released by the pool
 * @property id the request id that the response must name, null for the gateway's own calls
 * @property connection which connections may carry it
 * @property maxConnections limit of connections that this VM opens to the replica
 * @property refusal returns why the request should not be sent any more, null if it should; asked once, right before it
 *   is sent
 */
internal class ReplicaRequest(
    val replica: Replica,
    val http: FullHttpRequest,
    val id: RequestId?,
    val connection: ConnectionChoice,
    val maxConnections: Int,
    val refusal: () -> String? = { null },
)

/** Creates HTTP requests to replicas. */
internal object ReplicaRequests {
    /** Returns the caller's request [incoming] for a replica: method, target and body as received. */
    fun forward(incoming: IncomingRequest, instructions: ReplicaInstructions): FullHttpRequest {
        val headers = DefaultHttpHeaders()
        RequestCodec.forReplica(incoming.headers, instructions).forEach { (name, value) -> headers.add(name, value) }
        val hadBody = incoming.headers.contains("Content-Length") || incoming.headers.contains("Transfer-Encoding")
        return request(incoming.method, incoming.target, headers, incoming.body.content(), hadBody)
    }

    /** Returns one of the gateway's own calls. */
    fun call(method: HttpMethod, path: String, headers: HttpHeaders, body: ByteArray?): FullHttpRequest =
        request(method, path, headers, Unpooled.wrappedBuffer(body ?: ByteArray(0)), hasLength = body != null)

    private fun request(
        method: HttpMethod,
        target: String,
        headers: HttpHeaders,
        content: ByteBuf,
        hasLength: Boolean,
    ): FullHttpRequest {
        val trailers = EmptyHttpHeaders.INSTANCE
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, target, content, headers, trailers)
        if (hasLength) HttpUtil.setContentLength(request, content.readableBytes().toLong())
        return request
    }
}
