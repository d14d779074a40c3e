package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleFleet
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * A replica of the sample fleet that keeps weights 1, as an order is in progress that does not end. A request begins
 * after [waitingTime], unless its connection closes before.
 */
internal class OutdatedReplica : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val connections = ConcurrentLinkedQueue<Socket>()
    private val begun = ConcurrentLinkedQueue<TimeMark>()

    @Volatile
    var waitingTime: Duration = Duration.ZERO

    val address: String = "127.0.0.1:${listener.localPort}"

    /** When requests began. */
    val beginnings: List<TimeMark> get() = begun.toList()

    init {
        thread(isDaemon = true) {
            generateSequence { runCatching { listener.accept() }.getOrNull() }.forEach { socket ->
                connections.add(socket)
                thread(isDaemon = true) { socket.use { runCatching { serve(it) } } }
            }
        }
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader()
        while (true) {
            val head = generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()
            if (head.isEmpty()) return
            val id = SampleFleet.attemptIdIn(head)
            if (id == null) {
                socket.getOutputStream().write(SampleFleet.stateResponse(isLoading = true).toByteArray())
            } else {
                repeat(BODY_LENGTH) { input.read() }
                if (!waitsInQueue(socket)) return
                answer(id, socket)
            }
        }
    }

    /** Returns whether the connection is still open after [waitingTime]. */
    private fun waitsInQueue(socket: Socket): Boolean {
        socket.soTimeout = maxOf(1, waitingTime.inWholeMilliseconds.toInt())
        val isOpen = try {
            socket.getInputStream().read()
            false
        } catch (_: SocketTimeoutException) {
            true
        }
        socket.soTimeout = 0
        return isOpen
    }

    private fun answer(id: String, socket: Socket) {
        begun.add(TimeSource.Monotonic.markNow())
        val event = "id: 1\ndata: a\n\n"
        val body = "${event.length.toString(HEXADECIMAL)}\r\n$event\r\n0\r\n\r\n"
        val response = SampleFleet.responseHead(id, isFramed = true) + body
        socket.getOutputStream().write(response.toByteArray())
    }

    override fun close() {
        listener.close()
        connections.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 100
        const val BODY_LENGTH = 2
        const val HEXADECIMAL = 16
    }
}
