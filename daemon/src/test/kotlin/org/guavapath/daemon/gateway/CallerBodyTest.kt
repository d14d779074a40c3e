package org.guavapath.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.buffer.UnpooledHeapByteBuf
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import org.guavapath.core.fleet.CallerLimits
import org.guavapath.core.memory.BodyBudget
import org.guavapath.daemon.pipeline.Refusal
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private const val LARGE_BYTES = 1_500_000
private const val SMALL_BYTES = 600

/** Sends bodies on loopback to connections that share a budget; the test decides when their requests are answered. */
class CallerBodyTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop

    private class Answers(bytes: Long) : RequestHandler {
        override val connections = CallerConnections()
        override val bodies = BodyBudget(bytes)
        override val callerLimits = CallerLimits(16_384, bodyBytes = 2_000_000, 3.seconds, idleTimeout = 5.seconds)
        val served = ConcurrentHashMap<String, () -> Unit>()
        val received = ConcurrentHashMap<String, ByteBuf>()
        val refused = CopyOnWriteArrayList<Refusal>()
        var areFailuresFatal = false

        override fun serve(request: IncomingRequest, sink: ResponseSink): RunningExchange? {
            received[request.path] = request.body.content().copy()
            served[request.path] = { sink.writeFull(ResponseHead(200, emptyList()), ByteArray(1)) }
            return null
        }

        override fun failed(cause: Throwable) = check(!areFailuresFatal) { "no memory is left to record $cause" }

        override fun refusedUnread(request: IncomingRequest, refusal: Refusal) {
            refused += refusal
        }

        override fun leftUnanswered(unanswered: UnansweredRequests) = Unit

        override fun misplacedWrite(request: IncomingRequest?, write: String, state: ResponseState) =
            error("$write for ${request?.path}, which is $state")
    }

    /** Room for two large bodies and a reserve. */
    private val answers = Answers(bytes = 4_000_000)
    private val listener = CallerHttpServer(group, answers).start(SocketAddress("127.0.0.1", 0))

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private fun body(size: Int) = ByteArray(size) { (it * 31 + it / 251).toByte() }

    private fun connect() = Socket().apply {
        connect(listener.localAddress() as InetSocketAddress)
        soTimeout = 5_000
    }

    private fun Socket.upload(path: String, size: Int, sent: Int = size, isChunked: Boolean = false) = apply {
        val framing = if (isChunked) "Transfer-Encoding: chunked" else "Content-Length: $size"
        val head = "POST $path HTTP/1.1\r\nHost: a\r\n$framing\r\n\r\n".toByteArray()
        val body = body(size)
        val chunked = { (size.toString(16) + "\r\n").toByteArray() + body + "\r\n0\r\n\r\n".toByteArray() }
        val bytes = head + if (isChunked) chunked() else body.copyOf(sent)
        // On a thread of its own: a connection that is not read on does not take all.
        Thread { runCatching { getOutputStream().write(bytes) } }.apply { isDaemon = true }.start()
    }

    private fun Socket.response(): String {
        val buffer = ByteArray(4_096)
        return String(buffer, 0, maxOf(0, getInputStream().read(buffer)))
    }

    private fun <T> onLoop(task: () -> T): T = loop.submit(task).get()

    private fun answer(path: String) = onLoop { checkNotNull(answers.served[path]) { "$path is not served" }() }

    private fun await(what: String, condition: () -> Boolean) {
        val until = System.nanoTime() + 3.seconds.inWholeNanoseconds
        while (!onLoop(condition)) {
            assertTrue(System.nanoTime() < until, what)
            Thread.sleep(5)
        }
    }

    private fun awaitServed(path: String) = await("$path is served") { answers.served.containsKey(path) }

    private fun assertNothingIsHeld() {
        await("nothing is held") { answers.bodies.held == 0L }
        assertEquals(0, onLoop { answers.bodies.waitingBodies })
    }

    /** Guards against reading a body that there is no room for, against starving small ones, and against lost parts. */
    @Test
    fun aBodyWaitsForItsRoomWhileSmallOnesPass() = listOf(false, true).forEach { isChunked ->
        answers.served.clear()
        val first = connect().upload("/1", LARGE_BYTES)
        val second = connect().upload("/2", LARGE_BYTES)
        listOf("/1", "/2").forEach(::awaitServed)
        val third = connect().upload("/3", LARGE_BYTES, isChunked = isChunked)
        await("a body waits") { answers.bodies.waitingBodies == 1 }
        val small = connect().upload("/small", SMALL_BYTES)
        awaitServed("/small")
        assertFalse(answers.served.containsKey("/3"))
        answer("/1")
        awaitServed("/3")
        listOf("/2", "/3", "/small").forEach(::answer)
        listOf(first, second, third, small).forEach { assertTrue(it.response().startsWith("HTTP/1.1 200")) }
        assertEquals(Unpooled.wrappedBuffer(body(LARGE_BYTES)), answers.received["/3"])
        assertNothingIsHeld()
        assertTrue(answers.refused.isEmpty())
    }

    @Test
    fun aBodyThatHasNoRoomInTimeIsRefused() {
        val slow = List(2) { connect().upload("/slow", LARGE_BYTES, sent = 1_000) }
        await("two are held") { answers.bodies.held >= 2 * LARGE_BYTES }
        val refused = connect().upload("/refused", LARGE_BYTES)
        val response = refused.response()
        assertTrue(response.startsWith("HTTP/1.1 503"), response)
        assertTrue("Retry-After: 0.300" in response && "X-Guavapath-Result: 4004" in response, response)
        assertEquals(listOf("memory-full"), answers.refused.map { it.code.label })
        slow.forEach { it.close() }
        assertNothingIsHeld()
        assertTrue(answers.served.isEmpty())
    }

    /** Guards against room that closed connections keep, whatever they were at. */
    @Test
    fun closedConnectionsGiveTheirRoomBack() {
        val reading = connect().upload("/reading", LARGE_BYTES, sent = 1_000)
        val serving = connect().upload("/serving", LARGE_BYTES)
        awaitServed("/serving")
        await("two are held") { answers.bodies.held >= 2 * LARGE_BYTES }
        val waiting = connect().upload("/waiting", LARGE_BYTES)
        await("a body waits") { answers.bodies.waitingBodies == 1 }
        listOf(waiting, reading, serving).forEach { it.close() }
        assertNothingIsHeld()
    }

    /** Guards against a request that runs without a part of its body. */
    @Test
    fun aRequestWhosePartCouldNotBeCopiedNeverRuns() = listOf(true, false).forEach { areFailuresFatal ->
        val handler = Answers(bytes = 4_000_000).also { it.areFailuresFatal = areFailuresFatal }
        val channel = EmbeddedChannel(CallerConnection(handler))
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/broken")
        head.headers().set("Transfer-Encoding", "chunked").set("Host", "a")
        val uncopyable = object : UnpooledHeapByteBuf(UnpooledByteBufAllocator.DEFAULT, ByteArray(9), 9) {
            override fun readBytes(target: ByteArray, from: Int, count: Int) = throw OutOfMemoryError("no heap is left")
        }
        channel.writeInbound(head, DefaultHttpContent(Unpooled.wrappedBuffer(ByteArray(9))))
        runCatching { channel.writeInbound(DefaultHttpContent(uncopyable)) }
        runCatching { channel.writeInbound(DefaultLastHttpContent(Unpooled.wrappedBuffer(ByteArray(9)))) }
        assertTrue(handler.served.isEmpty(), "it runs without a part")
        assertEquals(500, channel.readOutbound<HttpResponse>().status().code())
        assertEquals(0, handler.bodies.held)
    }
}
