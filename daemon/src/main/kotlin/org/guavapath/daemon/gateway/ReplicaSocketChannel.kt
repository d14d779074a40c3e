package org.guavapath.daemon.gateway

import io.netty.channel.Channel
import io.netty.channel.socket.DuplexChannel
import io.netty.channel.socket.nio.NioSocketChannel
import org.guavapath.daemon.connections.isReset

/** A connection to a replica that can tell whether it was reset after the replica has ended its side. */
internal class ReplicaSocketChannel : NioSocketChannel() {
    /** Whether the connection was reset. */
    val isReset: Boolean get() = !isOpen || javaChannel().isReset()
}

/** Whether the other side of this connection has ended. */
internal val Channel.isInputEnded: Boolean
    get() = !isActive || (this as? DuplexChannel)?.isInputShutdown ?: false

/** Whether this connection was reset, as far as its kind can tell. */
internal val Channel.isReset: Boolean get() = (this as? ReplicaSocketChannel)?.isReset ?: false
