package org.guavapath.daemon.gateway

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.guavapath.core.fleet.CallerLimits
import org.guavapath.core.results.RequestCode
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal
import java.util.concurrent.TimeUnit

/** Handles the requests of callers' connections. */
internal interface RequestHandler {
    val callerLimits: CallerLimits
    val connections: CallerConnections

    /** Starts serving [request]; returns the exchange to notify of connection events, null if it has ended. */
    fun serve(request: IncomingRequest, sink: ResponseSink): RunningExchange?

    /** Records requests that were read and that the caller has no whole response to. */
    fun leftUnanswered(unanswered: UnansweredRequests)
}

/** A request that is being served. */
internal interface RunningExchange {
    /** How far the request is. */
    val progress: ExchangeProgress

    /** Called when the caller has closed its connection; cancels the work on the request. */
    fun callerDisconnected()

    /** Called when the connection accepts bytes again after backpressure. */
    fun callerWritable()
}

/** One connection of a caller. While a request is served, later ones are read and queued. */
internal class CallerConnection(private val handler: RequestHandler) : SimpleChannelInboundHandler<HttpObject>() {
    private val reader = RequestReader { handler.callerLimits.bodyBytes }
    private var lastActiveAt = MonotonicTime.now()
    private var end = ConnectionEnd.DISCONNECTED
    private lateinit var channel: Channel
    private lateinit var requests: CallerRequests

    override fun channelActive(context: ChannelHandlerContext) {
        channel = context.channel()
        requests = CallerRequests(channel, handler, ::close) { end = ConnectionEnd.LAST_RESPONSE }
        handler.connections.opened(this)
        checkIdle()
    }

    /** Closes the connection if it has no request, complete or partial. */
    fun closeIfIdle() {
        if (requests.isEmpty && !reader.isReading) close(ConnectionEnd.DRAINED)
    }

    /** Records the requests that are unanswered because of [end]. */
    fun report(end: ConnectionEnd) {
        requests.unanswered(end)?.let(handler::leftUnanswered)
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        lastActiveAt = MonotonicTime.now()
        if (requests.isClosing) return
        when (val result = reader.read(message)) {
            is ReadResult.Incomplete -> if (message is HttpRequest && HttpUtil.is100ContinueExpected(message)) {
                channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
            }
            is ReadResult.Complete -> requests.add(result.request)
            is ReadResult.Rejected -> requests.reject(result.refusal)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) requests.writable()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (end == ConnectionEnd.DISCONNECTED || end == ConnectionEnd.LAST_RESPONSE) report(end)
        requests.disconnected()
        handler.connections.closed(this)
    }

    private fun close(reason: ConnectionEnd) {
        end = reason
        report(reason)
        channel.close()
    }

    /** Closes the connection when it has been idle for too long, or when a request arrives too slowly. */
    private fun checkIdle() {
        if (!channel.isOpen) return
        val limits = handler.callerLimits
        val timeout = if (reader.isReading) limits.headerTimeout else limits.idleTimeout
        val idleFor = MonotonicTime.now() - maxOf(lastActiveAt, requests.lastWrittenAt)
        when {
            requests.isServing || idleFor < timeout -> Unit
            reader.isReading -> requests.reject(Refusal(RequestCode.SlowRequest))
            else -> close(ConnectionEnd.IDLE)
        }
        val next = if (!requests.isServing && idleFor < timeout) timeout - idleFor else timeout
        channel.eventLoop().schedule({ checkIdle() }, next.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
    }
}
