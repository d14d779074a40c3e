package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleFleet
import java.io.BufferedReader
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A replica of the sample fleet that crashes when it begins to answer a prompt with a part in [deadlyParts]: it sends
 * the head of the response, then all its connections close. It is back after [DOWNTIME] as a new incarnation.
 *
 * @property isFramed whether responses are chunked; others end with their connection
 */
internal class FragileReplica(
    private val name: String,
    private val deadlyParts: Set<String>,
    private val isFramed: Boolean,
    private val onListed: (String, address: String, startedAt: Long) -> Unit,
) : AutoCloseable {
    private val connections = ConcurrentHashMap.newKeySet<Socket>()
    private val incarnation = AtomicInteger()

    @Volatile
    private var listener = ServerSocket(0, BACKLOG, InetAddress.getByName(LOOPBACK))
    private val port = listener.localPort

    /** Number of crashes so far. */
    val crashes: Int get() = incarnation.get()

    init {
        onListed(name, "$LOOPBACK:$port", FIRST_START)
        acceptAll(listener)
    }

    private fun acceptAll(server: ServerSocket) = thread(isDaemon = true) {
        generateSequence { runCatching { server.accept() }.getOrNull() }.forEach { socket ->
            connections.add(socket)
            thread(isDaemon = true) { socket.use { runCatching { serve(it) } } }
        }
    }

    private fun serve(socket: Socket) {
        val started = incarnation.get()
        val input = socket.getInputStream().bufferedReader()
        do {
            val head = readHead(input)
            val id = SampleFleet.attemptIdIn(head) ?: break
            repeat(BODY_LENGTH) { input.read() }
            val isDeadly = SampleFleet.partsIn(head).any { it in deadlyParts }
            if (isDeadly) dieAnswering(id, socket, started) else answer(id, socket)
        } while (isFramed && !isDeadly)
    }

    private fun dieAnswering(id: String, socket: Socket, started: Int) {
        sendHead(id, socket)
        Thread.sleep(TIME_TO_CRASH.inWholeMilliseconds)
        crash(started)
    }

    private fun answer(id: String, socket: Socket) {
        sendHead(id, socket)
        val output = socket.getOutputStream()
        for (event in 1..EVENTS) {
            Thread.sleep(EVENT_INTERVAL.inWholeMilliseconds)
            val text = "id: $event\ndata: a\n\n"
            val chunk = if (isFramed) "${text.length.toString(HEXADECIMAL)}\r\n$text\r\n" else text
            output.write(chunk.toByteArray())
        }
        if (isFramed) output.write("0\r\n\r\n".toByteArray())
    }

    private fun sendHead(id: String, socket: Socket) {
        Thread.sleep(PREFILL_TIME.inWholeMilliseconds)
        socket.getOutputStream().write(SampleFleet.responseHead(id, isFramed).toByteArray())
    }

    private fun readHead(input: BufferedReader): List<String> =
        generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()

    /** Ends the incarnation [ended] as a process that dies would; does nothing if it has ended already. */
    fun crash(ended: Int = incarnation.get()) {
        if (!incarnation.compareAndSet(ended, ended + 1)) return
        listener.close()
        connections.forEach { it.close() }
        connections.clear()
        thread(isDaemon = true) {
            Thread.sleep(DOWNTIME.inWholeMilliseconds)
            val restarted = ServerSocket().apply { reuseAddress = true }
            restarted.bind(InetSocketAddress(LOOPBACK, port), BACKLOG)
            listener = restarted
            onListed(name, "$LOOPBACK:$port", FIRST_START + crashes)
            acceptAll(restarted)
        }
    }

    override fun close() {
        listener.close()
        connections.forEach { it.close() }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val BACKLOG = 100
        const val FIRST_START = 1_000L
        const val BODY_LENGTH = 2
        const val EVENTS = 3
        const val HEXADECIMAL = 16
        val PREFILL_TIME: Duration = 20.milliseconds
        val TIME_TO_CRASH: Duration = 60.milliseconds
        val EVENT_INTERVAL: Duration = 10.milliseconds
        val DOWNTIME: Duration = 500.milliseconds
    }
}
