package org.guavapath.daemon.pipeline

import okhttp3.Call
import okhttp3.Connection
import okhttp3.EventListener
import okhttp3.Response
import org.guavapath.daemon.connections.RESET_DELAY
import org.guavapath.daemon.connections.isReset
import java.net.Socket

/**
 * Tracks one call to a service: whether any part of its request may have left this VM, and whether its response is a
 * part.
 *
 * A service that has not read the whole request resets the connection as it closes it, right after the end of a
 * response without a length. The client closes the connection at that end, so that the reset is awaited before.
 */
internal class ServiceCallTracker : EventListener() {
    private var socket: Socket? = null
    private var endsWithConnection = false

    /** Whether any part of the request may have left this VM. */
    @Volatile
    var isStarted = false
        private set

    /** Whether the connection was reset after a response that has ended with it. */
    @Volatile
    var isReset = false
        private set

    override fun requestHeadersStart(call: Call) {
        isStarted = true
    }

    override fun connectionAcquired(call: Call, connection: Connection) {
        socket = connection.socket()
    }

    override fun responseHeadersEnd(call: Call, response: Response) {
        val hasBody = call.request().method != "HEAD" && response.code !in STATUSES_WITHOUT_BODY
        val isFramed = response.header("Content-Length") != null ||
            response.header("Transfer-Encoding").equals("chunked", ignoreCase = true)
        endsWithConnection = hasBody && !isFramed
    }

    override fun responseBodyEnd(call: Call, byteCount: Long) {
        if (!endsWithConnection) return
        Thread.sleep(RESET_DELAY.inWholeMilliseconds)
        val channel = socket?.channel ?: return
        channel.configureBlocking(false)
        isReset = channel.isReset()
    }

    private companion object {
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
    }
}
