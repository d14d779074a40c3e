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
    /**
     * Prompts that are sent round by round.
     *
     * @property isSession whether the deadly prompts are those of one session: they have no last part of their own, but
     * each request has a body of its own
     */
    private class Case(val name: String, val round: List<List<String>>, val isSession: Boolean = false)

    private fun requests(prompts: List<List<String>>, isSession: Boolean = false) = prompts.mapIndexed { index, parts ->
        val own = if (isSession && "deadly" in parts) emptyList() else listOf("own$index")
        val body = if (isSession) "{\"n\":$index}" else "{}"
        SampleRequest(SampleRoute.PROMPTS, "1", body, parts + own)
    }

    /** Sends the [requests], one per [interval], to the gateways in turn. */
    private fun FragileFleet.sendAll(
        requests: List<SampleRequest>,
        interval: Duration = REQUEST_INTERVAL,
        beforeEach: (Int) -> Unit = {},
    ): List<CallerResponse> = requests.mapIndexed { index, request ->
        Thread.sleep(interval.inWholeMilliseconds)
        beforeEach(index)
        send(request, gateway = index)
    }.map { it.get() }

    private fun isDeadly(request: SampleRequest) = request.parts.any { it == "deadly" || it == "deadly too" }

    private fun assertContained(name: String, fleet: FragileFleet, responses: List<CallerResponse>) {
        val late = responses.filter { !isDeadly(it.request) }.takeLast(responses.size / 2)
        val lastAllowed = fleet.crashTimes.getOrNull(MAX_CRASHES - 1)?.let { it + NEWS_TIME }
        val lateSends = lastAllowed?.let { last -> fleet.fatalArrivals.count { it.at > last } } ?: 0
        val summary = "$name: ${fleet.crashes} crashes, ${fleet.fatalArrivals.size} sends, $lateSends of them late, " +
            "${late.count { it.isServed }} of ${late.size} sound requests served"
        println(summary)
        assertTrue(fleet.crashes in 1..MAX_CRASHES, summary)
        assertEquals(0, lateSends, summary)
        val isAnyServed = responses.any { isDeadly(it.request) && it.isServed }
        assertEquals(false, isAnyServed, "$name: responses without an event count as complete")
        assertEquals(late.size, late.count { it.isServed }, summary)
    }

    private fun assertStopped(
        case: Case,
        fragility: Fragility = Fragility(::isDeadly),
        rounds: Int = ROUNDS,
        interval: Duration = REQUEST_INTERVAL,
    ) = FragileFleet(GATEWAYS, fragility).use { fleet ->
        val requests = requests(List(rounds) { case.round }.flatten(), case.isSession)
        assertContained(case.name, fleet, fleet.sendAll(requests, interval))
    }

    /** Guards against sending requests that crash replicas to one replica after the other. */
    @Test
    fun stopsSendingRequestsWithAPartThatCrashesReplicas() {
        val inFront = SOUND_PROMPTS + listOf(listOf("deadly", "subject", "other part"))
        assertStopped(Case("one part after others", SOUND_PROMPTS + DEADLY_PROMPT))
        assertStopped(Case("one part before others", inFront))
        val unframed = Fragility(::isDeadly, isFramed = false)
        assertStopped(Case("responses without a length", SOUND_PROMPTS + DEADLY_PROMPT), unframed)
    }

    /** Guards against holding sound parts that two deadly prompts share instead of the deadly ones. */
    @Test
    fun stopsSendingRequestsWithTwoPartsThatCrashReplicas() {
        val deadly = listOf(listOf("shared", "subject", "deadly"), listOf("shared", "deadly too", "subject"))
        assertStopped(Case("two parts at once", SOUND_PROMPTS + deadly))
    }

    /** Guards against never suspecting the last part of a prompt, although the requests of a session share it. */
    @Test
    fun findsAPartThatIsTheLastOfASessionsPrompts() {
        val cases = listOf(
            Case("last, beside prompts with all its other parts", SOUND_TWINS + DEADLY_PROMPT, isSession = true),
            Case("last, beside prompts with some of its other parts", SOUND_PROMPTS + DEADLY_PROMPT, isSession = true),
            Case("the only part", SOUND_PROMPTS + listOf(listOf("deadly")), isSession = true),
        )
        assertAll(cases.map { { assertStopped(it) } })
    }

    /** Guards against holding the sound parts before the last one in its place, if none was answered before. */
    @Test
    fun findsTheLastPartOfASessionIfItsOtherPartsWereNeverAnswered() =
        assertStopped(Case("last, in the first request of all", DEADLY_PROMPT + SOUND_TWINS, isSession = true))

    /** Guards against evidence that counts only if the crash follows soon after the head of a response. */
    @Test
    fun findsAPartThatCrashesReplicasOneSecondAfterTheHead() {
        val fragility = Fragility(::isDeadly, timeToCrash = 1.seconds, stopsWhenAbandoned = true)
        val case = Case("a head 1 s before the crash", SOUND_PROMPTS + DEADLY_PROMPT)
        assertStopped(case, fragility, SLOW_ROUNDS, SLOW_INTERVAL)
    }

    /** Guards against evidence that counts only if the crash follows within the time that most crashes took. */
    @Test
    fun findsAPartThatCrashesReplicasThreeTenthsOfASecondAfterTheHead() {
        val fragility = Fragility(::isDeadly, timeToCrash = 300.milliseconds)
        val case = Case("a head 300 ms before the crash", SOUND_PROMPTS + DEADLY_PROMPT)
        assertStopped(case, fragility, SLOW_ROUNDS, interval = 200.milliseconds)
    }

    /** Guards against evidence that counts only before the first event of a response. */
    @Test
    fun findsAPartThatCrashesReplicasAfterSomeEvents() {
        val fragility = Fragility(::isDeadly, timeToCrash = 2.seconds)
        fragility.eventsBeforeCrash = 3
        val case = Case("events 2 s before the crash", SOUND_PROMPTS + DEADLY_PROMPT)
        assertStopped(case, fragility, rounds = SLOW_ROUNDS, interval = 600.milliseconds)
    }

    /** Guards against evidence that counts only if the head of a response came before the crash. */
    @Test
    fun findsAPartThatCrashesReplicasBeforeTheHead() {
        val fragility = Fragility(::isDeadly, hasHead = false)
        assertStopped(Case("no head before the crash", SOUND_PROMPTS + DEADLY_PROMPT), fragility)
    }

    /** Guards against taking a response without a length that its replica's crash has cut off for a complete answer. */
    @Test
    fun findsAPartThatCrashesReplicasWithinAResponseWithoutALength() = assertAll(
        { checkLastWords("between two events", EVENT) },
        { checkLastWords("within an event", EVENT + EVENT.take(EVENT.length / 2)) },
    )

    private fun checkLastWords(name: String, words: String) =
        FragileFleet(GATEWAYS, Fragility(::isDeadly, isFramed = false).apply { lastWords = words }).use { fleet ->
            val requests = requests(List(ROUNDS) { SOUND_PROMPTS + DEADLY_PROMPT }.flatten())
            val responses = fleet.sendAll(requests, UNFRAMED_INTERVAL)
            assertTrue(fleet.crashes in 1..MAX_CRASHES, "$name: ${fleet.crashes} crashes")
            val sound = responses.filter { !isDeadly(it.request) }.takeLast(responses.size / 2)
            assertEquals(sound.size, sound.count { it.isServed }, "$name: sound requests served")
            val first = responses.first { isDeadly(it.request) }
            assertTrue(EVENT in first.text, "$name: the event is relayed")
        }

    /** Guards against refusing sound requests because their replicas crashed for other reasons. */
    @Test
    fun ordinaryCrashesQuarantineNothing() = listOf(true, false).forEach { checkOrdinaryCrashes(it, REQUEST_INTERVAL) }

    /** Guards against counting whole responses without a length as cut off by a crash that comes a little later. */
    @Test
    fun crashesSoonAfterWholeResponsesWithoutALengthQuarantineNothing() =
        listOf(36.milliseconds, 42.milliseconds).forEach { checkOrdinaryCrashes(isFramed = false, it) }

    private fun checkOrdinaryCrashes(isFramed: Boolean, interval: Duration) =
        FragileFleet(GATEWAYS, Fragility(isFatal = { false }, isFramed = isFramed)).use { fleet ->
            val responses = fleet.sendAll(requests(List(ROUNDS) { SOUND_PROMPTS }.flatten()), interval) { index ->
                val crash = index / REQUESTS_PER_CRASH
                if (index % REQUESTS_PER_CRASH == 0) fleet.replicas[crash % fleet.replicas.size].crash()
            }
            assertTrue(fleet.crashes >= ROUNDS / REQUESTS_PER_CRASH, "${fleet.crashes} crashes")
            val quarantined = responses.count { DispatchCode.PromptQuarantined.label in it.text }
            assertEquals(0, quarantined, "requests refused by quarantine")
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

        /** Time within which all gateways have heard of a crash. */
        val NEWS_TIME = 500.milliseconds

        /** A round then takes longer than a crash and its examination. */
        val UNFRAMED_INTERVAL = 80.milliseconds

        /** A round then takes longer than a replica and, after the gateway has given it up, a second one to crash. */
        val SLOW_INTERVAL = 450.milliseconds
        val SOUND_PROMPTS = listOf(
            listOf("shared", "subject"),
            listOf("shared", "other subject"),
            listOf("shared", "third subject"),
        )

        /** Prompts with all parts of the deadly one but the last. */
        val SOUND_TWINS = List(3) { listOf("shared", "subject") }
        val DEADLY_PROMPT = listOf(listOf("shared", "subject", "deadly"))
    }
}
