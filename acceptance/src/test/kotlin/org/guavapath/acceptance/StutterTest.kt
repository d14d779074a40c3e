package org.guavapath.acceptance

import org.guavapath.platform.wire.SampleRequest
import org.guavapath.platform.wire.SampleResponse
import org.guavapath.platform.wire.SampleRoute
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Runs gateways under load, in front of replicas that stutter, all as processes of their own. */
class StutterTest {
    private val firstSeed = Integer.getInteger("guavapath.firstSeed", 1)
    private val seeds = Integer.getInteger("guavapath.seeds", 2)
    private val playTime = Integer.getInteger("guavapath.playMilliseconds", 8_000).milliseconds

    /** What a caller [got] from the [gateway] in response to [request], null if it was broken off. */
    private data class Exchange(
        val id: String,
        val request: SampleRequest,
        val gateway: Int,
        val got: SampleResponse?,
    ) {
        val kind: String get() = "${request.method} ${got?.status}${if (got?.signature == null) "" else " signed"}"
    }

    /** Guards against a success, or any response, that is not that of the replica that ran the request. */
    @Test
    fun callersGetTheResponseOfTheReplicaThatRanTheirRequest() = StutterFleet().use { fleet ->
        val faults = (firstSeed until firstSeed + seeds).associateWith { seed -> play(fleet, seed) }
        assertEquals(emptyMap(), faults.filterValues { it.isNotEmpty() })
    }

    /** Plays [seed] and returns the faults. */
    private fun play(fleet: StutterFleet, seed: Int): List<String> {
        val threads = Executors.newFixedThreadPool(CALLERS)
        val end = TimeSource.Monotonic.markNow() + playTime
        val calls = List(CALLERS) { caller ->
            Callable { call(fleet, caller % fleet.callerPorts.size, Random(seed * CALLERS + caller), end) }
        }
        val exchanges = threads.invokeAll(calls).flatMap { it.get() }
        threads.shutdown()
        val own = fleet.recorded().groupBy { it.request }
        val counts = exchanges.groupingBy { it.kind }.eachCount()
        println("seed $seed: ${counts.toSortedMap()}")
        return (EXPECTED - counts.keys).map { "no caller got: $it" } + exchanges.mapNotNull { exchange ->
            val responses = own[exchange.id].orEmpty()
            fault(exchange, responses)?.let { "$it: $exchange; the replicas' own: $responses" }
        }
    }

    /** Sends requests in bursts until [end], one after the other on a connection that is kept. */
    private fun call(
        fleet: StutterFleet,
        gateway: Int,
        random: Random,
        end: TimeSource.Monotonic.ValueTimeMark,
    ): List<Exchange> = CallerChannel(fleet.callerPorts[gateway]).use { channel ->
        val exchanges = generateSequence {
            if (end.hasPassedNow()) return@generateSequence null
            if (random.nextInt(BURST) == 0) Thread.sleep(BURST_PAUSE - System.currentTimeMillis() % BURST_PAUSE)
            val id = "%016x".format(random.nextLong())
            val request = if (random.nextBoolean()) ORDER else LOOKUP
            Exchange(id, request, gateway, channel.exchange(request, id))
        }
        exchanges.toList()
    }

    /** Returns what is wrong with [exchange], given the replicas' [own] responses to its request, or null. */
    private fun fault(exchange: Exchange, own: List<SampleResponse>): String? {
        val runs = own.filter { !it.isNotRun }
        val got = exchange.got
        return when {
            exchange.request.route == SampleRoute.ORDERS && runs.size > 1 -> "ran ${runs.size} times"
            got == null -> null
            got.request != null && got.request != exchange.id -> "names another request"
            got.signature != null && got !in runs -> "not a replica's response to the request"
            got.signature == null && got.status in SUCCESSES -> "a success without a signature"
            got.status in NOT_RUN && runs.isNotEmpty() -> "said not to have run"
            else -> null
        }
    }

    private companion object {
        const val CALLERS = 24

        /** Mean number of requests between two pauses of a caller; the pauses of all callers end together. */
        const val BURST = 15
        const val BURST_PAUSE = 500L
        val SUCCESSES = 200..299
        val NOT_RUN = setOf(408, 421, 429, 503)
        val EXPECTED = setOf("GET 200 signed", "POST 200 signed", "GET 500 signed", "POST 500 signed")
        val ORDER = SampleRequest(SampleRoute.ORDERS, "order", "{}")
        val LOOKUP = SampleRequest(SampleRoute.LOOKUPS, "lookup", body = "", method = "GET")
    }
}
