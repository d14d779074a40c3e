package org.guavapath.daemon.gateway

import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the requests of one caller's connection, as long as there is room for their bodies.
 *
 * @param onResumed called when the connection is read on
 * @param onFailed called when a part that has waited could not be read
 */
internal class RequestIntake(
    private val channel: Channel,
    private val handler: RequestHandler,
    private val requests: CallerRequests,
    pauses: ReadingPauses,
    private val onResumed: () -> Unit,
    private val onFailed: (Throwable) -> Unit,
) {
    private val account = handler.bodies.openAccount()
    private val reader = RequestReader(account, { handler.callerLimits.bodyBytes }, ::resume)
    private val waitingParts = WaitingParts(channel, pauses, { reader.isHeldUpByOwn }, ::refuseWaiting)

    /** How long a body may wait for room; the caller must not pass for a slow one meanwhile. */
    private val timeToWait: Duration get() = minOf(MAX_WAIT, handler.callerLimits.headerTimeout / 2)

    /** Whether a request is partly received. */
    val isReading: Boolean get() = reader.isReading

    /** Reads [message], or keeps it until there is room. */
    fun read(message: HttpObject) {
        if (waitingParts.isWaiting) waitingParts.add(message) else receive(message)
    }

    /** Reads no more: a part of the request that was being read may be missing. */
    fun abandon() {
        reader.abandon()
        waitingParts.clear()
    }

    /** Gives all room back, as the connection has closed. */
    fun close() {
        abandon()
        account.close()
    }

    private fun receive(message: HttpObject) {
        if (requests.isClosing) return
        when (val result = reader.read(message)) {
            is ReadResult.Incomplete -> if (message is HttpRequest && HttpUtil.is100ContinueExpected(message)) {
                channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
            }
            is ReadResult.Complete -> requests.add(result.request)
            is ReadResult.Waiting -> waitingParts.begin(message, timeToWait)
            is ReadResult.NoRoom -> refuse(result)
            is ReadResult.Rejected -> requests.reject(result.refusal)
        }
    }

    private fun resume() {
        channel.eventLoop().execute {
            if (waitingParts.isWaiting && channel.isOpen) {
                onResumed()
                runCatching { waitingParts.resume(::receive) }.onFailure(onFailed)
            }
        }
    }

    private fun refuseWaiting() {
        waitingParts.clear()
        if (!requests.isClosing) reader.refuseWaiting()?.let(::refuse)
    }

    private fun refuse(result: ReadResult.NoRoom) {
        handler.refusedUnread(result.request, result.refusal)
        requests.reject(result.refusal)
    }

    private companion object {
        /** Room becomes free within the duration of a few responses. */
        val MAX_WAIT = 1.seconds
    }
}
