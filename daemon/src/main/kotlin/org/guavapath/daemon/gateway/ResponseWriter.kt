package org.guavapath.daemon.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.guavapath.core.identity.RequestId
import org.guavapath.daemon.pipeline.RESULT_HEADER
import org.guavapath.daemon.pipeline.Refusal
import org.guavapath.daemon.pipeline.errorBody
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Progress of the response to one request of a caller's connection. */
internal interface ResponseProgress {
    /** Whether the connection closes after the response. */
    fun isLast(): Boolean

    /** Closes the connection before the end of the response. */
    fun breakOff()

    /** Called when the whole response was handed to the channel. */
    fun handedOver()

    /** Called when the socket has taken the whole response, with true if the connection closes after it. */
    fun sent(isLast: Boolean)

    /** Called with a [write] that does not fit the [state] of the response and is not made. */
    fun misplaced(write: String, state: ResponseState)
}

/** How far a response is. */
internal enum class ResponseState { WAITING, BEGUN, ENDED }

/**
 * Writes the response to one request.
 *
 * A response begins and ends once. Writes after its end are ignored, as the connection may carry the next response;
 * any other misplaced write breaks it off.
 *
 * @param hasBody whether the body is written; callers take that of a response to a HEAD request for the next response
 */
internal class ResponseWriter(
    private val channel: Channel,
    private val hasBody: Boolean,
    private val progress: ResponseProgress,
) : ResponseSink {
    private var state = ResponseState.WAITING
    private var hasAnnouncedEnd = false

    override val isWritable: Boolean get() = channel.isWritable

    override fun writeFull(head: ResponseHead, body: ByteArray) {
        if (!isIn(ResponseState.WAITING, "a whole response")) return
        val response = responseOf(head)
        if (hasBody || body.isNotEmpty()) HttpUtil.setContentLength(response, body.size.toLong())
        state = ResponseState.BEGUN
        channel.write(response)
        if (!hasBody) return finish(DefaultLastHttpContent())
        // In pieces, so that a caller that reads slowly can be told from one that does not read.
        for (from in 0 until body.size - PIECE_BYTES step PIECE_BYTES) {
            channel.write(DefaultHttpContent(Unpooled.wrappedBuffer(body, from, PIECE_BYTES)))
        }
        val rest = if (body.isEmpty()) 0 else (body.size - 1) / PIECE_BYTES * PIECE_BYTES
        finish(DefaultLastHttpContent(Unpooled.wrappedBuffer(body, rest, body.size - rest)))
    }

    override fun begin(head: ResponseHead) {
        if (!isIn(ResponseState.WAITING, "the beginning")) return
        val response = responseOf(head)
        if (hasBody) HttpUtil.setTransferEncodingChunked(response, true)
        state = ResponseState.BEGUN
        channel.write(response)
    }

    override fun writeChunk(bytes: ByteArray) {
        if (!isIn(ResponseState.BEGUN, "a chunk") || !hasBody) return
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    override fun end() {
        if (isIn(ResponseState.BEGUN, "the end")) finish(DefaultLastHttpContent())
    }

    override fun abort() {
        if (state == ResponseState.ENDED) return progress.misplaced("an abort", state)
        state = ResponseState.ENDED
        progress.breakOff()
    }

    override fun refuse(refusal: Refusal, id: RequestId?) {
        val headers = listOfNotNull(
            "Content-Type" to "application/json",
            RESULT_HEADER to refusal.code.number.toString(),
            refusal.retryAfter?.let { "Retry-After" to secondsText(it) },
        )
        val body = errorBody(refusal, id?.text.orEmpty()).toString().toByteArray()
        writeFull(ResponseHead(refusal.code.status.number, headers), body)
    }

    /** Returns whether the response is in the [required] state, in which [write] may be made. */
    private fun isIn(required: ResponseState, write: String): Boolean {
        if (state == required) return true
        progress.misplaced(write, state)
        if (state != ResponseState.ENDED) abort()
        return false
    }

    private fun responseOf(head: ResponseHead): HttpResponse {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
        head.headers.forEach { (name, value) -> response.headers().add(name, value) }
        hasAnnouncedEnd = progress.isLast()
        if (hasAnnouncedEnd) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        return response
    }

    private fun finish(last: HttpObject) {
        state = ResponseState.ENDED
        val isLast = hasAnnouncedEnd || progress.isLast()
        progress.handedOver()
        channel.writeAndFlush(last).addListener { if (it.isSuccess) progress.sent(isLast) }
    }

    private fun secondsText(duration: Duration) =
        String.format(Locale.ROOT, "%.3f", duration.toDouble(DurationUnit.SECONDS))

    private companion object {
        const val PIECE_BYTES = 65_536
    }
}
