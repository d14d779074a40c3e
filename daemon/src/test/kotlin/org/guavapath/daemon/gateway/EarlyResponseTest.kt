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
import java.io.InputStream
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration

/** How a replica ends the connection of a response without a length. */
private enum class End {
    /** It closes the connection. Where bytes of the request are unread, its side ends, and a reset follows. */
    CLOSE,

    /** It ends its side first. */
    END_OF_SIDE,

    /** It ends its side, and closes the connection a little later. */
    END_OF_SIDE_BEFORE_CLOSE,

    /** It resets the connection. */
    RESET,
}

class EarlyResponseTest {
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

    private class Listener : ReplicaResponseListener {
        val result = CompletableFuture<String>()

        /** Called when the replica has ended its side of the connection. */
        var onEnded: () -> Unit = {}

        override fun ended() = onEnded()

        override fun notSent(reason: String, isOwnDecision: Boolean) = record("not sent")

        override fun head(head: ReplicaResponseHead, headers: HttpHeaders) = Unit

        override fun body(bytes: ByteArray) = Unit

        override fun complete() = record("complete")

        override fun failed(reason: String) = record("failed")

        private fun record(text: String) {
            result.complete(text)
        }
    }

    @AfterTest
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    /** Answers one request without a length once [unread] bytes of its body are left, and ends with [end]. */
    private fun answer(bodyBytes: Int, unread: Int, end: End) = thread(isDaemon = true) {
        server.accept().use { socket ->
            val input = socket.getInputStream()
            val head = readHead(input)
            input.readNBytes(bodyBytes - unread)
            val id = SampleFleet.attemptIdIn(head)
            val response = SampleFleet.plainResponse(id, "a part").replace("Content-Length", "Other")
            socket.getOutputStream().write(response.toByteArray())
            when (end) {
                End.CLOSE -> Unit
                End.END_OF_SIDE -> socket.shutdownOutput()
                End.END_OF_SIDE_BEFORE_CLOSE -> {
                    socket.shutdownOutput()
                    Thread.sleep(TIME_TO_CLOSE_MILLISECONDS)
                }
                End.RESET -> socket.setSoLinger(true, 0)
            }
        }
    }

    private fun readHead(input: InputStream): List<String> {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(input.read().toChar())
        return head.lines()
    }

    private fun request(bodyBytes: Int, maxConnections: Int = 10): ReplicaRequest {
        val (name, value) = SampleFleet.attemptIdHeader("a")
        val body = ByteArray(bodyBytes).takeIf { bodyBytes > 0 }
        val http = ReplicaRequests.call(HttpMethod.POST, "/", DefaultHttpHeaders().set(name, value), body)
        return ReplicaRequest(replica, http, RequestId("a"), ConnectionChoice.New, maxConnections)
    }

    private fun outcome(bodyBytes: Int, unread: Int, end: End): String {
        answer(bodyBytes, unread, end)
        val listener = Listener()
        loop.execute { pool.send(request(bodyBytes), listener) }
        return listener.result.get(5, TimeUnit.SECONDS)
    }

    /** Guards against a part of an answer that passes for whole though its replica reset the connection (MIXED). */
    @Test
    fun aResponseIsNotWholeIfItsReplicaDidNotTakeTheRequest() {
        for (bodyBytes in listOf(10_000, 200_000, 4_000_000)) {
            for (unread in listOf(1, bodyBytes / 2, bodyBytes)) {
                for (end in End.entries) {
                    val outcomes = List(RUNS) { outcome(bodyBytes, unread, end) }.distinct()
                    assertEquals(listOf("failed"), outcomes, "$end with $unread of $bodyBytes bytes unread")
                }
            }
        }
    }

    /** Guards against whole responses without a length that are taken for broken off. */
    @Test
    fun aResponseIsWholeOnceItsReplicaHasTakenTheRequest() {
        for (bodyBytes in listOf(0, 10_000, 4_000_000)) {
            for (end in End.entries - End.RESET) {
                val outcomes = List(RUNS) { outcome(bodyBytes, unread = 0, end) }.distinct()
                assertEquals(listOf("complete"), outcomes, "$end after $bodyBytes bytes")
            }
        }
    }

    /** Guards against places at a replica, and evidence of its crash, that wait until its response is whole. */
    @Test
    fun theEndOfAReplicasSideIsToldBeforeItsResponseIsKnownAsWhole() {
        val first = Listener()
        val second = Listener()
        first.onEnded = {
            assertEquals(false, first.result.isDone)
            answer(bodyBytes = 0, unread = 0, End.CLOSE)
            pool.send(request(bodyBytes = 0, maxConnections = 1), second)
        }
        answer(bodyBytes = 0, unread = 0, End.CLOSE)
        loop.execute { pool.send(request(bodyBytes = 0, maxConnections = 1), first) }
        val results = listOf(first, second).map { it.result.get(5, TimeUnit.SECONDS) }
        assertEquals(listOf("complete", "complete"), results)
    }

    private companion object {
        const val RUNS = 8
        const val TIME_TO_CLOSE_MILLISECONDS = 5L
    }
}
