package org.guavapath.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPipeline
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime
import org.guavapath.platform.wire.ReplicaResponseHead
import org.guavapath.platform.wire.ResponseCodec
import java.net.InetSocketAddress

/** Receives the response to one request to a replica. All calls are made on the event loop. */
internal interface ReplicaResponseListener {
    /**
     * The request could not be sent; the replica has received no byte of it.
     *
     * @param isOwnDecision whether this gateway did not want to send it any more, which tells nothing about the replica
     */
    fun notSent(reason: String, isOwnDecision: Boolean = false)

    /** The head of the response was received. */
    fun head(head: ReplicaResponseHead, headers: HttpHeaders)

    /** The next bytes of the body were received. */
    fun body(bytes: ByteArray)

    /** The response is complete. */
    fun complete()

    /** The response was cut off or invalid; the replica may have run the request. */
    fun failed(reason: String)
}

/**
 * One connection to a replica, with at most one request at a time.
 *
 * Replicas may send a response again, late, in place of the next one: a response that names a request which had its
 * response on this connection is skipped. Any other response that does not name the pending request fails it: what the
 * replica has answered is unknown then, and so it is if a head holds parts of two responses. The connection is closed if bytes arrive while no request is pending.
 *
 * @param onHead called with the head of each response, also of one that is skipped or was not expected
 * @param onStray called with each response that belongs to another request or to none
 * @param onIdle called when the connection can be used again
 */
internal class ReplicaConnection(
    private val onHead: (ReplicaResponseHead) -> Unit = {},
    private val onStray: (StrayResponse) -> Unit = {},
    private val onIdle: (ReplicaConnection, ReplicaResponseHead) -> Unit,
) : SimpleChannelInboundHandler<Any>() {
    private var decoder: ReplicaResponseDecoder? = null
    private var listener: ReplicaResponseListener? = null
    private var expectedId: RequestId? = null
    private var head: ReplicaResponseHead? = null
    private var isSkipping = false
    private var skippedBytes = 0L
    private var isReusable = true
    private var isWritten = false
    private var failure: String? = null
    private lateinit var channel: Channel

    /** The requests that were sent on this connection. */
    val carried = CarriedRequests()

    /** The local port, which tells connections to one replica apart; null before the connection is open. */
    val port: Int? get() = (channel.localAddress() as? InetSocketAddress)?.port

    /** When the connection became idle; connections that were idle for too long are not reused. */
    var idleSince = MonotonicTime.ZERO

    /** How long the connection may be idle before the replica could close it. */
    var idleTimeout = ReplicaPool.DEFAULT_IDLE_TIMEOUT

    /** Whether the response is read; paused while the caller applies backpressure. */
    var isReading: Boolean
        get() = channel.config().isAutoRead
        set(value) {
            channel.config().isAutoRead = value
        }

    /** Whether the connection is open and no request is running on it. */
    val isIdle: Boolean get() = channel.isActive && listener == null && failure == null

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /** Adds the handlers of an HTTP connection and this one to [pipeline]. */
    fun install(pipeline: ChannelPipeline) {
        pipeline.addLast(HttpRequestEncoder(), this)
    }

    /**
     * Sends [request]; the response must name [id], or no request if it is null.
     *
     * @throws IllegalArgumentException if the connection has carried [id]
     */
    fun send(request: FullHttpRequest, id: RequestId?, listener: ReplicaResponseListener) {
        require(id == null || id !in carried) { "the connection has carried the request $id" }
        this.listener = listener
        expectedId = id
        carried.add(id, request.method())
        val decoder = ReplicaResponseDecoder { carried.wasSentWith(HttpMethod.HEAD, decode(it).request) }
        this.decoder = decoder
        channel.pipeline().addBefore(channel.pipeline().context(this).name(), null, decoder)
        skippedBytes = 0
        isWritten = false
        channel.writeAndFlush(request).addListener { isWritten = it.isSuccess }
    }

    /** Closes the connection, upon which the replica drops the current request; the listener gets no more calls. */
    fun close() {
        listener = null
        channel.close()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: Any) {
        when {
            failure != null -> Unit
            message is HttpObject && listener != null -> read(message)
            else -> {
                val count = (message as? ByteBuf)?.readableBytes() ?: 0
                stray(StrayKind.UNASKED, head = null, "$count bytes")
                fail("received bytes while no request was pending")
            }
        }
    }

    private fun read(message: HttpObject) {
        val decodingError = message.decoderResult().cause()
        val decoded = (message as? HttpResponse)?.takeIf { decodingError == null }?.let(::decode)
        decoded?.let(onHead)
        when {
            decodingError != null -> fail("the answer is not HTTP: ${decodingError.message}")
            skippedBytes > MAX_SKIPPED_BYTES -> fail("more than $MAX_SKIPPED_BYTES bytes of other responses")
            else -> {
                if (message is HttpResponse && decoded != null) readHead(message, decoded)
                if (isSkipping) skippedBytes += (message as? HttpContent)?.content()?.readableBytes() ?: HEAD_BYTES
                if (message is HttpContent) readContent(message)
            }
        }
    }

    private fun decode(response: HttpResponse) =
        ResponseCodec.decode(response.status().code()) { response.headers().getAll(it) }

    private fun readHead(response: HttpResponse, decoded: ReplicaResponseHead) {
        val ambiguity = ResponseCodec.ambiguity(response.status().reasonPhrase(), response.headers())
        if (ambiguity != null) {
            stray(StrayKind.AMBIGUOUS, decoded, ambiguity)
            return fail("the response is ambiguous: $ambiguity")
        }
        if (response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) return fail("the replica switches protocols")
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            isSkipping = true
            return
        }
        val strayKind = if (decoded.request == expectedId) null else strayKind(decoded.request)
        if (strayKind != null) stray(strayKind, decoded)
        isSkipping = strayKind == StrayKind.REPEATED
        if (strayKind != null && !isSkipping) return fail("the response does not name the request: ${strayKind.label}")
        isReusable = isReusable && HttpUtil.isKeepAlive(response) && !isSkipping && isFramed(response.headers())
        if (isSkipping) return
        head = decoded
        listener?.head(decoded, response.headers())
    }

    private fun strayKind(named: RequestId?): StrayKind = when (named) {
        null -> StrayKind.UNNAMED
        in carried -> StrayKind.REPEATED
        else -> StrayKind.UNKNOWN
    }

    private fun stray(kind: StrayKind, head: ReplicaResponseHead?, detail: String? = null) =
        onStray(StrayResponse(kind, expectedId.takeIf { listener != null }, head, detail, port, carried.count))

    private fun readContent(content: HttpContent) {
        val bytes = content.content()
        if (!isSkipping && bytes.isReadable) listener?.body(ByteBufUtil.getBytes(bytes))
        if (content !is LastHttpContent) return
        if (isSkipping) isSkipping = false else if (failure == null) complete()
    }

    private fun complete() {
        val receiver = listener ?: return
        val response = checkNotNull(head)
        listener = null
        head = null
        isReading = true
        removeDecoder()
        if (isReusable && isWritten && failure == null) onIdle(this, response) else channel.close()
        receiver.complete()
    }

    /** Has what arrived behind the response, also half a head, reach this handler undecoded. */
    private fun removeDecoder() {
        decoder?.let { channel.pipeline().remove(it) }
        decoder = null
    }

    private fun fail(reason: String) {
        if (failure != null) return
        failure = reason
        val receiver = listener
        listener = null
        channel.close()
        receiver?.failed(reason)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail("the connection was closed")
    }

    /** Called before the decoder takes the reset of a connection for the end of a response without a length. */
    @Deprecated("Deprecated in Netty for outbound handlers only")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fail(cause.message ?: cause.javaClass.simpleName)
    }

    private companion object {
        /** A replica in trouble may send other responses, or informational ones, without end. */
        const val MAX_SKIPPED_BYTES = 1_048_576L

        /** What a skipped head counts as; most heads are longer. */
        const val HEAD_BYTES = 64
    }
}

/** Whether [headers] tell where the response ends; otherwise it ends when the connection closes. */
internal fun isFramed(headers: HttpHeaders): Boolean =
    headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
        headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true)
