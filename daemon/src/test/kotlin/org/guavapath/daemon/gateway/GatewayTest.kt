package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleFleet
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

private const val LOOPBACK = "127.0.0.1"

/** Runs one gateway with one replica on loopback; the store is in memory. */
class GatewayTest {
    private val replica = ServerSocket(0, 100, InetAddress.getByName(LOOPBACK))
    private val sample = SampleFleet("$LOOPBACK:${replica.localPort}")
    private val settings = SampleSettings(vm = "test")
    private val callers = settings.callers
    private val readiness = settings.readiness
    private val heads = LinkedBlockingQueue<List<String>>()
    private val closed = LinkedBlockingQueue<Long>()
    private val gateway = Gateway(settings.read(), SampleStore(sample))

    @Volatile
    private var response: String? = sample.response

    /** Whether the replica closes the connection after [response]. */
    @Volatile
    private var closesAfterResponse = false

    /** What follows [response] until the gateway closes the connection; null for nothing. */
    @Volatile
    private var endlessBlock: String? = null
    private val endlessBytes = AtomicLong()

    /** Milliseconds before each [endlessBlock]. */
    @Volatile
    private var endlessPause = 0L

    init {
        thread(isDaemon = true) {
            generateSequence { runCatching { replica.accept() }.getOrNull() }
                .forEach { socket -> thread(isDaemon = true) { serve(socket) } }
        }
        gateway.start()
        awaitReady()
    }

    @AfterTest
    fun stop() {
        gateway.close()
        replica.close()
    }

    /** Serves requests, with [response] if it is set, and records when the gateway closes the connection. */
    private fun serve(socket: Socket) = runCatching {
        val reader = socket.getInputStream().bufferedReader()
        var head = generateSequence { reader.readLine()?.takeIf { it.isNotEmpty() } }.toList()
        while (head.isNotEmpty()) {
            heads.add(head)
            repeat(2) { reader.read() }
            response?.let { socket.getOutputStream().write(it.toByteArray()) }
            endlessBlock?.let { writeWithoutEnd(it.toByteArray(), socket) }
            if (closesAfterResponse) socket.close()
            head = generateSequence { reader.readLine()?.takeIf { it.isNotEmpty() } }.toList()
        }
        closed.add(System.nanoTime())
    }

    private fun writeWithoutEnd(block: ByteArray, socket: Socket) {
        try {
            while (true) {
                Thread.sleep(endlessPause)
                socket.getOutputStream().write(block)
                endlessBytes.addAndGet(block.size.toLong())
            }
        } catch (_: IOException) {
            closed.add(System.nanoTime())
        }
    }

    private fun awaitReady() {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10)
        while (statusOf(readiness, "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n") != 200) {
            check(System.nanoTime() < end) { "the gateway is not ready after 10 s" }
            Thread.sleep(20)
        }
    }

    private fun statusOf(port: Int, request: String): Int = Socket(LOOPBACK, port).use { socket ->
        socket.getOutputStream().write(request.toByteArray())
        socket.getInputStream().bufferedReader().readLine().orEmpty().split(' ').getOrElse(1) { "0" }.toInt()
    }

    @Test
    fun relaysTheWholeResponseAndStripsTheCallersKey() {
        Socket(LOOPBACK, callers).use { socket ->
            repeat(3) {
                socket.getOutputStream().write(sample.request.toByteArray())
                val reader = socket.getInputStream().bufferedReader()
                val lines = generateSequence { reader.readLine() }.takeWhile { it != "0" }.toList()
                reader.readLine()
                assertTrue(lines.first().startsWith("HTTP/1.1 200"), lines.first())
                assertTrue("data: a" in lines, lines.toString())
                assertEquals(1, lines.count { sample.isSignature(it) })
            }
        }
        val head = assertNotNull(heads.poll(2, TimeUnit.SECONDS))
        assertTrue(head.none { sample.isKey(it) }, head.toString())
        assertTrue(head.containsAll(sample.linesAtReplica), head.toString())
    }

    /** Callers that disconnect before the first event must not leave work running at the replica. */
    @Test
    fun closesTheReplicaConnectionWhenTheCallerDisconnects() {
        response = null
        val socket = Socket(LOOPBACK, callers)
        socket.getOutputStream().write(sample.request.toByteArray())
        assertNotNull(heads.poll(2, TimeUnit.SECONDS), "the request did not reach the replica")
        val disconnectedAt = System.nanoTime()
        socket.close()
        val closedAt = assertNotNull(closed.poll(2, TimeUnit.SECONDS), "the connection to the replica stays open")
        assertTrue(closedAt - disconnectedAt < TimeUnit.MILLISECONDS.toNanos(500))
    }

    @Test
    fun refusesMalformedAndUnauthorizedRequestsBeforeAnyReplica() {
        val head = sample.request.substringBefore("Content-Length")
        val chunked = "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        val cases = listOf(
            Triple("an unknown key", sample.requestWithUnknownKey, 401),
            Triple("no key", sample.requestWithoutKey, 401),
            Triple("a path without a route", sample.request.replace("/prompts/1", "/elsewhere/1"), 404),
            Triple("dot segments", sample.request.replace("/prompts/1", "/prompts/../x"), 400),
            Triple("encoded dot segments", sample.request.replace("/prompts/1", "/prompts/%2E%2e/x"), 400),
            Triple("two different lengths", head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", 400),
            Triple("a length and chunked encoding", "${head}Content-Length: 2\r\n$chunked", 400),
            Triple("an unsupported transfer encoding", head + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", 400),
            Triple("no request id", sample.requestWithoutAttemptId, 400),
        )
        cases.forEach { (name, request, status) -> assertEquals(status, statusOf(callers, request), name) }
        assertEquals(null, heads.poll(200, TimeUnit.MILLISECONDS))
    }

    @Test
    fun neverRelaysAnInvalidResponseAsSuccess() {
        val begun = sample.response.substringBefore("0\r\n")
        val cases = listOf(
            "a truncated event" to begun.dropLast(6),
            "a response without a signature" to sample.unsignedResponse,
            "not HTTP" to "rubbish\r\n\r\n",
        )
        cases.forEach { (name, broken) ->
            response = broken
            val text = Socket(LOOPBACK, callers).use { socket ->
                socket.soTimeout = 5_000
                socket.getOutputStream().write(sample.request.toByteArray())
                socket.getInputStream().bufferedReader().readLine().orEmpty()
            }
            assertTrue(!text.startsWith("HTTP/1.1 200"), "$name: $text")
        }
    }

    /** Guards against relaying a response without a length as complete where it broke off. */
    @Test
    fun responsesWithoutALengthEndWithTheirConnection() {
        closesAfterResponse = true
        val head = SampleFleet.responseHead("5a", isFramed = false)
        // The connection would otherwise stay open for as long as the test waits for the next line.
        val request = sample.request.replace("Content-Length", "Connection: close\r\nContent-Length")
        val cases = listOf(
            Triple("whole events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true),
            Triple("an event that breaks off", "id: 1\ndata: a\n\nid: 2\nda", false),
            Triple("an event without the blank line", "id: 1\ndata: a\n", false),
            Triple("no event", "", false),
        )
        cases.forEach { (name, events, isComplete) ->
            response = head + events
            val text = Socket(LOOPBACK, callers).use { socket ->
                socket.soTimeout = 5_000
                socket.getOutputStream().write(request.toByteArray())
                socket.getInputStream().bufferedReader().lineSequence().takeWhile { it != "0" }.joinToString("\n")
            }
            assertEquals(isComplete, text.startsWith("HTTP/1.1 200") && "id: 2\ndata: b" in text, "$name: $text")
        }
    }

    /** Guards against memory that grows, and a connection that stays busy, while a replica sends bytes without end. */
    @Test
    fun closesConnectionsThatSendBytesWithoutEnd() = sample.endlessResponses.forEach { endless ->
        response = endless.beginning
        endlessBlock = endless.block
        endlessBytes.set(0)
        closed.clear()
        val status = statusOf(callers, sample.request)
        assertTrue(status >= 500, "${endless.name}: $status")
        assertNotNull(closed.poll(2, TimeUnit.SECONDS), "${endless.name}: the connection stays open")
        assertTrue(endlessBytes.get() < MAX_ENDLESS_BYTES, "${endless.name}: ${endlessBytes.get()} bytes were read")
        response = sample.response
        endlessBlock = null
        assertEquals(200, statusOf(callers, sample.request), "${endless.name}: the next request")
    }

    /** Guards against waiting until the deadline for a replica that sends a byte now and then but no event. */
    @Test
    fun givesUpAStreamThatSendsBytesButNoEvent() {
        response = sample.trickle.beginning
        endlessBlock = sample.trickle.block
        endlessPause = 50
        assertEquals(502, statusOf(callers, sample.request), "504 is the status at the deadline")
        assertNotNull(closed.poll(2, TimeUnit.SECONDS), "the connection to the replica stays open")
    }

    /** Guards against giving up a replica because the caller reads slowly. */
    @Test
    fun relaysAStreamWholeToACallerThatPauses() {
        response = sample.largeResponse
        Socket(LOOPBACK, callers).use { socket ->
            socket.getOutputStream().write(sample.patientRequest.toByteArray())
            Thread.sleep(CALLER_PAUSE)
            val lines = socket.getInputStream().bufferedReader().lineSequence().takeWhile { it != "0" }.toList()
            val events = { text: List<String> -> text.count { it.startsWith("id: ") } }
            assertEquals(events(sample.largeResponse.lines()), events(lines))
        }
        assertEquals(1, heads.size, "the request was sent once")
    }

    /** Guards against ending with requests that were read and have neither a response nor a refusal. */
    @Test
    fun endsEachRequestWhenItStops() {
        val beginning = sample.response.substringBefore("0\r\n")
        val cases = listOf(
            Triple("a request that may have run", null, "HTTP/1.1 502"),
            Triple("a response that has begun", beginning, "HTTP/1.1 200"),
        )
        val texts = cases.map { (name, text, status) ->
            response = text
            val socket = Socket(LOOPBACK, callers)
            socket.getOutputStream().write(sample.patientRequest.toByteArray())
            assertNotNull(heads.poll(2, TimeUnit.SECONDS), "$name: the request did not reach the replica")
            Thread.sleep(200)
            Triple(name, status, CompletableFuture.supplyAsync { socket.getInputStream().bufferedReader().readText() })
        }
        gateway.shutDown()
        texts.forEach { (name, status, text) ->
            val received = text.get(2, TimeUnit.SECONDS)
            assertTrue(received.startsWith(status) && !received.endsWith("0\r\n\r\n"), "$name: $received")
        }
    }

    private companion object {
        /** Longer than a replica may pause within a response. */
        const val CALLER_PAUSE = 1_200L

        /** What the gateway buffers of a response, and what sockets buffer on loopback. */
        const val MAX_ENDLESS_BYTES = 32_000_000L
    }
}
