package org.guavapath.daemon.gateway

import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpMethod
import org.guavapath.core.results.ProgramCode
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal

/** Limit of pipelined requests that wait behind the current one. */
private const val MAX_PIPELINED_REQUESTS = 8

/**
 * The requests of one caller's connection that were read. They are served one at a time, in order.
 *
 * A request is served until the socket has taken its whole response. One that cannot be read is refused after those
 * before it; the connection then closes.
 *
 * @param onLast called when the last response of the connection was sent
 */
internal class CallerRequests(
    private val channel: Channel,
    private val handler: RequestHandler,
    private val pauses: ReadingPauses,
    private val close: (ConnectionEnd) -> Unit,
    private val onLast: () -> Unit,
) {
    private val queue = ArrayDeque<IncomingRequest>()
    private var serving: IncomingRequest? = null
    private var exchange: RunningExchange? = null
    private var rejection: Refusal? = null

    /** Whether nothing more is read. */
    var isClosing = false
        private set

    /** Whether the whole current response was handed to the channel and waits until the caller reads it. */
    var isSending = false
        private set

    /** When the last response was sent. */
    var lastSentAt = MonotonicTime.ZERO
        private set

    /** Whether no request is served or waits. */
    val isEmpty: Boolean get() = serving == null && queue.isEmpty() && rejection == null

    /** Bytes of responses that the socket has not taken yet. */
    val pendingBytes: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    /** Adds a request that was read whole. */
    fun add(request: IncomingRequest) {
        queue.addLast(request)
        pauses.isQueueFull = queue.size > MAX_PIPELINED_REQUESTS
        serveNext()
    }

    /** Refuses an unreadable request, after the responses to those before it, and closes the connection. */
    fun reject(refusal: Refusal) {
        isClosing = true
        rejection = refusal
        serveNext()
    }

    /** Called when the connection accepts bytes again after backpressure. */
    fun writable() {
        exchange?.callerWritable()
    }

    /** Called when the connection has closed. */
    fun disconnected() {
        isClosing = true
        exchange?.callerDisconnected()
        exchange = null
        (listOfNotNull(serving) + queue).forEach { it.body.discard() }
    }

    /** Returns the requests without a whole response as the connection ends, null if there are none. */
    fun unanswered(end: ConnectionEnd): UnansweredRequests? {
        val requests = listOfNotNull(serving) + queue
        if (requests.isEmpty() && pendingBytes == 0L) return null
        return UnansweredRequests(end, requests, pendingBytes, exchange?.progress)
    }

    private fun serveNext() {
        if (serving != null || isSending || !channel.isOpen) return
        val next = queue.removeFirstOrNull()
        if (next == null) {
            rejection?.let { writer(Progress(request = null)).refuse(it, id = null) }
            return
        }
        pauses.isQueueFull = false
        serving = next
        val progress = Progress(next)
        val writer = writer(progress)
        val started = runCatching { handler.serve(next, writer) }.getOrElse {
            handler.failed(it)
            if (!progress.isHandedOver) writer.refuse(Refusal(ProgramCode.InternalError), id = null)
            null
        }
        if (serving === next) exchange = started
    }

    private fun writer(progress: Progress) =
        ResponseWriter(channel, hasBody = progress.request?.method != HttpMethod.HEAD, progress)

    /** Progress of the response to [request], null for the refusal of an unreadable one. */
    private inner class Progress(val request: IncomingRequest?) : ResponseProgress {
        var isHandedOver = false
            private set

        override fun isLast(): Boolean {
            val isNothingLeft = queue.isEmpty() && rejection == null
            return request?.isKeepAlive != true || handler.connections.isDraining && isNothingLeft
        }

        override fun breakOff() = close(ConnectionEnd.BROKEN_OFF)

        override fun handedOver() {
            isHandedOver = true
            isSending = true
            request?.body?.discard()
        }

        override fun sent(isLast: Boolean) {
            serving = null
            exchange = null
            isSending = false
            lastSentAt = MonotonicTime.now()
            if (isLast) {
                isClosing = true
                rejection = null
                onLast()
            } else {
                channel.eventLoop().execute { serveNext() }
            }
        }

        override fun misplaced(write: String, state: ResponseState) = handler.misplacedWrite(request, write, state)
    }
}
