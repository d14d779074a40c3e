package org.guavapath.daemon.gateway

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.guavapath.core.fleet.PromptPart
import org.guavapath.core.fleet.PromptShape
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.RequestId
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quarantine.PartKey
import org.guavapath.core.results.DispatchCode
import org.guavapath.core.time.MonotonicTime
import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.SampleRequest
import org.guavapath.platform.wire.SampleRoute
import org.junit.jupiter.api.assertAll
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs gateways with requests that wait, or do not reach a replica, while a part of their prompts is suspected. */
class WaitingSuspectsTest {
    private val lookup = SampleRequest(SampleRoute.LOOKUPS, "1", "{}")

    private fun prompt(name: String, own: String) =
        SampleRequest(SampleRoute.PROMPTS, name, "{}", listOf("deadly", own))

    private fun OutspokenReplica.turnAway(seconds: String) {
        response = { OutspokenReplica.notRun(it, SampleFleet.retryAfterLine(seconds)) }
    }

    private fun OutspokenReplica.pathOf(id: String) = arrivals.last { it.id == id }.line

    private fun OutspokenReplica.crash(after: Duration) = thread(isDaemon = true) {
        Thread.sleep(after.inWholeMilliseconds)
        close()
    }

    /** Sends the head and crashes on each prompt but that of the stream, which breaks off after its first event. */
    private fun OutspokenReplica.crashOnPrompts() {
        response = { id ->
            val head = SampleFleet.responseHead(id, isFramed = true)
            when {
                STREAM in pathOf(id) -> head + OutspokenReplica.event(1) + "no chunk\r\n"
                SampleRoute.PROMPTS.pathPrefix in pathOf(id) -> head.also { crash(TIME_TO_CRASH) }
                else -> null
            }
        }
    }

    private fun OutspokenFleet.pauseAll() {
        val before = replicas.associateWith { it.arrivals.size }
        replicas.forEach { it.turnAway(PAUSE) }
        repeat(2 * replicas.size) {
            if (replicas.any { it.arrivals.size == before[it] }) send(lookup).get()
        }
        assertTrue(replicas.none { it.arrivals.size == before[it] }, "all replicas are paused")
    }

    /** Guards against sending on a stream whose prompt is held since it began to wait for a replica. */
    @Test
    fun aStreamThatWaitsForAPauseIsNotSentOnceItsPromptIsHeld() {
        OutspokenFleet(gateways = 2, replicas = 8, REPEAT_SLACK).use { fleet ->
            val late = OutspokenReplica("late").apply { crashOnPrompts() }
            fleet.pauseAll()
            fleet.replicas.forEach { it.crashOnPrompts() }
            fleet.list(late)
            Thread.sleep(LISTING_TIME.inWholeMilliseconds)
            val stream = fleet.send(prompt(STREAM, "own"))
            awaitTrue("the stream begins") { late.arrivals.any { STREAM in it.line } }
            val crashing = (1..MAX_CRASHES).map { fleet.send(prompt("deadly-$it", "own $it"), gateway = 1).get() }
            assertEquals(DispatchCode.PromptQuarantined.number, crashing.last().resultNumber, "it is held")
            val response = stream.get()
            val arrivals = (fleet.replicas + late).flatMap { it.arrivals }.filter { STREAM in it.line }
            assertEquals(1, arrivals.size, "sends of the stream")
            assertTrue("id: 1" in response.text, "the first event was relayed")
            assertEquals(false, response.isServed, "it broke off")
            late.close()
        }
    }

    /** Stores that replicas stopped within responses to prompts with the part, so long ago that a trial is due. */
    private fun storeCrash(store: MemoryStore) {
        val parts = PartKey.partsOf(PromptShape(ModelName("model"), 20, 10, listOf(PromptPart("deadly", 10))))
        val at = MonotonicTime.now() + -TIME_SINCE_CRASH
        val reports = listOf(1, 2).map { number ->
            val incarnation = ReplicaIncarnation(ReplicaId("lost-$number"), 1)
            val endedAt = at + -1.seconds * number
            CrashReport(incarnation, RequestId("$number"), endedAt, endedAt, parts, isStalled = true)
        }
        val log = GatewayLog()
        val stored = StoredCrashReports(EraTrackingStore(CountingStore(store), log), isFirstStart = false, log)
        stored.save()
        runBlocking { withTimeoutOrNull(TIME_TO_STORE) { stored.keepSaved { reports } } }
    }

    /** Why the first request that could be a trial is not sent to a replica. */
    private class Case(val name: String, val block: (OutspokenFleet) -> Unit, val free: (OutspokenFleet) -> Unit)

    private val cases = listOf(
        Case(
            "all replicas want no requests",
            block = { it.pauseAll() },
            free = { Thread.sleep(PAUSE_TIME.inWholeMilliseconds) },
        ),
        Case(
            "the replica accepts no connection",
            block = { fleet ->
                fleet.list(fleet.replicas.single(), startedAt = 2, address = "127.0.0.1:1")
                Thread.sleep(LISTING_TIME.inWholeMilliseconds)
            },
            free = { fleet ->
                fleet.list(fleet.replicas.single(), startedAt = 3)
                Thread.sleep(LISTING_TIME.inWholeMilliseconds)
            },
        ),
    )

    /** Guards against a trial that reaches no replica and keeps the next one from showing that replicas are sound. */
    @Test
    fun aTrialThatIsNotSentDoesNotBlockTheNext() = assertAll(cases.map { case -> { check(case) } })

    private fun check(case: Case) = OutspokenFleet(gateways = 1, replicas = 1, prepare = ::storeCrash).use { fleet ->
        case.block(fleet)
        val blocked = fleet.send(prompt("blocked", "own")).get()
        assertTrue(assertNotNull(blocked.resultNumber, case.name) != HELD, "${case.name}: blocked, not held")
        case.free(fleet)
        val replica = fleet.replicas.single().apply {
            response = { "${ReplicaDoor.SILENCE}${OutspokenReplica.success(it, isStream = true)}" }
            silence = TRIAL_TIME
        }
        val trial = fleet.send(prompt("trial", "own"))
        awaitTrue("${case.name}: the trial is sent") { trial.isDone || replica.arrivals.any { "trial" in it.line } }
        val other = fleet.send(prompt("other", "own")).get()
        assertTrue(trial.get().isServed, "${case.name}: ${trial.get().text}")
        assertEquals(HELD, other.resultNumber, "${case.name}: one trial at a time")
        assertTrue(fleet.send(prompt("next", "own")).get().isServed, "${case.name}: the answer clears the part")
    }

    private companion object {
        const val STREAM = "stream"
        const val MAX_CRASHES = 5
        const val PAUSE = "2"

        /** Enough for a retry of each gateway. */
        const val REPEAT_SLACK = 4.0
        val HELD = DispatchCode.PromptQuarantined.number
        val PAUSE_TIME = 2100.milliseconds

        /** Longer than gateways take to hear of a changed list entry. */
        val LISTING_TIME = 400.milliseconds
        val TIME_TO_CRASH = 60.milliseconds
        val TRIAL_TIME = 300.milliseconds
        val TIME_TO_STORE = 300.milliseconds

        /** Longer than the first quarantine. */
        val TIME_SINCE_CRASH = 31.seconds
    }
}
