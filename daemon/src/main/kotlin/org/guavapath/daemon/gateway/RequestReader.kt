package org.guavapath.daemon.gateway

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import org.guavapath.core.memory.BodyAccount
import org.guavapath.core.memory.Room
import org.guavapath.core.results.LimitCode
import org.guavapath.core.results.RequestCode
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal
import kotlin.time.Duration.Companion.milliseconds

/** Result of reading one part of a request. */
internal sealed class ReadResult {
    /** More parts are expected. */
    data object Incomplete : ReadResult()

    /** The request is complete. */
    class Complete(val request: IncomingRequest) : ReadResult()

    /** The part was not read, as there is no room for it yet; it is read again when there is. */
    data object Waiting : ReadResult()

    /** There is no room for the body of [request]. */
    class NoRoom(val request: IncomingRequest, val refusal: Refusal) : ReadResult()

    /** The connection's bytes cannot be read as a request within the limits. */
    class Rejected(val refusal: Refusal) : ReadResult()
}

/**
 * Assembles requests from the parts that the HTTP decoder emits.
 *
 * @param account counts the bodies
 * @param onRoom called when there is room for the part that waits
 */
internal class RequestReader(
    private val account: BodyAccount,
    private val maxBodyBytes: () -> Int,
    private val onRoom: () -> Unit,
) {
    private var partial: IncomingRequest? = null
    private var isAbandoned = false

    /** Whether a request is partly received. */
    val isReading: Boolean get() = partial != null

    /** Whether the part that waits does so until other bodies of its connection have ended. */
    val isHeldUpByOwn: Boolean get() = partial?.body?.isHeldUpByOwn == true

    fun read(part: HttpObject): ReadResult {
        val cause = part.decoderResult().cause()
        return when {
            isAbandoned -> ReadResult.Incomplete
            cause != null -> reject(Refusal(codeOf(cause)))
            else -> readSound(part)
        }
    }

    private fun readSound(part: HttpObject): ReadResult {
        if (part is HttpRequest) partial = IncomingRequest(part, MonotonicTime.now(), account.reservation(onRoom))
        val request = partial
        return if (part is HttpContent && request != null) append(request, part) else ReadResult.Incomplete
    }

    /** Refuses the request whose part waits, as it had no room in time; null if none waits. */
    fun refuseWaiting(): ReadResult.NoRoom? {
        val request = partial ?: return null
        request.body.stopWaiting()
        return noRoom(request)
    }

    /** Reads no more, and drops what was read of a request: a part of it may be missing. */
    fun abandon() {
        isAbandoned = true
        drop()
    }

    private fun append(request: IncomingRequest, part: HttpContent): ReadResult {
        val count = part.content().readableBytes()
        if (maxOf(request.bodySize + count.toLong(), request.statedBytes ?: 0) > maxBodyBytes()) {
            return reject(Refusal(RequestCode.BodyTooLarge))
        }
        return when (request.body.reserve(count)) {
            Room.Awaited -> ReadResult.Waiting
            Room.Refused -> noRoom(request)
            Room.Granted -> {
                request.body.append(part.content())
                if (part is LastHttpContent) complete(request) else ReadResult.Incomplete
            }
        }
    }

    private fun complete(request: IncomingRequest): ReadResult {
        partial = null
        return ReadResult.Complete(request)
    }

    private fun reject(refusal: Refusal): ReadResult {
        drop()
        return ReadResult.Rejected(refusal)
    }

    private fun noRoom(request: IncomingRequest): ReadResult.NoRoom {
        drop()
        return ReadResult.NoRoom(request, Refusal(LimitCode.MemoryFull, retryAfter = RETRY_AFTER))
    }

    private fun drop() {
        partial?.body?.discard()
        partial = null
    }

    private fun codeOf(cause: Throwable) = when (cause) {
        is TooLongHttpHeaderException, is TooLongHttpLineException -> RequestCode.HeaderTooLarge
        else -> RequestCode.MalformedHttp
    }

    private companion object {
        /** Bodies are mostly held for the duration of one response. */
        val RETRY_AFTER = 300.milliseconds
    }
}
