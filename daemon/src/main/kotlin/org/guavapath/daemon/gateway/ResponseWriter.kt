package org.guavapath.daemon.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
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

/** Progress of the responses on one caller's connection. */
internal interface ResponseProgress {
    /** Whether the connection closes after the current response. */
    fun isLast(): Boolean

    /** Closes the connection before the end of a response. */
    fun breakOff()

    /** Called when a response is written, with true if the connection closes after it. */
    fun finished(isLast: Boolean)
}

/** Writes the responses on one caller's connection. */
internal class ResponseWriter(private val channel: Channel, private val progress: ResponseProgress) : ResponseSink {
    override val isWritable: Boolean get() = channel.isWritable

    override fun writeFull(head: ResponseHead, body: ByteArray) {
        val status = HttpResponseStatus.valueOf(head.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body))
        setHeaders(response, head)
        HttpUtil.setContentLength(response, body.size.toLong())
        finish(response)
    }

    override fun begin(head: ResponseHead) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
        setHeaders(response, head)
        HttpUtil.setTransferEncodingChunked(response, true)
        channel.write(response)
    }

    override fun writeChunk(bytes: ByteArray) {
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    override fun end() = finish(DefaultLastHttpContent())

    override fun abort() = progress.breakOff()

    override fun refuse(refusal: Refusal, id: RequestId?) {
        val headers = listOfNotNull(
            "Content-Type" to "application/json",
            RESULT_HEADER to refusal.code.number.toString(),
            refusal.retryAfter?.let { "Retry-After" to secondsText(it) },
        )
        val body = errorBody(refusal, id?.text.orEmpty()).toString().toByteArray()
        writeFull(ResponseHead(refusal.code.status.number, headers), body)
    }

    private fun setHeaders(response: HttpResponse, head: ResponseHead) {
        head.headers.forEach { (name, value) -> response.headers().add(name, value) }
        if (progress.isLast()) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun finish(last: HttpObject) {
        val isLastResponse = progress.isLast()
        val written = channel.writeAndFlush(last)
        if (isLastResponse) written.addListener(ChannelFutureListener.CLOSE)
        progress.finished(isLastResponse)
    }

    private fun secondsText(duration: Duration) =
        String.format(Locale.ROOT, "%.3f", duration.toDouble(DurationUnit.SECONDS))
}
