package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleRequest
import java.io.IOException
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Callers on loopback; each request has an attempt id and a connection of its own. */
internal class SampleCallers : AutoCloseable {
    private val threads = Executors.newCachedThreadPool { task -> Thread(task).apply { isDaemon = true } }
    private val attempts = AtomicInteger()

    /** Sends [request] to the gateway that listens at [port]. */
    fun send(port: Int, request: SampleRequest): Future<CallerResponse> {
        val id = attempts.incrementAndGet().toString(HEXADECIMAL)
        return threads.submit(
            Callable {
                val sentAt = TimeSource.Monotonic.markNow()
                CallerResponse(request, sentAt, response(port, request.text(id)))
            },
        )
    }

    override fun close() {
        threads.shutdownNow()
    }

    companion object {
        private const val HEXADECIMAL = 16

        /** Sends the [request] to [port] and returns all that arrives until the connection is closed. */
        fun response(port: Int, request: String): String = try {
            Socket("127.0.0.1", port).use { socket ->
                socket.getOutputStream().write(request.toByteArray())
                socket.getInputStream().bufferedReader().readText()
            }
        } catch (exception: IOException) {
            exception.toString()
        }
    }
}

/** Returns the settings of [count] gateways, all linked with the first, which have [repeatSlack] together. */
internal fun linkedSettings(count: Int, repeatSlack: Double = 1.0): List<SampleSettings> {
    val first = SampleSettings(vm = "vm-0", repeatSlack = repeatSlack)
    val seeds = listOf(first.peers)
    return listOf(first) + (1 until count).map { SampleSettings("vm-$it", seeds, repeatSlack = repeatSlack) }
}

/** Waits until [isTrue], which [name] names. */
internal fun awaitTrue(name: String, isTrue: () -> Boolean) {
    val until = TimeSource.Monotonic.markNow() + 10.seconds
    while (!isTrue()) {
        assertTrue(until.hasNotPassedNow(), name)
        Thread.sleep(20.milliseconds.inWholeMilliseconds)
    }
}
