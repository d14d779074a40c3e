package org.guavapath.daemon.gateway

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.guavapath.core.fleet.CallerLimits
import org.guavapath.core.identity.RequestId
import org.guavapath.core.results.RequestCode
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.RESULT_HEADER
import org.guavapath.daemon.pipeline.Refusal
import org.guavapath.daemon.pipeline.errorBody
import java.util.Locale
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.DurationUnit

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
internal class CallerConnection(private val door: FrontDoor) :
    SimpleChannelInboundHandler<HttpObject>(), AnswerSink {
    private val backlog = ArrayDeque<IncomingRequest>()
    private var arriving: IncomingRequest? = null
    private var serving: IncomingRequest? = null
    private var exchange: RunningExchange? = null
    private var activeAt = MonotonicTime.now()
    private var isClosing = false
    private lateinit var channel: Channel

    /** Whether no request is being read or served. */
    val isIdle: Boolean get() = serving == null && arriving == null && backlog.isEmpty()

    override val isWritable: Boolean get() = channel.isWritable

    override fun channelActive(context: ChannelHandlerContext) {
        channel = context.channel()
        door.opened(this)
        watchRest()
    }

    /** Closes the connection if no request is on it. */
    fun closeIfIdle() {
        if (isIdle) channel.close()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        activeAt = MonotonicTime.now()
        if (isClosing) return
        if (message.decoderResult().isFailure) {
            reject(message.decoderResult().cause())
            return
        }
        if (message is HttpRequest) begin(message)
        if (message is HttpContent) read(message)
    }

    private fun begin(request: HttpRequest) {
        arriving = IncomingRequest(request, activeAt)
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun read(content: HttpContent) {
        val request = arriving ?: return
        request.append(ByteBufUtil.getBytes(content.content()))
        if (request.bodySize > door.callerLimits.bodyBytes) {
            closing(Refusal(RequestCode.BodyTooLarge))
            return
        }
        if (content !is LastHttpContent) return
        arriving = null
        backlog.addLast(request)
        if (backlog.size > LONGEST_BACKLOG) channel.config().isAutoRead = false
        serveNext()
    }

    private fun serveNext() {
        if (serving != null || isClosing) return
        val next = backlog.removeFirstOrNull() ?: return
        channel.config().isAutoRead = true
        serving = next
        val started = door.serve(next, this)
        if (serving === next) exchange = started
    }

    private fun reject(cause: Throwable) {
        val isTooLarge = cause is io.netty.handler.codec.http.TooLongHttpHeaderException
        closing(Refusal(if (isTooLarge) RequestCode.HeaderTooLarge else RequestCode.MalformedHttp))
    }

    /** Answers a request that cannot be read to its end, unless another answer is under way, and closes. */
    private fun closing(refusal: Refusal) {
        arriving = null
        if (serving != null) {
            isClosing = true
            return
        }
        serving = IncomingRequest(DefaultRequests.UNREADABLE, activeAt)
        isClosing = true
        refuse(refusal, id = null)
    }

    override fun whole(head: AnswerHead, body: ByteArray) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, statusOf(head), Unpooled.wrappedBuffer(body))
        fill(response, head)
        HttpUtil.setContentLength(response, body.size.toLong())
        finish(response)
    }

    override fun begin(head: AnswerHead) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, statusOf(head))
        fill(response, head)
        HttpUtil.setTransferEncodingChunked(response, true)
        channel.write(response)
    }

    override fun piece(bytes: ByteArray) {
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    override fun end() = finish(DefaultLastHttpContent())

    override fun abort() {
        isClosing = true
        channel.close()
    }

    override fun refuse(refusal: Refusal, id: RequestId?) {
        val headers = listOfNotNull(
            "Content-Type" to "application/json",
            RESULT_HEADER to refusal.code.number.toString(),
            refusal.retryAfter?.let { "Retry-After" to secondsText(it) },
        )
        val body = errorBody(refusal, id?.text.orEmpty()).toString().toByteArray()
        whole(AnswerHead(refusal.code.status.number, headers), body)
    }

    private fun fill(response: HttpResponse, head: AnswerHead) {
        head.headers.forEach { (name, value) -> response.headers().add(name, value) }
        if (closesAfterAnswer()) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun closesAfterAnswer() = isClosing || door.isDraining || serving?.keepsConnection == false

    private fun finish(last: HttpObject) {
        val isLast = closesAfterAnswer()
        serving = null
        exchange = null
        activeAt = MonotonicTime.now()
        val written = channel.writeAndFlush(last)
        if (isLast) {
            isClosing = true
            written.addListener(ChannelFutureListener.CLOSE)
        } else {
            channel.eventLoop().execute { serveNext() }
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) exchange?.writable()
        context.fireChannelWritabilityChanged()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isClosing = true
        exchange?.callerLeft()
        exchange = null
        door.closed(this)
    }

    @Deprecated("Deprecated in Netty for outbound handlers only")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    /** Closes the connection when it rested too long, or when a request arrives too slowly. */
    private fun watchRest() {
        val limits = door.callerLimits
        val limit = if (arriving == null) limits.idleTimeout else limits.headerTimeout
        val rested = MonotonicTime.now() - activeAt
        if (serving == null && rested >= limit) {
            if (arriving != null) closing(Refusal(RequestCode.SlowRequest)) else channel.close()
            return
        }
        if (!channel.isOpen) return
        val next = if (serving == null) limit - rested else limit
        channel.eventLoop().schedule({ watchRest() }, next.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
    }

    private fun statusOf(head: AnswerHead) = HttpResponseStatus.valueOf(head.status)

    private fun secondsText(duration: Duration) =
        String.format(Locale.ROOT, "%.3f", duration.toDouble(DurationUnit.SECONDS))
}

private object DefaultRequests {
    val UNREADABLE = io.netty.handler.codec.http.DefaultHttpRequest(
        HttpVersion.HTTP_1_1,
        io.netty.handler.codec.http.HttpMethod.GET,
        "/",
    )
}
