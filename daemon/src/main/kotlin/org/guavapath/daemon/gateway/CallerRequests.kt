package org.guavapath.daemon.gateway

import io.netty.channel.Channel
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal

/** Limit of pipelined requests that wait behind the current one. */
private const val MAX_PIPELINED_REQUESTS = 8

/**
 * The requests of one caller's connection that were read. They are served one at a time, in order.
 *
 * @param onLast called when the last response of the connection was written
 */
internal class CallerRequests(
    private val channel: Channel,
    private val handler: RequestHandler,
    private val close: (ConnectionEnd) -> Unit,
    private val onLast: () -> Unit,
) : ResponseProgress {
    private val writer = ResponseWriter(channel, this)
    private val queue = ArrayDeque<IncomingRequest>()
    private var serving: IncomingRequest? = null
    private var exchange: RunningExchange? = null

    /** Whether nothing more is read, as the connection closes after the current response. */
    var isClosing = false

    /** When the last response was written. */
    var lastWrittenAt = MonotonicTime.ZERO
        private set

    /** Whether no request is served or waits. */
    val isEmpty: Boolean get() = serving == null && queue.isEmpty()

    /** Whether a request is being served. */
    val isServing: Boolean get() = serving != null

    /** Adds a request that was read whole. */
    fun add(request: IncomingRequest) {
        queue.addLast(request)
        channel.config().isAutoRead = queue.size <= MAX_PIPELINED_REQUESTS
        serveNext()
    }

    /** Refuses an unreadable request and closes the connection, after the current response if there is one. */
    fun reject(refusal: Refusal) {
        isClosing = true
        if (serving == null) writer.refuse(refusal, id = null)
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
    }

    /** Returns the requests without a whole response as the connection ends because of [end], null if there are none. */
    fun unanswered(end: ConnectionEnd): UnansweredRequests? {
        val pendingBytes = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
        val requests = listOfNotNull(serving) + queue
        if (requests.isEmpty() && pendingBytes == 0L) return null
        return UnansweredRequests(end, requests, pendingBytes, exchange?.progress)
    }

    override fun isLast() = isClosing || handler.connections.isDraining || serving?.isKeepAlive == false

    override fun breakOff() = close(ConnectionEnd.BROKEN_OFF)

    override fun finished(isLast: Boolean) {
        serving = null
        exchange = null
        lastWrittenAt = MonotonicTime.now()
        if (isLast) {
            isClosing = true
            onLast()
        } else {
            channel.eventLoop().execute { serveNext() }
        }
    }

    private fun serveNext() {
        if (serving != null || isClosing) return
        val next = queue.removeFirstOrNull() ?: return
        channel.config().isAutoRead = true
        serving = next
        val started = handler.serve(next, writer)
        if (serving === next) exchange = started
    }
}
