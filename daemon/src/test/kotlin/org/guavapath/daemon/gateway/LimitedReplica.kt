package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleFleet
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** A replica of the sample fleet that serves every request and states [rateText], if not null, in each response. */
internal class LimitedReplica : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val start: TimeMark = TimeSource.Monotonic.markNow()
    private val arrivalTimes = ConcurrentLinkedQueue<Duration>()
    private val connections = ConcurrentLinkedQueue<Socket>()

    /** What the replica states as its rate, null for nothing. */
    @Volatile
    var rateText: String? = null

    val address: String = "127.0.0.1:${listener.localPort}"

    /** When requests arrived, since the start of the replica. */
    val arrivals: List<Duration> get() = arrivalTimes.toList()

    /** Time since the start of the replica. */
    val now: Duration get() = start.elapsedNow()

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
            val id = SampleFleet.attemptIdIn(head) ?: return
            repeat(BODY_LENGTH) { input.read() }
            arrivalTimes.add(now)
            Thread.sleep(RESPONSE_TIME.inWholeMilliseconds)
            val event = "id: 1\ndata: a\n\n"
            val body = "${event.length.toString(HEXADECIMAL)}\r\n$event\r\n0\r\n\r\n"
            val response = SampleFleet.responseHead(id, isFramed = true, rateText) + body
            socket.getOutputStream().write(response.toByteArray())
        }
    }

    override fun close() {
        listener.close()
        connections.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 100
        const val BODY_LENGTH = 2
        const val HEXADECIMAL = 16
        val RESPONSE_TIME = 10.milliseconds
    }
}
