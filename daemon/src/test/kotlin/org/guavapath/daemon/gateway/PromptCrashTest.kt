package org.guavapath.daemon.gateway

import org.guavapath.core.results.DispatchCode
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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val LOOPBACK = "127.0.0.1"

/**
 * A request and its outcome.
 *
 * @property isServed whether the response was a success and complete
 */
private class Outcome(val parts: List<String>, response: String) {
    val isServed = response.startsWith("HTTP/1.1 200") && response.endsWith("0\r\n\r\n")
    val isQuarantined = response.contains(DispatchCode.PromptQuarantined.label)
}

/** Two linked gateways with replicas that crash on [deadlyParts]; the store is in memory. */
private class FragileFleet(deadlyParts: Set<String>, isFramed: Boolean) : AutoCloseable {
    private val shared = MemoryStore(SampleFleet("$LOOPBACK:1"))
    private val first = SampleSettings(vm = "vm-1")
    private val settings = listOf(first, SampleSettings(vm = "vm-2", seeds = listOf(first.peers)))
    private val callers = Executors.newCachedThreadPool { task -> Thread(task).apply { isDaemon = true } }
    private var requests = 0
    val replicas = List(REPLICAS) { number ->
        FragileReplica("replica-$number", deadlyParts, isFramed) { name, address, startedAt ->
            shared.write(StoreKinds.REPLICAS, name, SampleFleet.replicaEntry(address, startedAt))
        }
    }
    val crashes: Int get() = replicas.sumOf { it.crashes }

    init {
        settings.forEach { Gateway(it.read(), CountingStore(shared)).start() }
        val until = TimeSource.Monotonic.markNow() + START_TIMEOUT
        while (shared.list(Members.KIND).objects.size < settings.size || !send(listOf("warm up")).get().isServed) {
            assertTrue(until.hasNotPassedNow(), "the gateways do not serve")
            Thread.sleep(POLL.inWholeMilliseconds)
        }
        Thread.sleep(LINK_TIME.inWholeMilliseconds)
    }

    /** Sends one request for each of [prompts], one per [REQUEST_INTERVAL], to the gateways in turn. */
    fun sendAll(prompts: List<List<String>>, beforeEach: (Int) -> Unit = {}): List<Outcome> =
        prompts.mapIndexed { index, parts ->
            Thread.sleep(REQUEST_INTERVAL.inWholeMilliseconds)
            beforeEach(index)
            send(parts)
        }.map { it.get() }

    private fun send(parts: List<String>): Future<Outcome> {
        requests += 1
        val id = requests.toString(HEXADECIMAL)
        val port = settings[requests % settings.size].callers
        return callers.submit(Callable { Outcome(parts, response(port, SampleFleet.request(id, parts + "own$id"))) })
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

    private companion object {
        const val REPLICAS = 6
        const val HEXADECIMAL = 16
        val REQUEST_INTERVAL = 40.milliseconds
        val POLL = 20.milliseconds
        val START_TIMEOUT = 10.seconds

        /** Longer than gateways take to open their links and to hear of each other's replicas. */
        val LINK_TIME = 1.seconds
    }
}

class PromptCrashTest {
    private class Case(val name: String, val deadlyPrompts: List<List<String>>, val isFramed: Boolean)

    private val cases = listOf(
        Case("one part after others", listOf(listOf("shared", "subject", "deadly")), isFramed = true),
        Case("one part before others", listOf(listOf("deadly", "subject", "other part")), isFramed = true),
        Case(
            "two parts at once",
            listOf(listOf("shared", "subject", "deadly"), listOf("shared", "deadly too", "subject")),
            isFramed = true,
        ),
        Case("responses without a length", listOf(listOf("shared", "subject", "deadly")), isFramed = false),
    )

    /** Guards against sending requests that crash replicas to one replica after the other. */
    @Test
    fun stopsSendingRequestsWithAPartThatCrashesReplicas() = cases.forEach { case ->
        FragileFleet(deadlyParts = setOf("deadly", "deadly too"), case.isFramed).use { fleet ->
            val outcomes = fleet.sendAll(List(ROUNDS) { SOUND_PROMPTS + case.deadlyPrompts }.flatten())
            assertTrue(fleet.crashes in 1..MAX_CRASHES, "${case.name}: ${fleet.crashes} crashes")
            val isAnyServed = outcomes.any { it.parts in case.deadlyPrompts && it.isServed }
            assertEquals(false, isAnyServed, "${case.name}: responses without an event count as complete")
            val late = outcomes.filter { it.parts in SOUND_PROMPTS }.takeLast(outcomes.size / 2)
            assertEquals(late.size, late.count { it.isServed }, "${case.name}: sound requests served")
        }
    }

    /** Guards against refusing sound requests because their replicas crashed for other reasons. */
    @Test
    fun ordinaryCrashesQuarantineNothing() {
        FragileFleet(deadlyParts = emptySet(), isFramed = true).use { fleet ->
            val outcomes = fleet.sendAll(List(ROUNDS) { SOUND_PROMPTS }.flatten()) { index ->
                val crash = index / REQUESTS_PER_CRASH
                if (index % REQUESTS_PER_CRASH == 0) fleet.replicas[crash % fleet.replicas.size].crash()
            }
            assertTrue(fleet.crashes >= ROUNDS / REQUESTS_PER_CRASH, "${fleet.crashes} crashes")
            assertEquals(0, outcomes.count { it.isQuarantined }, "requests refused by quarantine")
        }
    }

    private companion object {
        const val ROUNDS = 25
        const val REQUESTS_PER_CRASH = 5

        /** The platform's rule bounds what may be sent after the fifth crash. */
        const val MAX_CRASHES = 5
        val SOUND_PROMPTS = listOf(
            listOf("shared", "subject"),
            listOf("shared", "other subject"),
            listOf("shared", "third subject"),
        )
    }
}
