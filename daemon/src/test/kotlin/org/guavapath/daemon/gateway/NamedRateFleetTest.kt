package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.StoreKinds
import java.io.IOException
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.Future
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val LOOPBACK = "127.0.0.1"

/** Linked gateways with [replicas] replicas; the store is in memory. */
private class LimitedFleet(gateways: Int, replicas: Int) : AutoCloseable {
    private val shared = MemoryStore(SampleFleet("$LOOPBACK:1"))
    private val first = SampleSettings(vm = "vm-0")
    private val settings =
        listOf(first) + (1 until gateways).map { SampleSettings(vm = "vm-$it", seeds = listOf(first.peers)) }
    private val callers = Executors.newCachedThreadPool { task -> Thread(task).apply { isDaemon = true } }
    private var requests = 0
    val replicas = List(replicas) { LimitedReplica() }

    init {
        this.replicas.forEachIndexed { number, replica ->
            shared.write(StoreKinds.REPLICAS, "replica-$number", SampleFleet.replicaEntry(replica.address, 1))
        }
        settings.forEach { Gateway(it.read(), CountingStore(shared)).start() }
        val until = TimeSource.Monotonic.markNow() + START_TIMEOUT
        while (shared.list(Members.KIND).objects.size < settings.size || statusOf(send()) != OK) {
            assertTrue(until.hasNotPassedNow(), "the gateways do not serve")
            Thread.sleep(POLL.inWholeMilliseconds)
        }
        Thread.sleep(LINK_TIME.inWholeMilliseconds)
    }

    /** Sends one request per [interval] to the gateways in turn for [duration] and returns the heads of the responses. */
    fun sendFor(duration: Duration, interval: Duration): List<String> {
        val end = TimeSource.Monotonic.markNow() + duration
        val sent = ArrayList<Future<String>>()
        while (end.hasNotPassedNow()) {
            sent += send()
            Thread.sleep(interval.inWholeMilliseconds)
        }
        return sent.map { it.get() }
    }

    private fun send(): Future<String> {
        requests += 1
        val id = requests.toString(HEXADECIMAL)
        val port = settings[requests % settings.size].callers
        return callers.submit(Callable { response(port, SampleFleet.request(id, listOf("own$id"))) })
    }

    private fun response(port: Int, request: String): String = try {
        Socket(LOOPBACK, port).use { socket ->
            socket.getOutputStream().write(request.toByteArray())
            socket.getInputStream().bufferedReader().readText()
        }
    } catch (exception: IOException) {
        exception.toString()
    }

    override fun close() {
        replicas.forEach { it.close() }
        callers.shutdownNow()
    }

    companion object {
        const val OK = 200
        private const val HEXADECIMAL = 16
        private val POLL = 20.milliseconds
        private val START_TIMEOUT = 10.seconds
        private val LINK_TIME = 1.seconds

        fun statusOf(response: Future<String>): Int = statusOf(response.get())

        fun statusOf(response: String): Int = response.split(' ').getOrNull(1)?.toIntOrNull() ?: 0
    }
}

/** Runs linked gateways with replicas that name the rate of requests that they accept from the whole fleet. */
class NamedRateFleetTest {
    /** Whole numbers of requests that arrived in the fullest span of [WINDOW] of those after [from]. */
    private fun mostInWindow(arrivals: List<Duration>, from: Duration): Int {
        val times = arrivals.filter { it >= from }.sorted()
        return times.maxOfOrNull { start -> times.count { it >= start && it - start < WINDOW } } ?: 0
    }

    /**
     * Guards against gateways that together send a replica more than it has said that it takes, and against leaving
     * unused what it takes while requests are refused.
     */
    @Test
    fun keepsTheFleetWithinTheRatesThatReplicasName() {
        val cases = listOf(
            Triple("one of three replicas", listOf(3.0, null, null), 40.milliseconds),
            Triple("all replicas", listOf(2.0, 3.0, 6.0), 40.milliseconds),
        )
        cases.forEach { (name, rates, interval) ->
            LimitedFleet(gateways = 4, rates.size).use { fleet ->
                fleet.replicas.zip(rates).forEach { (replica, rate) -> replica.rateText = rate?.toString() }
                fleet.sendFor(LEARNING_TIME, interval)
                val begins = fleet.replicas.map { it.now }
                val responses = fleet.sendFor(MEASURED_TIME, interval)
                val statuses = responses.map { LimitedFleet.statusOf(it) }
                fleet.replicas.indices.forEach { index ->
                    val rate = rates[index] ?: return@forEach
                    val arrivals = fleet.replicas[index].arrivals
                    val most = mostInWindow(arrivals, begins[index])
                    val allowed = rate * WINDOW.inWholeSeconds + SMALL_BURST
                    assertTrue(most <= allowed, "$name: replica $index with $rate/s got $most in $WINDOW of $allowed")
                    if (null in rates) return@forEach
                    val used = arrivals.count { it >= begins[index] } / (rate * MEASURED_TIME.inWholeSeconds)
                    assertTrue(used >= MIN_USED_SHARE, "$name: replica $index with $rate/s, used share $used")
                }
                if (null in rates) {
                    assertEquals(setOf(LimitedFleet.OK), statuses.toSet(), "$name: other replicas serve the rest")
                } else {
                    assertEquals(setOf(LimitedFleet.OK, UNAVAILABLE), statuses.toSet(), "$name: statuses")
                    val refused = responses.filter { LimitedFleet.statusOf(it) == UNAVAILABLE }
                    assertTrue(refused.all { "retry-after:" in it.lowercase() }, "$name: time to return")
                }
            }
        }
    }

    private companion object {
        const val UNAVAILABLE = 503
        const val SMALL_BURST = 4
        const val MIN_USED_SHARE = 0.8
        val WINDOW = 4.seconds

        /** Time within which gateways must have heard of a rate and act on it. */
        val LEARNING_TIME = 3.seconds
        val MEASURED_TIME = 8.seconds
    }
}
