package org.guavapath.daemon.gateway

import io.netty.channel.Channel
import io.netty.handler.codec.http.FullHttpRequest
import org.guavapath.daemon.connections.RESET_DELAY
import java.util.concurrent.TimeUnit

/** A request that is written to [channel], and whether its replica resets the connection after ending its side. */
internal class SentRequest(private val channel: Channel, request: FullHttpRequest) {
    /** Whether the socket has taken the whole request, which says nothing about the replica. */
    var isWritten = false
        private set

    /** Whether the replica has ended its side of the connection, and a reset may follow. */
    var isAwaitingReset = false
        private set

    init {
        channel.writeAndFlush(request).addListener { isWritten = it.isSuccess }
    }

    /**
     * Calls [onReset] or [onNone] once a reset would have followed the end of the replica's side of the connection.
     *
     * A replica that closes a connection with bytes of the request unread ends its side and resets the connection.
     * What it had sent without a length is then a part of a response at most.
     */
    fun awaitReset(onReset: () -> Unit, onNone: () -> Unit) {
        isAwaitingReset = true
        val verdict = { if (channel.isReset) onReset() else onNone() }
        channel.eventLoop().schedule(verdict, RESET_DELAY.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }
}
