package org.guavapath.daemon.gateway

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.HttpObject
import org.guavapath.core.fleet.CallerLimits
import org.guavapath.core.memory.BodyBudget
import org.guavapath.core.results.ProgramCode
import org.guavapath.daemon.pipeline.Refusal
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Handles the requests of callers' connections. */
internal interface RequestHandler {
    val callerLimits: CallerLimits
    val connections: CallerConnections

    /** Counts the bodies of requests. */
    val bodies: BodyBudget

    /** Starts serving [request]; returns the exchange to notify of connection events, null if it has ended. */
    fun serve(request: IncomingRequest, sink: ResponseSink): RunningExchange?

    /** Records a failure of this program while it read or served requests. */
    fun failed(cause: Throwable)

    /** Records that [request], whose body there is no room for, is refused. */
    fun refusedUnread(request: IncomingRequest, refusal: Refusal)

    /** Records requests that were read and that the caller has no whole response to. */
    fun leftUnanswered(unanswered: UnansweredRequests)

    /** Records a [write] that was not made as it does not fit the [state] of the response to [request]. */
    fun misplacedWrite(request: IncomingRequest?, write: String, state: ResponseState)
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
    private var end = ConnectionEnd.DISCONNECTED
    private lateinit var channel: Channel
    private lateinit var requests: CallerRequests
    private lateinit var intake: RequestIntake
    private lateinit var idleness: IdleWatch

    override fun channelActive(context: ChannelHandlerContext) {
        channel = context.channel()
        val pauses = ReadingPauses(channel)
        requests = CallerRequests(channel, handler, pauses, ::close, ::closeAfterLastResponse)
        intake = RequestIntake(channel, handler, requests, pauses, { idleness.active() }, ::failed)
        idleness = IdleWatch(channel, handler, intake, requests, ::close)
        handler.connections.opened(this)
        idleness.check()
    }

    /** Closes the connection if it has no request, complete or partial, once what has arrived is read. */
    fun closeIfIdle() = channel.eventLoop().afterNextPoll {
        if (requests.isEmpty && !requests.isClosing && !intake.isReading) close(ConnectionEnd.DRAINED)
    }

    /** Records the requests that are unanswered because of [end]. */
    fun report(end: ConnectionEnd) {
        requests.unanswered(end)?.let(handler::leftUnanswered)
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        idleness.active()
        if (!requests.isClosing) intake.read(message)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) requests.writable()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (end == ConnectionEnd.DISCONNECTED || end == ConnectionEnd.LAST_RESPONSE) report(end)
        requests.disconnected()
        intake.close()
        handler.connections.closed(this)
    }

    /** Refuses the request that was being read, as a part of it may be missing. */
    @Deprecated("Deprecated in Netty for outbound handlers only")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) failed(cause)
    }

    private fun failed(cause: Throwable) {
        try {
            // First: what follows may fail too if memory has run out.
            intake.abandon()
            handler.failed(cause)
        } finally {
            if (channel.isActive) requests.reject(Refusal(ProgramCode.InternalError))
        }
    }

    private fun close(reason: ConnectionEnd) {
        end = reason
        report(reason)
        channel.close()
    }

    /** Closes one way first: closing over bytes that were not read would reset the connection and lose the response. */
    private fun closeAfterLastResponse() {
        end = ConnectionEnd.LAST_RESPONSE
        (channel as DuplexChannel).shutdownOutput()
        channel.eventLoop().schedule({ channel.close() }, LINGER_TIME.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        val LINGER_TIME = 1.seconds
    }
}
