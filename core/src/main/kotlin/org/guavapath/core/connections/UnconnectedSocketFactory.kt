package org.guavapath.core.connections

import java.net.InetAddress
import java.net.Socket
import javax.net.SocketFactory

/**
 * Creates sockets for HTTP clients, which connect them themselves.
 *
 * Only unconnected sockets are supported; the other functions throw [UnsupportedOperationException].
 *
 * @param create returns a new socket that is not connected
 */
public class UnconnectedSocketFactory(private val create: () -> Socket) : SocketFactory() {
    override fun createSocket(): Socket = create()

    override fun createSocket(host: String, port: Int): Socket = rejectConnectedSocket()

    override fun createSocket(host: String, port: Int, localHost: InetAddress, localPort: Int): Socket =
        rejectConnectedSocket()

    override fun createSocket(host: InetAddress, port: Int): Socket = rejectConnectedSocket()

    override fun createSocket(address: InetAddress, port: Int, localAddress: InetAddress, localPort: Int): Socket =
        rejectConnectedSocket()

    private fun rejectConnectedSocket(): Nothing =
        throw UnsupportedOperationException("only unconnected sockets can be created")
}
