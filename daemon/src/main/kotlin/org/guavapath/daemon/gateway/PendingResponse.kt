package org.guavapath.daemon.gateway

import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import org.guavapath.core.identity.RequestId
import org.guavapath.platform.wire.ReplicaResponseHead
import org.guavapath.platform.wire.ResponseCodec

/** How far a [PendingResponse] is. */
internal sealed class PendingState {
    /** More is to come. */
    data object Incomplete : PendingState()

    /** The response is whole, with the status and headers [head]. */
    class Complete(val head: ReplicaResponseHead) : PendingState()

    /** What the replica has answered is unknown, because of [reason]. */
    class Invalid(val reason: String) : PendingState()
}

/** Receives the heads of responses, those to other requests too, and of whatever else a replica sends. */
internal interface HeadListener {
    /** A response was received that may be what the replica has said. */
    fun received(head: ReplicaResponseHead)

    /** A response was received that belongs to another request, or to none. */
    fun stray(kind: StrayKind, head: ReplicaResponseHead, detail: String? = null)
}

/**
 * Finds the response to one request among what arrives on its connection.
 *
 * A response that names a request which the connection has carried before is skipped, and so are informational ones.
 * The first other response must be that to the request; if it is not, what the replica has answered is unknown.
 *
 * @param expected the id that the response must name, null if it must name none
 * @param carried the requests of the connection, this one included
 */
internal class PendingResponse(
    private val expected: RequestId?,
    private val carried: CarriedRequests,
    private val listener: ReplicaResponseListener,
    private val heads: HeadListener,
) {
    private val embeddedHeads = EmbeddedHeadDetector(carried)
    private var head: ReplicaResponseHead? = null
    private var isSkipping = false
    private var skippedBytes = 0L

    /** Whether the connection can be used again after the response. */
    var isReusable = true
        private set

    /** Whether the response, if its head has arrived, tells where it ends; otherwise it ends with its connection. */
    var isFramed = true
        private set

    /** Reads the next message of the connection. */
    fun read(message: HttpObject): PendingState {
        val decodingError = message.decoderResult().cause()
        return when {
            decodingError != null -> PendingState.Invalid("the answer is not HTTP: ${decodingError.message}")
            skippedBytes > MAX_SKIPPED_BYTES ->
                PendingState.Invalid("more than $MAX_SKIPPED_BYTES bytes of other responses")
            else -> {
                val state = if (message is HttpResponse) readHead(message) else PendingState.Incomplete
                if (isSkipping) skippedBytes += (message as? HttpContent)?.content()?.readableBytes() ?: HEAD_BYTES
                if (state is PendingState.Incomplete && message is HttpContent) readContent(message) else state
            }
        }
    }

    private fun readHead(response: HttpResponse): PendingState {
        val received = response.decode()
        val ambiguity = ResponseCodec.ambiguity(response.status().reasonPhrase(), response.headers())
        val isInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val stray = if (received.request == expected || isInformational) null else strayKind(received.request)
        if (ambiguity == null) heads.received(received) else heads.stray(StrayKind.AMBIGUOUS, received, ambiguity)
        if (ambiguity == null && stray != null) heads.stray(stray, received)
        isSkipping = isInformational || stray == StrayKind.REPEATED
        return when {
            ambiguity != null -> PendingState.Invalid("the response is ambiguous: $ambiguity")
            response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS ->
                PendingState.Invalid("the replica switches protocols")
            stray != null && !isSkipping -> PendingState.Invalid(
                "the response does not name the request: ${stray.label}"
            )
            else -> {
                if (!isInformational) accept(response, received)
                PendingState.Incomplete
            }
        }
    }

    private fun accept(response: HttpResponse, received: ReplicaResponseHead) {
        isFramed = isFramed(response.headers())
        isReusable = isReusable && HttpUtil.isKeepAlive(response) && !isSkipping && isFramed
        if (isSkipping) return
        head = received
        listener.head(received, response.headers())
    }

    private fun strayKind(named: RequestId?): StrayKind = when (named) {
        null -> StrayKind.UNNAMED
        in carried -> StrayKind.REPEATED
        else -> StrayKind.UNKNOWN
    }

    private fun readContent(content: HttpContent): PendingState {
        val bytes = ByteBufUtil.getBytes(content.content())
        val isOwn = !isSkipping
        val isJoined = embeddedHeads.feed(bytes)
        if (isOwn && !isJoined && bytes.isNotEmpty()) listener.body(bytes)
        if (content is LastHttpContent) isSkipping = false
        return when {
            isJoined -> PendingState.Invalid("the body holds the head of another response")
            isOwn && content is LastHttpContent -> PendingState.Complete(checkNotNull(head))
            else -> PendingState.Incomplete
        }
    }

    /** Whether [bytes] that follow the whole response show that its body holds a part of another one. */
    fun isContinuedBy(bytes: ByteArray): Boolean = embeddedHeads.isContinuedBy(bytes)

    private companion object {
        /** A replica in trouble may send other responses, or informational ones, without end. */
        const val MAX_SKIPPED_BYTES = 1_048_576L

        /** What a skipped head counts as; most heads are longer. */
        const val HEAD_BYTES = 64
    }
}

/** Returns what the status and the headers of this response say. */
internal fun HttpResponse.decode(): ReplicaResponseHead =
    ResponseCodec.decode(status().code()) { headers().getAll(it) }
