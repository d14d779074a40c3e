package org.guavapath.daemon.gateway

import io.netty.channel.Channel
import io.netty.handler.codec.http.FullHttpRequest
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request that is written to [channel], and whether its replica takes it. */
internal class SentRequest(private val channel: Channel, request: FullHttpRequest) {
    private val hasBody = request.content().isReadable

    /** Whether the socket has taken the whole request, which says nothing about the replica. */
    var isWritten = false
        private set

    /** Whether the replica has ended its side of the connection, and a reset may follow. */
    var isEnding = false
        private set

    init {
        channel.writeAndFlush(request).addListener { isWritten = it.isSuccess }
    }

    /**
     * Calls [onTaken], or [onNotTaken] with a reason, after the replica has ended its side of the connection.
     *
     * A replica that has closed a connection with bytes of the request unread resets it. What it had sent before its
     * side ended, without a length, is then a part of a response at most.
     */
    fun end(onTaken: () -> Unit, onNotTaken: (String) -> Unit) {
        when {
            !isWritten -> onNotTaken("the connection was closed before the request was sent")
            !hasBody -> onTaken()
            else -> {
                isEnding = true
                val verdict = { if (channel.isReset) onNotTaken("the replica did not read the request") else onTaken() }
                channel.eventLoop().schedule(verdict, RESET_DELAY.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            }
        }
    }

    private companion object {
        /** The reset follows the end of the replica's side at once. */
        val RESET_DELAY: Duration = 20.milliseconds
    }
}
