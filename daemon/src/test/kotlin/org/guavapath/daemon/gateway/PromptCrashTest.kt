package org.guavapath.daemon.gateway

import org.guavapath.core.results.DispatchCode
import org.guavapath.platform.wire.SampleRequest
import org.guavapath.platform.wire.SampleRoute
import org.junit.jupiter.api.assertAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PromptCrashTest {
    private class Case(val name: String, val deadlyPrompts: List<List<String>>, val isFramed: Boolean)

    private val cases = listOf(
        Case("one part after others", listOf(listOf("shared", "subject", "deadly")), isFramed = true),
        Case("one part before others", listOf(listOf("deadly", "subject", "other part")), isFramed = true),
        Case("responses without a length", listOf(listOf("shared", "subject", "deadly")), isFramed = false),
    )

    /** Sends one request for each of [prompts], one per [interval], to the gateways in turn. */
    private fun FragileFleet.sendAll(
        prompts: List<List<String>>,
        interval: Duration = REQUEST_INTERVAL,
        beforeEach: (Int) -> Unit = {},
    ): List<CallerResponse> = prompts.mapIndexed { index, parts ->
        Thread.sleep(interval.inWholeMilliseconds)
        beforeEach(index)
        send(SampleRequest(SampleRoute.PROMPTS, "1", "{}", parts + "own$index"), gateway = index)
    }.map { it.get() }

    private val CallerResponse.sharedParts get() = request.parts.dropLast(1)

    private fun isDeadly(request: SampleRequest) = request.parts.any { it == "deadly" || it == "deadly too" }

    private fun assertContained(
        name: String,
        deadlyPrompts: List<List<String>>,
        fleet: FragileFleet,
        responses: List<CallerResponse>,
    ) {
        assertTrue(fleet.crashes in 1..MAX_CRASHES, "$name: ${fleet.crashes} crashes")
        val isAnyServed = responses.any { it.sharedParts in deadlyPrompts && it.isServed }
        assertEquals(false, isAnyServed, "$name: responses without an event count as complete")
        val late = responses.filter { it.sharedParts in SOUND_PROMPTS }.takeLast(responses.size / 2)
        assertEquals(late.size, late.count { it.isServed }, "$name: sound requests served")
    }

    /** Guards against sending requests that crash replicas to one replica after the other. */
    @Test
    fun stopsSendingRequestsWithAPartThatCrashesReplicas() = cases.forEach { assertStopped(it) }

    /** Guards against holding sound parts that two deadly prompts share instead of the deadly ones. */
    @Test
    fun stopsSendingRequestsWithTwoPartsThatCrashReplicas() {
        val prompts = listOf(listOf("shared", "subject", "deadly"), listOf("shared", "deadly too", "subject"))
        assertStopped(Case("two parts at once", prompts, isFramed = true))
    }

    private fun assertStopped(case: Case) =
        FragileFleet(GATEWAYS, Fragility(::isDeadly, isFramed = case.isFramed)).use { fleet ->
            val responses = fleet.sendAll(List(ROUNDS) { SOUND_PROMPTS + case.deadlyPrompts }.flatten())
            assertContained(case.name, case.deadlyPrompts, fleet, responses)
        }

    /** Guards against evidence that counts only if the crash follows soon after the head of a response. */
    @Test
    fun findsAPartThatCrashesReplicasOneSecondAfterTheHead() {
        val fragility = Fragility(::isDeadly, timeToCrash = 1.seconds, stopsWhenAbandoned = true)
        FragileFleet(GATEWAYS, fragility).use { fleet ->
            val responses = fleet.sendAll(List(SLOW_ROUNDS) { SOUND_PROMPTS + DEADLY_PROMPT }.flatten(), SLOW_INTERVAL)
            assertContained("a head 1 s before the crash", DEADLY_PROMPT, fleet, responses)
        }
    }

    /** Guards against evidence that counts only if the head of a response came before the crash. */
    @Test
    fun findsAPartThatCrashesReplicasBeforeTheHead() {
        FragileFleet(GATEWAYS, Fragility(::isDeadly, hasHead = false)).use { fleet ->
            val responses = fleet.sendAll(List(ROUNDS) { SOUND_PROMPTS + DEADLY_PROMPT }.flatten())
            assertContained("no head before the crash", DEADLY_PROMPT, fleet, responses)
        }
    }

    /** Guards against taking a response without a length that its replica's crash has cut off for a complete answer. */
    @Test
    fun findsAPartThatCrashesReplicasWithinAResponseWithoutALength() = assertAll(
        { checkLastWords("between two events", EVENT) },
        { checkLastWords("within an event", EVENT + EVENT.take(EVENT.length / 2)) },
    )

    private fun checkLastWords(name: String, words: String) =
        FragileFleet(GATEWAYS, Fragility(::isDeadly, isFramed = false).apply { lastWords = words }).use { fleet ->
            val prompts = List(ROUNDS) { SOUND_PROMPTS + DEADLY_PROMPT }.flatten()
            val responses = fleet.sendAll(prompts, UNFRAMED_INTERVAL)
            assertTrue(fleet.crashes in 1..MAX_CRASHES, "$name: ${fleet.crashes} crashes")
            val sound = responses.filter { it.sharedParts in SOUND_PROMPTS }.takeLast(responses.size / 2)
            assertEquals(sound.size, sound.count { it.isServed }, "$name: sound requests served")
            val first = responses.first { it.sharedParts in DEADLY_PROMPT }
            assertTrue(EVENT in first.text, "$name: the event is relayed")
        }

    /** Guards against refusing sound requests because their replicas crashed for other reasons. */
    @Test
    fun ordinaryCrashesQuarantineNothing() = listOf(true, false).forEach { isFramed ->
        FragileFleet(GATEWAYS, Fragility(isFatal = { false }, isFramed = isFramed)).use { fleet ->
            val responses = fleet.sendAll(List(ROUNDS) { SOUND_PROMPTS }.flatten()) { index ->
                val crash = index / REQUESTS_PER_CRASH
                if (index % REQUESTS_PER_CRASH == 0) fleet.replicas[crash % fleet.replicas.size].crash()
            }
            assertTrue(fleet.crashes >= ROUNDS / REQUESTS_PER_CRASH, "${fleet.crashes} crashes")
            val quarantined = responses.count { DispatchCode.PromptQuarantined.label in it.text }
            assertEquals(0, quarantined, "requests refused by quarantine")
        }
    }

    private companion object {
        const val GATEWAYS = 2
        const val EVENT = "id: 1\ndata: a\n\n"
        const val ROUNDS = 25
        const val SLOW_ROUNDS = 12
        const val REQUESTS_PER_CRASH = 5

        /** The platform's rule bounds what may be sent after the fifth crash. */
        const val MAX_CRASHES = 5
        val REQUEST_INTERVAL = 40.milliseconds

        /** A round then takes longer than a crash and its examination. */
        val UNFRAMED_INTERVAL = 80.milliseconds

        /** A round then takes longer than a replica and, after the gateway has given it up, a second one to crash. */
        val SLOW_INTERVAL = 450.milliseconds
        val SOUND_PROMPTS = listOf(
            listOf("shared", "subject"),
            listOf("shared", "other subject"),
            listOf("shared", "third subject"),
        )
        val DEADLY_PROMPT = listOf(listOf("shared", "subject", "deadly"))
    }
}
