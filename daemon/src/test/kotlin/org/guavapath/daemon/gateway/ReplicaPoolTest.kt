package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.RequestId
import org.guavapath.platform.wire.ReplicaResponseHead
import org.guavapath.platform.wire.SampleFleet
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val MAX_CONNECTIONS = 10

class ReplicaPoolTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop
    private val pool = ReplicaPool(loop)
    private val server = ServerSocket(0)
    private val replica = Replica(
        ReplicaId("replica"),
        startedAt = 0,
        ServiceName("service"),
        "127.0.0.1:${server.localPort}",
        FailureDomainName("domain"),
        slots = 1,
        isDraining = false,
        warmUpLeft = Duration.ZERO,
        weights = emptyMap(),
    )

    private class RecordingListener : ReplicaResponseListener {
        val result = CompletableFuture<String>()
        private val body = BodyBuffer()

        override fun notSent(reason: String, isOwnDecision: Boolean) = record("not sent")

        override fun head(head: ReplicaResponseHead, headers: HttpHeaders) = Unit

        override fun body(bytes: ByteArray) {
            body.append(bytes)
        }

        override fun complete() = record(body.bytes().toString(Charsets.UTF_8))

        override fun failed(reason: String) = record("broken")

        fun await(): String = result.get(5, TimeUnit.SECONDS)

        private fun record(text: String) {
            result.complete(text)
        }
    }

    @AfterTest
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    /** Responds to each request on each connection with what [respond] returns for the request id. */
    private fun serve(respond: (String) -> String) = thread(isDaemon = true) {
        generateSequence { runCatching { server.accept() }.getOrNull() }
            .forEach { socket -> thread(isDaemon = true) { socket.use { serve(it, respond) } } }
    }

    private fun serve(socket: Socket, respond: (String) -> String) {
        val input = socket.getInputStream().bufferedReader()
        var isOpen = true
        while (isOpen) {
            val head = generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()
            val id = SampleFleet.attemptIdIn(head)
            val text = id?.let(respond).orEmpty()
            socket.getOutputStream().write(text.removeSuffix(CLOSE).toByteArray())
            isOpen = id != null && !text.endsWith(CLOSE)
        }
    }

    private fun send(id: String): RecordingListener = send(RequestId(id), ConnectionChoice.Pooled(5.seconds))

    private fun call(connection: ConnectionChoice) = send(id = null, connection)

    private fun send(
        id: RequestId?,
        connection: ConnectionChoice,
        body: ByteArray? = null,
        refusal: () -> String? = { null },
    ): RecordingListener {
        val listener = RecordingListener()
        val (name, value) = SampleFleet.attemptIdHeader(id?.text ?: CALL)
        val http = ReplicaRequests.call(HttpMethod.POST, "/", DefaultHttpHeaders().set(name, value), body)
        val request = ReplicaRequest(replica, http, id, connection, MAX_CONNECTIONS, refusal)
        loop.execute { pool.send(request, listener) }
        return listener
    }

    private fun response(id: String) = SampleFleet.plainResponse(id, body = id)

    @Test
    fun sendsRequestsAfterAReplicaWasRemoved() {
        serve { response(it) }
        val ids = listOf("a", "b", "c")
        assertEquals(ids, ids.map { send(it) }.toList().map { it.await() })
        loop.submit { pool.drop(replica.id) }.get(5, TimeUnit.SECONDS)
        assertEquals("d", send("d").await())
    }

    @Test
    fun neverDeliversAnotherRequestsResponse() {
        val cases = listOf(
            Triple("a complete response", { id: String -> response(id) }, "second"),
            Triple("a second response after the first", { id: String -> response(id) + response("other") }, "second"),
            Triple(
                "a late response to an earlier request",
                { id: String -> if (id == "second") response("first") + response(id) else response(id) },
                "second",
            ),
            Triple("a response to an unknown request", { id: String -> response("other") + response(id) }, "broken"),
            Triple("no request id", { _: String -> "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx$CLOSE" }, "broken"),
            Triple("a truncated response", { id: String -> response(id).dropLast(1) + CLOSE }, "broken"),
            Triple("not HTTP", { _: String -> "rubbish\r\n\r\n$CLOSE" }, "broken"),
        )
        var behaviour: (String) -> String = { response(it) }
        serve { behaviour(it) }
        cases.forEach { (name, respond, expected) ->
            behaviour = respond
            send("first").await()
            assertEquals(expected, send("second").await(), name)
        }
    }

    /** A late response to a caller's request, or to another call, was taken for that to an order. */
    @Test
    fun sendsCallsOnConnectionsOfTheirOwn() {
        serve { if (it == CALL) SampleFleet.plainResponse(id = null, body = CALL) else response(it) }
        val cases = listOf(
            Triple("a request", { send("first") }, 1L),
            Triple("a call after a request", { call(ConnectionChoice.Pooled(5.seconds)) }, 2L),
            Triple("a call after a call", { call(ConnectionChoice.Pooled(5.seconds)) }, 2L),
            Triple("a call on a new connection", { call(ConnectionChoice.New) }, 3L),
            Triple("a call after that", { call(ConnectionChoice.Pooled(5.seconds)) }, 3L),
            Triple("another call on a new connection", { call(ConnectionChoice.New) }, 4L),
            Triple("a request after calls", { send("second") }, 4L),
        )
        for ((name, send, expectedConnections) in cases) {
            send().await()
            assertEquals(expectedConnections, pool.opened, name)
        }
    }

    /** A response without a length that was reset passed for a whole one if the request was still being written. */
    @Test
    fun failsAResponseWithoutALengthThatIsResetBeforeItsRequestIsWritten() {
        val head = response("first").substringBefore("Content-Length") + "\r\npart of the body"
        thread(isDaemon = true) {
            generateSequence { runCatching { server.accept() }.getOrNull() }.forEach { socket ->
                socket.getInputStream().read()
                socket.getOutputStream().write(head.toByteArray())
                Thread.sleep(RESET_DELAY_MILLISECONDS)
                socket.setSoLinger(true, 0)
                socket.close()
            }
        }
        val results = List(RESETS) {
            send(RequestId("first"), ConnectionChoice.New, ByteArray(LARGE_BODY)).await()
        }
        assertEquals(setOf("broken"), results.toSet())
    }

    /** A request whose new connection was reset before it was sent had no end. */
    @Test
    fun endsRequestsWhoseNewConnectionsAreReset() {
        thread(isDaemon = true) {
            generateSequence { runCatching { server.accept() }.getOrNull() }.forEach {
                it.setSoLinger(true, 0)
                it.close()
            }
        }
        val listeners = List(CONNECTIONS_RESET) { send("request-$it").also { Thread.sleep(1) } }
        Thread.sleep(1_000)
        val results = listeners.map { it.result.getNow("no end") }
        assertEquals(emptyList(), results.filter { it !in setOf("not sent", "broken") })
    }

    /** Guards against sending what is not wanted any more, and against asking for a request that is not sent. */
    @Test
    fun asksOnceBeforeEachSendWhetherTheRequestIsStillWanted() {
        val received = CopyOnWriteArrayList<String>()
        serve { id -> response(id).also { received += id } }
        val pooled = ConnectionChoice.Pooled(5.seconds)
        val asked = CopyOnWriteArrayList<String>()
        fun sendIf(id: String, isWanted: Boolean) = send(RequestId(id), pooled) {
            asked += id
            "unwanted".takeIf { !isWanted }
        }.await()
        val cases = listOf(
            Triple("a new connection, not wanted", { sendIf("a", isWanted = false) }, "not sent"),
            Triple("a new connection", { sendIf("b", isWanted = true) }, "b"),
            Triple("a used connection, not wanted", { sendIf("c", isWanted = false) }, "not sent"),
            Triple("a used connection", { sendIf("d", isWanted = true) }, "d"),
        )
        cases.forEach { (name, send, expected) -> assertEquals(expected, send(), name) }
        assertEquals(listOf("a", "b", "c", "d"), asked)
        assertEquals(listOf("b", "d"), received)
        assertEquals(2, pool.opened, "the connection is used again after a request that was not wanted")
        server.close()
        loop.submit { pool.drop(replica.id) }.get(5, TimeUnit.SECONDS)
        assertEquals("not sent", sendIf("e", isWanted = true))
        assertEquals(false, "e" in asked, "asked without a connection")
    }

    private companion object {
        const val RESETS = 40
        const val CONNECTIONS_RESET = 400
        const val RESET_DELAY_MILLISECONDS = 20L
        const val LARGE_BODY = 4_194_304

        /** Stands for the id in calls of the gateway's own, which the server tells from requests by it. */
        const val CALL = "call"

        /** Marks a response after which the server closes the connection. */
        const val CLOSE = "\u0000"
    }
}
