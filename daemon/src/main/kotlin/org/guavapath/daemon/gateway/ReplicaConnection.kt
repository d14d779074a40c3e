package org.guavapath.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPipeline
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime
import org.guavapath.platform.wire.ReplicaResponseHead
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

    /**
     * The replica has ended its side of the connection, and the response, which has no length, with it. [complete] or
     * [failed] follows once it is known whether the connection was reset.
     */
    fun ended() = Unit

    /** The response is complete. */
    fun complete()

    /** The response was cut off or invalid; the replica may have run the request. */
    fun failed(reason: String)
}

/**
 * One connection to a replica, with at most one request at a time.
 *
 * Replicas may send a response again, late, in place of the next one. Bytes that arrive while no request is pending
 * therefore close the connection, and a response that does not name the pending request, or one before, fails it.
 *
 * @param onHead called with the head of each response, also of one to another request
 * @param onStray called with each response that belongs to another request or to none
 * @param onEnded called when the replica has ended its side of the connection and a response with it
 * @param onIdle called when the connection can be used again
 */
internal class ReplicaConnection(
    private val onHead: (ReplicaResponseHead) -> Unit = {},
    private val onStray: (StrayResponse) -> Unit = {},
    private val onEnded: () -> Unit = {},
    private val onIdle: (ReplicaConnection, ReplicaResponseHead) -> Unit,
) : SimpleChannelInboundHandler<Any>() {
    private var decoder: ReplicaResponseDecoder? = null
    private var listener: ReplicaResponseListener? = null
    private var pending: PendingResponse? = null
    private var sent: SentRequest? = null

    /** The response that is being completed, while what follows it is looked at. */
    private var completed: PendingResponse? = null

    /** Whether the response that is being completed ends within another one. */
    private var isJoined = false
    private var isClosed = false
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
    val isIdle: Boolean get() = channel.isActive && listener == null && !isClosed

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /**
     * Sends [request]; the response must name [id], or no request if it is null.
     *
     * @throws IllegalArgumentException if the connection has carried [id]
     */
    fun send(request: FullHttpRequest, id: RequestId?, listener: ReplicaResponseListener) {
        require(id == null || id !in carried) { "the connection has carried the request $id" }
        this.listener = listener
        carried.add(id, request.method())
        pending = PendingResponse(id, carried, listener, Heads(id))
        val decoder = ReplicaResponseDecoder { carried.wasSentWith(HttpMethod.HEAD, it.decode().request) }
        this.decoder = decoder
        channel.pipeline().addBefore(channel.pipeline().context(this).name(), null, decoder)
        sent = SentRequest(channel, request)
    }

    /** Closes the connection, upon which the replica drops the current request; the listener gets no more calls. */
    fun close() {
        isClosed = true
        listener = null
        channel.close()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: Any) {
        val response = pending
        when {
            isClosed -> Unit
            message is HttpObject && response != null -> when (val state = response.read(message)) {
                PendingState.Incomplete -> Unit
                is PendingState.Complete -> {
                    val endsWithConnection = !response.isFramed && channel.isInputEnded
                    if (endsWithConnection) end(response, state.head) else complete(response, state.head)
                }
                is PendingState.Invalid -> fail(state.reason)
            }
            else -> {
                val bytes = ByteBufUtil.getBytes(message as ByteBuf)
                isJoined = completed?.isContinuedBy(bytes) ?: false
                Heads(expected = null).unasked(bytes.size)
                fail("received bytes while no request was pending")
            }
        }
    }

    /** Completes [response], which ended with the replica's side of the connection, unless the connection is reset. */
    private fun end(response: PendingResponse, head: ReplicaResponseHead) {
        val request = sent?.takeIf { it.isWritten }
            ?: return fail("the connection was closed before the request was sent")
        onEnded()
        listener?.ended()
        if (isClosed) return
        request.awaitReset(
            onReset = { if (!isClosed) fail("the connection was reset after its end") },
            onNone = { if (!isClosed) complete(response, head) },
        )
    }

    private fun complete(response: PendingResponse, head: ReplicaResponseHead) {
        val receiver = listener ?: return
        listener = null
        pending = null
        isReading = true
        // What arrived behind the response, also half a head, reaches this handler undecoded.
        completed = response
        decoder?.let { channel.pipeline().remove(it) }
        decoder = null
        completed = null
        if (response.isReusable && sent?.isWritten == true && !isClosed) onIdle(this, head) else close()
        if (isJoined) receiver.failed("the body ends within another response") else receiver.complete()
    }

    private fun fail(reason: String) {
        val receiver = listener
        close()
        receiver?.failed(reason)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (!isClosed) fail("the connection was closed")
    }

    /** Called when the replica has ended its side of the connection, after the decoder has completed a response. */
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        val isEnd = event == ChannelInputShutdownEvent.INSTANCE && sent?.isAwaitingReset != true
        if (isEnd && !isClosed) fail("the connection was closed")
        super.userEventTriggered(context, event)
    }

    /** Called when a read finds the connection reset, before the decoder takes that for the end of a response. */
    @Deprecated("Deprecated in Netty for outbound handlers only")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (!isClosed) fail(cause.message ?: cause.javaClass.simpleName)
    }

    private inner class Heads(private val expected: RequestId?) : HeadListener {
        override fun received(head: ReplicaResponseHead) = onHead(head)

        override fun stray(kind: StrayKind, head: ReplicaResponseHead, detail: String?) =
            onStray(StrayResponse(kind, expected, head, detail, port, carried.count))

        fun unasked(bytes: Int) =
            onStray(StrayResponse(StrayKind.UNASKED, expected, head = null, "$bytes bytes", port, carried.count))
    }
}

/** Adds the handlers of an HTTP connection and this one to [pipeline]. */
internal fun ReplicaConnection.install(pipeline: ChannelPipeline) {
    pipeline.addLast(HttpRequestEncoder(), this)
}

/** Whether [headers] tell where the response ends; otherwise it ends when the connection closes. */
internal fun isFramed(headers: HttpHeaders): Boolean =
    headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
        headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true)
