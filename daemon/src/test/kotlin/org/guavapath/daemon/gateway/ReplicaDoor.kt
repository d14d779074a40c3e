package org.guavapath.daemon.gateway

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration

/**
 * An address at which one gateway reaches a replica.
 *
 * @param answer returns the response to a request with the lines of its head and its body, null if there is none
 */
internal class ReplicaDoor(private val answer: (head: List<String>, body: String) -> String?) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName(LOOPBACK))
    private val connections = ConcurrentHashMap.newKeySet<Socket>()

    /** Whether requests wait. */
    @Volatile
    var isHeld = false
    private val pending = AtomicInteger()

    /** Number of requests that have no response yet. */
    val pendingRequests: Int get() = pending.get()

    /** Whether requests get no response. */
    @Volatile
    var isMute = false

    /** Time until a request is answered. */
    @Volatile
    var latency: Duration = Duration.ZERO

    /** How long nothing is sent wherever a response has a [SILENCE]. */
    @Volatile
    var silence: Duration = Duration.ZERO

    val address: String = "$LOOPBACK:${listener.localPort}"

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
            val length = head.firstOrNull { it.startsWith(LENGTH, ignoreCase = true) }?.substringAfter(':')?.trim()
            val body = String(CharArray(length?.toInt() ?: 0) { input.read().toChar() })
            Thread.sleep(latency.inWholeMilliseconds)
            pending.incrementAndGet()
            try {
                while (isHeld) Thread.sleep(POLL)
                val response = if (isMute) null else answer(head, body)
                response?.let { send(it, socket) }
            } finally {
                pending.decrementAndGet()
            }
        }
    }

    private fun send(response: String, socket: Socket) = response.split(SILENCE).forEachIndexed { index, part ->
        if (index > 0) Thread.sleep(silence.inWholeMilliseconds)
        socket.getOutputStream().write(part.toByteArray())
    }

    /** Closes the open connections. */
    fun disconnect() {
        connections.forEach { it.close() }
        connections.clear()
    }

    /** Refuses connections from now on. */
    override fun close() {
        listener.close()
        disconnect()
    }

    companion object {
        /** Stands in a response where the replica pauses. */
        const val SILENCE = '\u0000'
        private const val LOOPBACK = "127.0.0.1"
        private const val BACKLOG = 100
        private const val POLL = 10L
        private const val LENGTH = "Content-Length:"
    }
}
