package org.guavapath.daemon.gateway

import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import org.guavapath.core.results.RequestCode
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal

/** What a part of a request completes. */
internal sealed class ReadStep {
    /** More parts are to come. */
    data object Partial : ReadStep()

    /** A request is whole. */
    class Whole(val request: IncomingRequest) : ReadStep()

    /** The connection carries nothing that can be read as a request. */
    class Unreadable(val refusal: Refusal) : ReadStep()
}

/** Puts the parts of requests together. */
internal class RequestReader(private val largestBody: () -> Int) {
    private var arriving: IncomingRequest? = null

    /** Whether a part of a request has come. */
    val isReading: Boolean get() = arriving != null

    fun read(part: HttpObject): ReadStep {
        val cause = part.decoderResult().cause()
        if (cause != null) return unreadable(Refusal(codeOf(cause)))
        if (part is HttpRequest) arriving = IncomingRequest(part, MonotonicTime.now())
        val request = arriving
        return if (part is HttpContent && request != null) append(request, part) else ReadStep.Partial
    }

    private fun append(request: IncomingRequest, part: HttpContent): ReadStep {
        request.append(ByteBufUtil.getBytes(part.content()))
        return when {
            request.bodySize > largestBody() -> unreadable(Refusal(RequestCode.BodyTooLarge))
            part is LastHttpContent -> {
                arriving = null
                ReadStep.Whole(request)
            }
            else -> ReadStep.Partial
        }
    }

    private fun unreadable(refusal: Refusal): ReadStep {
        arriving = null
        return ReadStep.Unreadable(refusal)
    }

    private fun codeOf(cause: Throwable) = when (cause) {
        is TooLongHttpHeaderException, is TooLongHttpLineException -> RequestCode.HeaderTooLarge
        else -> RequestCode.MalformedHttp
    }
}
