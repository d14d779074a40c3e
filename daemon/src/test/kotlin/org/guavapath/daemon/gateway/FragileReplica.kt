package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.SampleRequest
import org.guavapath.platform.wire.SampleRoute
import java.io.BufferedReader
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlin.time.TimeSource.Monotonic.ValueTimeMark

/**
 * How a [FragileReplica] responds and crashes.
 *
 * @property isFatal whether the replica crashes when it runs the request
 * @property hasHead whether it sends the head of the response before it crashes
 * @property timeToCrash time until the crash, from the head if there is one
 * @property stopsWhenAbandoned whether it does not crash if the gateway closes the connection before
 * @property isFramed whether streams are chunked; others end with their connection
 * @property eventInterval time before each event of a stream
 */
internal class Fragility(
    val isFatal: (SampleRequest) -> Boolean,
    val hasHead: Boolean = true,
    val timeToCrash: Duration = 60.milliseconds,
    val stopsWhenAbandoned: Boolean = false,
    val isFramed: Boolean = true,
    val eventInterval: Duration = 10.milliseconds,
) {
    /** How long connections are still accepted, and closed, after a crash. */
    var acceptsFor: Duration = Duration.ZERO

    /** Events of a stream that are sent after the head, before the time to the crash begins. */
    var eventsBeforeCrash = 0

    /** What the replica sends after the head, if there is one, before it crashes. */
    var lastWords = ""
}

/** A fatal request that reached a replica [at], with the attempt [id], beside [others] that were running. */
internal class FatalArrival(val id: String, val at: ValueTimeMark, val others: Int)

/**
 * A replica of the sample fleet that crashes on some requests: all its connections close. It is back after [DOWNTIME]
 * as a new incarnation.
 */
internal class FragileReplica(
    private val name: String,
    private val fragility: Fragility,
    private val onListed: (String, address: String, startedAt: Long) -> Unit,
) : AutoCloseable {
    private val connections = ConcurrentHashMap.newKeySet<Socket>()
    private val incarnation = AtomicInteger()
    private val running = AtomicInteger()
    private val arrivals = ConcurrentLinkedQueue<FatalArrival>()
    private val crashed = ConcurrentLinkedQueue<ValueTimeMark>()

    @Volatile
    private var isClosed = false

    @Volatile
    private var listener = ServerSocket(0, BACKLOG, InetAddress.getByName(LOOPBACK))
    private val port = listener.localPort

    /** Number of crashes so far. */
    val crashes: Int get() = incarnation.get()
    val crashTimes: List<ValueTimeMark> get() = crashed.toList()
    val fatalArrivals: List<FatalArrival> get() = arrivals.toList()

    init {
        onListed(name, "$LOOPBACK:$port", FIRST_START)
        acceptAll(listener)
    }

    private fun acceptAll(server: ServerSocket) = thread(isDaemon = true) {
        val listening = incarnation.get()
        generateSequence { runCatching { server.accept() }.getOrNull() }.forEach { socket ->
            connections.add(socket)
            val isDown = incarnation.get() != listening
            thread(isDaemon = true) { socket.use { if (!isDown) runCatching { serve(it) } } }
        }
    }

    private fun serve(socket: Socket) {
        val started = incarnation.get()
        val input = socket.getInputStream().bufferedReader()
        do {
            val head = readHead(input)
            val id = SampleFleet.attemptIdIn(head) ?: break
            val body = String(CharArray(SampleRequest.bodyLength(head)) { input.read().toChar() })
            val request = SampleRequest.received(head, body)
            val isFatal = fragility.isFatal(request)
            if (isFatal) {
                arrivals.add(FatalArrival(id, TimeSource.Monotonic.markNow(), running.get()))
                dieAnswering(id, request, socket, started)
            } else {
                running.incrementAndGet()
                runCatching { answer(id, request, socket) }.also { running.decrementAndGet() }.getOrThrow()
            }
        } while (fragility.isFramed && !isFatal && incarnation.get() == started)
    }

    private fun dieAnswering(id: String, request: SampleRequest, socket: Socket, started: Int) {
        if (fragility.hasHead) sendHead(id, request, socket)
        for (event in 1..fragility.eventsBeforeCrash) sendEvent(event, socket)
        socket.getOutputStream().write(fragility.lastWords.toByteArray())
        if (fragility.stopsWhenAbandoned) {
            if (isAbandoned(socket)) return
        } else {
            Thread.sleep(fragility.timeToCrash.inWholeMilliseconds)
        }
        crash(started)
    }

    /** Waits for the time to the crash and returns whether the gateway closes the connection [socket] before. */
    private fun isAbandoned(socket: Socket): Boolean {
        socket.soTimeout = fragility.timeToCrash.inWholeMilliseconds.toInt()
        return runCatching { socket.getInputStream().read() }.exceptionOrNull() !is SocketTimeoutException
    }

    private fun answer(id: String, request: SampleRequest, socket: Socket) {
        sendHead(id, request, socket)
        val output = socket.getOutputStream()
        if (request.route != SampleRoute.PROMPTS) return output.write(PLAIN_BODY.toByteArray())
        for (event in 1..EVENTS) sendEvent(event, socket)
        if (fragility.isFramed) output.write("0\r\n\r\n".toByteArray())
    }

    private fun sendEvent(event: Int, socket: Socket) {
        Thread.sleep(fragility.eventInterval.inWholeMilliseconds)
        val text = "id: $event\ndata: a\n\n"
        val chunk = if (fragility.isFramed) "${text.length.toString(HEXADECIMAL)}\r\n$text\r\n" else text
        socket.getOutputStream().write(chunk.toByteArray())
    }

    private fun sendHead(id: String, request: SampleRequest, socket: Socket) {
        Thread.sleep(PREFILL_TIME.inWholeMilliseconds)
        val head = when (request.route) {
            SampleRoute.PROMPTS -> SampleFleet.responseHead(id, fragility.isFramed)
            SampleRoute.LOOKUPS, SampleRoute.ORDERS -> SampleRequest.plainResponseHead(id, PLAIN_BODY.length)
        }
        socket.getOutputStream().write(head.toByteArray())
    }

    private fun readHead(input: BufferedReader): List<String> =
        generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()

    /** Ends the incarnation [ended] as a process that dies would; does nothing if it has ended already. */
    fun crash(ended: Int = incarnation.get()) {
        if (!incarnation.compareAndSet(ended, ended + 1)) return
        crashed.add(TimeSource.Monotonic.markNow())
        val old = listener
        if (fragility.acceptsFor == Duration.ZERO) old.close()
        connections.forEach { it.close() }
        connections.clear()
        thread(isDaemon = true) {
            Thread.sleep(fragility.acceptsFor.inWholeMilliseconds)
            old.close()
            Thread.sleep(DOWNTIME.inWholeMilliseconds)
            restart()
        }
    }

    /** Listens again as soon as no outgoing connection of another socket has the port. */
    private fun restart() {
        val restarted = ServerSocket().apply { reuseAddress = true }
        while (runCatching { restarted.bind(InetSocketAddress(LOOPBACK, port), BACKLOG) }.isFailure) {
            Thread.sleep(BIND_PAUSE.inWholeMilliseconds)
        }
        listener = restarted
        if (isClosed) return restarted.close()
        onListed(name, "$LOOPBACK:$port", FIRST_START + crashes)
        acceptAll(restarted)
    }

    override fun close() {
        isClosed = true
        listener.close()
        connections.forEach { it.close() }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val BACKLOG = 100
        const val FIRST_START = 1_000L
        const val EVENTS = 3
        const val HEXADECIMAL = 16
        const val PLAIN_BODY = "{\"ok\":true}"
        val PREFILL_TIME: Duration = 20.milliseconds
        val DOWNTIME: Duration = 500.milliseconds
        val BIND_PAUSE: Duration = 20.milliseconds
    }
}
