package org.guavapath.daemon.gateway

import io.netty.channel.Channel
import io.netty.channel.socket.DuplexChannel
import io.netty.channel.socket.nio.NioSocketChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector

/** A connection to a replica that can tell whether it was reset after the end of what it receives. */
internal class ReplicaSocketChannel : NioSocketChannel() {
    /**
     * Whether the connection was reset.
     *
     * Reads only see the end that came before. A selector reports an error for whatever it was asked for, and a
     * connection that is open is never ready to connect.
     */
    val isReset: Boolean
        get() = Selector.open().use { selector ->
            javaChannel().register(selector, SelectionKey.OP_CONNECT)
            selector.selectNow() > 0
        }
}

/** Whether the other side of this connection has ended. */
internal val Channel.isInputEnded: Boolean
    get() = !isActive || (this as? DuplexChannel)?.isInputShutdown ?: false

/** Whether this connection was reset, as far as its kind can tell. */
internal val Channel.isReset: Boolean get() = (this as? ReplicaSocketChannel)?.isReset ?: false
