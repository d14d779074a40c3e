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

/** Requests that may wait on one connection behind the one that is served. */
private const val LONGEST_BACKLOG = 8

/** What a caller's connection needs from the gateway. */
internal interface FrontDoor {
    val callerLimits: CallerLimits
    val isDraining: Boolean

    /** Serves [request]; the returned exchange is told when the caller leaves, null if it has ended already. */
    fun serve(request: IncomingRequest, sink: AnswerSink): RunningExchange?

    fun opened(connection: CallerConnection)

    fun closed(connection: CallerConnection)
}

/** A request that is being served. */
internal interface RunningExchange {
    /** The caller closed its connection; work for it stops. */
    fun callerLeft()

    /** The caller takes bytes again after it was slow. */
    fun writable()
}

/** One connection of a caller: requests are served one after the other, and reading goes on meanwhile. */
internal class CallerConnection(private val door: FrontDoor) : SimpleChannelInboundHandler<HttpObject>() {
    private val reader = RequestReader { door.callerLimits.bodyBytes }
    private val backlog = ArrayDeque<IncomingRequest>()
    private var serving: IncomingRequest? = null
    private var exchange: RunningExchange? = null
    private var activeAt = MonotonicTime.now()
    private var isClosing = false
    private lateinit var channel: Channel
    private lateinit var writer: AnswerWriter

    override fun channelActive(context: ChannelHandlerContext) {
        channel = context.channel()
        writer = AnswerWriter(channel, ::endsConnection, ::finished)
        door.opened(this)
        watchRest()
    }

    /** Closes the connection if no request is on it. */
    fun closeIfIdle() {
        if (serving == null && !reader.isReading && backlog.isEmpty()) channel.close()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        activeAt = MonotonicTime.now()
        if (isClosing) return
        when (val step = reader.read(message)) {
            is ReadStep.Partial -> if (message is HttpRequest && HttpUtil.is100ContinueExpected(message)) {
                channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
            }
            is ReadStep.Whole -> {
                backlog.addLast(step.request)
                channel.config().isAutoRead = backlog.size <= LONGEST_BACKLOG
                serveNext()
            }
            is ReadStep.Unreadable -> endWith(step.refusal)
        }
    }

    private fun serveNext() {
        if (serving != null || isClosing) return
        val next = backlog.removeFirstOrNull() ?: return
        channel.config().isAutoRead = true
        serving = next
        val started = door.serve(next, writer)
        if (serving === next) exchange = started
    }

    /** Refuses what cannot be read and ends the connection, after the answer under way if there is one. */
    private fun endWith(refusal: Refusal) {
        isClosing = true
        if (serving == null) writer.refuse(refusal, id = null)
    }

    private fun endsConnection() = isClosing || door.isDraining || serving?.keepsConnection == false

    private fun finished(endsConnection: Boolean) {
        serving = null
        exchange = null
        activeAt = MonotonicTime.now()
        if (endsConnection) isClosing = true else channel.eventLoop().execute { serveNext() }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) exchange?.writable()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isClosing = true
        exchange?.callerLeft()
        exchange = null
        door.closed(this)
    }

    /** Ends the connection when it rested too long, or when a request arrives too slowly. */
    private fun watchRest() {
        if (!channel.isOpen) return
        val limits = door.callerLimits
        val limit = if (reader.isReading) limits.headerTimeout else limits.idleTimeout
        val rested = MonotonicTime.now() - activeAt
        when {
            serving != null || rested < limit -> Unit
            reader.isReading -> endWith(Refusal(RequestCode.SlowRequest))
            else -> channel.close()
        }
        val next = if (serving == null && rested < limit) limit - rested else limit
        channel.eventLoop().schedule({ watchRest() }, next.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
    }
}
