package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleFleet
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val LOOPBACK = "127.0.0.1"

/** One gateway with one replica, which sends [response] to each request and closes the connection. */
private class CutOffFleet(private val response: String, private val crashes: Boolean) : AutoCloseable {
    private val replica = ServerSocket(0, BACKLOG, InetAddress.getByName(LOOPBACK))
    private val sample = SampleFleet("$LOOPBACK:${replica.localPort}")
    private val settings = SampleSettings(vm = "test")

    init {
        thread(isDaemon = true) {
            generateSequence { runCatching { replica.accept() }.getOrNull() }
                .forEach { socket -> thread(isDaemon = true) { socket.use { runCatching { serve(it) } } } }
        }
        Gateway(settings.read(), SampleStore(sample)).start()
        await { statusOf(settings.readiness, "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n") == 200 }
    }

    private fun serve(socket: Socket) {
        val reader = socket.getInputStream().bufferedReader()
        val head = generateSequence { reader.readLine()?.takeIf { it.isNotEmpty() } }.toList()
        if (head.isEmpty()) return
        repeat(2) { reader.read() }
        socket.getOutputStream().write(response.toByteArray())
        Thread.sleep(TIME_TO_END.inWholeMilliseconds)
        if (crashes) replica.close()
    }

    /** Returns the status that a caller gets. */
    fun send(): Int = statusOf(settings.callers, sample.request)

    /** Returns the counters of attempts that ended with their replica, by what had arrived of the response. */
    fun counted(): Map<String, Int> = Socket(LOOPBACK, settings.readiness).use { socket ->
        socket.getOutputStream().write("GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".toByteArray())
        socket.getInputStream().bufferedReader().lineSequence()
            .filter { it.startsWith("guavapath_gateway_attempts_cut_off_by_crash_total{") }
            .associate { it.substringAfter('"').substringBefore('"') to it.substringAfterLast(' ').toDouble().toInt() }
    }

    private fun statusOf(port: Int, request: String): Int = runCatching {
        Socket(LOOPBACK, port).use { socket ->
            socket.getOutputStream().write(request.toByteArray())
            socket.getInputStream().bufferedReader().readLine().orEmpty().split(' ').getOrElse(1) { "0" }.toInt()
        }
    }.getOrDefault(0)

    override fun close() = replica.close()

    private companion object {
        const val BACKLOG = 100
        val TIME_TO_END = 50.milliseconds
    }
}

private fun await(isTrue: () -> Boolean) {
    val until = TimeSource.Monotonic.markNow() + 10.seconds
    while (!isTrue() && until.hasNotPassedNow()) Thread.sleep(20)
}

class CutOffCounterTest {
    private class Case(val name: String, val response: String, val crashes: Boolean, val expected: Map<String, Int>)

    private val head = SampleFleet.responseHead("5a", isFramed = true)
    private val cases = listOf(
        Case("a crash before the head", response = "", crashes = true, mapOf("nothing" to 1)),
        Case("a crash after the head", head, crashes = true, mapOf("head" to 1)),
        Case("a crash within an event", head + "5\r\nid: 1\r\n", crashes = true, mapOf("body" to 1)),
        Case("a broken connection before the head", response = "", crashes = false, emptyMap()),
        Case("a broken connection after the head", head, crashes = false, emptyMap()),
    )

    /** The counter must tell crashes of replicas at any progress of the response from connections that break. */
    @Test
    fun countsAttemptsThatEndWithTheirReplica() = cases.forEach { case ->
        CutOffFleet(case.response, case.crashes).use { fleet ->
            val status = fleet.send()
            assertEquals(502, status, "${case.name}: status")
            await { fleet.counted().size >= case.expected.size }
            Thread.sleep(PROBE_TIME.inWholeMilliseconds)
            assertEquals(case.expected, fleet.counted(), case.name)
        }
    }

    private companion object {
        /** Longer than the gateway takes to find out whether the replica refuses connections. */
        val PROBE_TIME = 500.milliseconds
    }
}
