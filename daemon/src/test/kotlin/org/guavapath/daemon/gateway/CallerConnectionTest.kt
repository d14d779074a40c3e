package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.guavapath.core.fleet.CallerLimits
import org.guavapath.core.memory.BodyBudget
import org.guavapath.daemon.pipeline.Refusal
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val LOOPBACK = "127.0.0.1"
private const val BODY_BUDGET = 1_048_576L

/** Runs connections of callers on loopback; the test answers their requests. */
class CallerConnectionTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop

    /** Answers each request by its path: after 100 ms, at once with a large body, never, or not at all. */
    private inner class Answers : RequestHandler {
        override val connections = CallerConnections()
        override val bodies = BodyBudget(BODY_BUDGET)
        val lost = CopyOnWriteArrayList<UnansweredRequests>()
        val failures = CopyOnWriteArrayList<Throwable>()
        val refused = CopyOnWriteArrayList<Refusal>()

        @Volatile
        var idleTimeout: Duration = 5.seconds
        override val callerLimits
            get() = CallerLimits(headerBytes = 16_384, bodyBytes = 1_024, headerTimeout = 2.seconds, idleTimeout)

        override fun serve(request: IncomingRequest, sink: ResponseSink): RunningExchange? {
            val answer = { sink.writeFull(ResponseHead(200, listOf("Path" to request.path)), bodyOf(request.path)) }
            when (request.path) {
                "/fails" -> error("no answer")
                "/large" -> answer()
                else -> loop.schedule(answer, 100, TimeUnit.MILLISECONDS)
            }
            return null
        }

        override fun failed(cause: Throwable) {
            failures += cause
        }

        override fun refusedUnread(request: IncomingRequest, refusal: Refusal) {
            refused += refusal
        }

        override fun leftUnanswered(unanswered: UnansweredRequests) {
            lost += unanswered
        }

        override fun misplacedWrite(request: IncomingRequest?, write: String, state: ResponseState) =
            error("$write for ${request?.path}, which is $state")

        private fun bodyOf(path: String) = ByteArray(if (path == "/large") LARGE else 1) { 'a'.code.toByte() }
    }

    private var answers = Answers()
    private var listener = listen()
    private var draining: Future<*>? = null
    private val port get() = (listener.localAddress() as InetSocketAddress).port

    private fun listen() = CallerHttpServer(group, answers).start(SocketAddress(LOOPBACK, 0))

    /** Begins anew: no connection drains. */
    private fun restart() {
        draining?.cancel(false)
        listener.close().sync()
        answers = Answers()
        listener = listen()
    }

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private fun onLoop(task: () -> Unit) {
        loop.submit(task).get()
    }

    /** Drains as a gateway does: closes connections without a request again and again, until none is open. */
    private fun drain() {
        onLoop { answers.connections.drain() }
        val task = Runnable { answers.connections.closeIdle() }
        draining = loop.scheduleAtFixedRate(task, 0, 50, TimeUnit.MILLISECONDS)
    }

    private fun get(path: String, header: String = "") = "GET $path HTTP/1.1\r\nHost: a\r\n$header\r\n"

    private fun <T> connected(use: (Socket) -> T): T = Socket().use { socket ->
        socket.receiveBufferSize = 65_536
        socket.connect(InetSocketAddress(LOOPBACK, port))
        socket.soTimeout = 10_000
        use(socket)
    }

    private fun Socket.send(text: String) = getOutputStream().write(text.toByteArray())

    /** Reads until the connection ends, a part at a time if [pause] is given. */
    private fun Socket.readAll(pause: Duration = Duration.ZERO): String {
        val text = StringBuilder()
        val buffer = ByteArray(LARGE / 20)
        val input = getInputStream()
        while (true) {
            Thread.sleep(pause.inWholeMilliseconds)
            val length = runCatching { input.readNBytes(buffer, 0, buffer.size) }.getOrDefault(0)
            if (length == 0) return text.toString()
            text.append(String(buffer, 0, length, Charsets.ISO_8859_1))
        }
    }

    private class Closing(val name: String, val header: String, val begin: () -> Unit)

    /** Guards against cutting a response that its caller reads slowly, in each way in which a connection is closed. */
    @Test
    fun aSlowReaderGetsTheWholeResponseHoweverTheConnectionCloses() {
        val cases = listOf(
            Closing("the caller asks for it", "Connection: close\r\n") {},
            Closing("its idle timeout is shortened", "") { answers.idleTimeout = 300.milliseconds },
            Closing("the gateway drains", "") { drain() },
        )
        cases.forEach { case ->
            restart()
            val text = connected { socket ->
                socket.send(get("/large", case.header))
                Thread.sleep(100)
                case.begin()
                socket.readAll(pause = 50.milliseconds)
            }
            assertEquals(LARGE, text.length - text.indexOf("\r\n\r\n") - 4, case.name)
            assertTrue(answers.lost.isEmpty(), "${case.name}: ${answers.lost.map { it.end }}")
        }
    }

    /** Guards against keeping a response for a caller that does not read at all. */
    @Test
    fun aCallerThatDoesNotReadIsDisconnected() = connected { socket ->
        answers.idleTimeout = 300.milliseconds
        socket.send(get("/large"))
        awaitTrue("the connection is closed") { answers.lost.any { it.end == ConnectionEnd.UNREAD } }
    }

    private class Pipeline(val name: String, val requests: String, val paths: List<String>, val last: String)

    /** Guards against dropping requests that were read while the response before them was the last one. */
    @Test
    fun allRequestsThatWereReadAreAnswered() {
        val three = get("/1") + get("/2") + get("/3")
        val cases = listOf(
            Pipeline("requests before a drain", three, listOf("/1", "/2", "/3"), last = "200"),
            Pipeline("a failure", get("/1") + get("/fails"), listOf("/1"), last = "500"),
            Pipeline("an unreadable request", get("/1") + get("/2") + "rubbish\r\n\r\n", listOf("/1", "/2"), "400"),
            Pipeline("a body that is too large", get("/1") + upload(2_048), listOf("/1"), last = "413"),
            Pipeline("a long body that is too large", get("/1") + upload(262_144), listOf("/1"), last = "413"),
        )
        cases.forEach { case ->
            restart()
            val text = connected { socket ->
                socket.send(case.requests)
                Thread.sleep(50)
                drain()
                socket.readAll()
            }
            val statuses = Regex("HTTP/1.1 ([0-9]+)").findAll(text).map { it.groupValues[1] }.toList()
            assertEquals(case.paths, text.lines().filter { it.startsWith("Path: ") }.map { it.drop(6) }, case.name)
            assertEquals(case.last, statuses.lastOrNull(), case.name)
        }
    }

    private fun upload(bytes: Int) =
        "POST /upload HTTP/1.1\r\nHost: a\r\nContent-Length: $bytes\r\n\r\n" + "a".repeat(bytes)

    /** Guards against closing a connection as idle over a request that has arrived while the event loop was late. */
    @Test
    fun aRequestThatArrivesBeforeALateIdleTimeoutIsAnswered() = connected { socket ->
        answers.idleTimeout = 300.milliseconds
        socket.send(get("/1"))
        Thread.sleep(200)
        loop.execute { Thread.sleep(800) }
        Thread.sleep(200)
        socket.send(get("/2", "Connection: close\r\n"))
        val text = socket.readAll()
        assertTrue("Path: /2" in text, text)
    }

    private companion object {
        /** More than the buffers of both sockets hold. */
        const val LARGE = 24_000_000
    }
}
