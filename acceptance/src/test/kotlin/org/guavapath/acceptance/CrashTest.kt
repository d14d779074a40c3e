package org.guavapath.acceptance

import org.guavapath.platform.wire.SampleRequest
import org.guavapath.platform.wire.SampleResponse
import org.guavapath.platform.wire.SampleRoute
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Runs gateways in front of replicas that a part of prompts ends, all as processes of their own. */
class CrashTest {
    /** What a caller [got] in response to [request], null if it was broken off. */
    private class Exchange(val request: SampleRequest, val got: SampleResponse?) {
        val isDeadly: Boolean get() = DEADLY in request.parts
        val isServed: Boolean get() = got?.status == SUCCESS && got.signature != null
    }

    /** Guards against crashing replicas one after the other by the last part of prompts, which one session shares. */
    @Test
    fun theLastPartOfASessionsPromptsCrashesFewReplicas() = CrashFleet(DEADLY).use { fleet ->
        val exchanges = play(fleet.callerPorts)
        val crashes = fleet.times("ended")
        val lastAllowed = crashes.getOrNull(MAX_CRASHES - 1)?.let { it + NEWS_MILLISECONDS }
        val arrivals = fleet.times("arrived")
        val lateArrivals = lastAllowed?.let { last -> arrivals.count { it > last } } ?: 0
        val late = exchanges.drop(REQUESTS / 2).filter { !it.isDeadly }
        val notServed = late.filter { !it.isServed }.groupingBy { it.got?.status }.eachCount()
        val summary = "${crashes.size} crashes, ${arrivals.size} sends of ${exchanges.count { it.isDeadly }} " +
            "requests, $lateArrivals of them late; of ${late.size} sound requests not served: $notServed"
        println(summary)
        assertTrue(crashes.size in 1..MAX_CRASHES, summary)
        assertEquals(0, lateArrivals, summary)
        assertEquals(emptyMap(), notServed, summary)
    }

    /** Sends requests to the gateways at [ports] in turn: sound ones first, then some of the session among them. */
    private fun play(ports: List<Int>): List<Exchange> {
        val callers = Executors.newCachedThreadPool()
        val sent = List(REQUESTS) { index ->
            Thread.sleep(INTERVAL_MILLISECONDS)
            val isDeadly = index >= FIRST_DEADLY && index % DEADLY_SHARE == 0
            val parts = listOf("shared", "subject", if (isDeadly) DEADLY else "own$index")
            val request = SampleRequest(SampleRoute.PROMPTS, "1", "{\"n\":$index}", parts)
            val caller = Callable {
                CallerChannel(ports[index % ports.size]).use { Exchange(request, it.exchange(request, id = "a$index")) }
            }
            callers.submit(caller)
        }
        return sent.map { it.get() }.also { callers.shutdown() }
    }

    private companion object {
        const val SUCCESS = 200
        const val DEADLY = "deadly"
        const val REQUESTS = 300
        const val INTERVAL_MILLISECONDS = 40L
        const val FIRST_DEADLY = 25
        const val DEADLY_SHARE = 5

        /** The platform's rule bounds what may be sent after the fifth crash. */
        const val MAX_CRASHES = 5

        /** Time within which all gateways have heard of a crash. */
        const val NEWS_MILLISECONDS = 500L
    }
}
