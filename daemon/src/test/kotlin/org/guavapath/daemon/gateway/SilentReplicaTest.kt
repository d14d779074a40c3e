package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.SampleRequest
import org.guavapath.platform.wire.SampleRoute
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs a gateway with replicas that send nothing for a while in the middle of their responses. */
class SilentReplicaTest {
    private val prompt = SampleRequest(SampleRoute.PROMPTS, "1", "{}", listOf("1a", "2b"))

    /** What the replicas send in response to the first request that arrives, to the second and to later ones. */
    private class Script(private vararg val responses: (id: String) -> String) {
        private val arrivals = AtomicInteger()

        fun next(id: String): String = responses[minOf(arrivals.getAndIncrement(), responses.lastIndex)](id)
    }

    private class Case(val name: String, val replicas: Int, val other: (id: String) -> String = ::pausing)

    private fun OutspokenFleet.follow(script: Script, silence: Duration) = replicas.forEach {
        it.silence = silence
        it.response = script::next
    }

    private fun eventsOf(response: CallerResponse) = response.text.lines().filter { it.startsWith("id: ") }

    /** Guards against breaking off a response whose replica is silent for a second, while no other continues it. */
    @Test
    fun aResponseGoesOnAfterASilenceIfNoOtherReplicaContinuesIt() {
        val cases = listOf(
            Case("there is no other replica", replicas = 1),
            Case("the others refuse it", replicas = 3) { SampleRequest.notRunResponse(it, isMisdirected = false) },
            Case("the others send a head only", replicas = 3) { head(it) + LONG_SILENCE },
            Case("the others send nothing", replicas = 3) { LONG_SILENCE },
            Case("another sends events out of order", replicas = 2) { head(it) + OutspokenReplica.event(1) },
            Case("another fails", replicas = 2) { failure(it) },
            Case("another breaks the protocol", replicas = 2) { "rubbish\r\n\r\n" },
        )
        cases.forEach { case ->
            OutspokenFleet(gateways = 1, case.replicas).use { fleet ->
                fleet.follow(Script(::pausing, case.other), SILENCE)
                val response = fleet.send(prompt).get()
                assertEquals(listOf("id: 1", "id: 2", "id: 3"), eventsOf(response), case.name)
                assertTrue(response.isServed, "${case.name}: the response is whole")
            }
        }
    }

    /** Guards against breaking off accepted requests that all fall silent at once, beyond the budget for retries. */
    @Test
    fun allResponsesGoOnAfterASilenceOfAllReplicas() = OutspokenFleet(gateways = 1, replicas = 2).use { fleet ->
        fleet.follow(Script(::pausing), SILENCE)
        val responses = List(12) { fleet.send(prompt) }.map { it.get() }
        assertTrue(responses.all { it.isServed }, responses.map { eventsOf(it) }.toString())
    }

    /** Guards against leaving a caller without events although another replica could continue its response. */
    @Test
    fun anotherReplicaContinuesAResponseThatStaysSilent() = OutspokenFleet(gateways = 1, replicas = 2).use { fleet ->
        val rest = { id: String ->
            head(id) + OutspokenReplica.event(2) + OutspokenReplica.event(3) + OutspokenReplica.STREAM_END
        }
        fleet.follow(Script({ head(it) + OutspokenReplica.event(1) + LONG_SILENCE }, rest), SILENCE)
        val response = fleet.send(prompt).get()
        assertEquals(listOf("id: 1", "id: 2", "id: 3"), eventsOf(response))
        assertTrue(response.isServed)
    }

    /** Guards against a refusal at the caller's deadline, which reaches it when it has left. */
    @Test
    fun callersHearBeforeTheirDeadlineThatTheirTimeIsOver() = OutspokenFleet(gateways = 1, replicas = 1).use { fleet ->
        fleet.follow(Script({ LONG_SILENCE }), SILENCE)
        val requests = listOf(SampleRoute.PROMPTS, SampleRoute.LOOKUPS, SampleRoute.ORDERS).map { route ->
            SampleRequest(route, "1", "{}", if (route == SampleRoute.PROMPTS) listOf("1a", "2b") else emptyList())
        }
        requests.map { fleet.send(it) }.map { it.get() }.forEach { response ->
            assertEquals(504, response.status, "${response.request.route}")
            assertTrue(response.elapsed < DEADLINE, "${response.request.route}: after ${response.elapsed}")
        }
    }

    private companion object {
        /** The deadline of the sample requests. */
        val DEADLINE = 2.seconds

        /** A sound replica may send nothing for a second or so. */
        val SILENCE = 1_200.milliseconds

        /** Longer than callers wait. */
        val LONG_SILENCE = "${ReplicaDoor.SILENCE}".repeat(3)

        fun head(id: String) = SampleFleet.responseHead(id, isFramed = true)

        fun failure(id: String): String {
            val (name, value) = SampleFleet.attemptIdHeader(id)
            return "HTTP/1.1 500 Error\r\n$name: $value\r\nContent-Length: 0\r\n\r\n"
        }

        /** Returns a whole response of three events with a pause after the first. */
        fun pausing(id: String): String = head(id) + OutspokenReplica.event(1) + ReplicaDoor.SILENCE +
            OutspokenReplica.event(2) + OutspokenReplica.event(3) + OutspokenReplica.STREAM_END
    }
}
