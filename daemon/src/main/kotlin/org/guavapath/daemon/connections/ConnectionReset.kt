/** Tells whether a connection was reset after the other side has ended, which reads don't show. */
package org.guavapath.daemon.connections

import java.io.IOException
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.SocketChannel
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Time after the end of the other side within which a reset follows it.
 *
 * A system that closes a connection with unread bytes ends its side and resets the connection in two steps, between
 * which a busy one runs other processes.
 */
internal val RESET_DELAY: Duration = 50.milliseconds

/**
 * Returns whether this connection was reset. Where that cannot be told, it counts as reset.
 *
 * A selector reports an error for whatever it was asked for, and a connection that is open is never ready to connect.
 *
 * @throws java.nio.channels.IllegalBlockingModeException if the channel is in blocking mode
 */
internal fun SocketChannel.isReset(): Boolean = try {
    Selector.open().use { selector ->
        register(selector, SelectionKey.OP_CONNECT)
        selector.selectNow() > 0
    }
} catch (_: IOException) {
    true
}
