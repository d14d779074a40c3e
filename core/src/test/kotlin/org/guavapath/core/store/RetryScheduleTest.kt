package org.guavapath.core.store

import org.guavapath.core.time.MonotonicTime
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime(1_000_000)
private val CALL_TIME = 5.milliseconds
private val CALL_TIMEOUT = 2.seconds

/**
 * A store that rejects calls which begin in its first [duration].
 *
 * @property askedWait the wait that it asks for
 * @property isSilent whether calls time out instead
 */
private class Outage(val duration: Duration, val askedWait: Duration? = null, val isSilent: Boolean = false) {
    val end = START + duration

    fun rejects(calledAt: MonotonicTime) = calledAt < end
}

/** One process whose views list the store as [RetrySchedule] allows; all of them call at the start of [outage]. */
private class SimulatedProcess(private val outage: Outage, seed: Int) {
    private class Call(val view: Int, val calledAt: MonotonicTime, val endsAt: MonotonicTime)

    private val schedule = RetrySchedule(Random(seed))
    private val waiting = ArrayDeque((0 until VIEWS).toList())
    private val running = PriorityQueue<Call>(compareBy { it.endsAt })

    /** Calls until all views were listed. */
    var calls = 0
        private set

    /** Until when the store has asked to wait. */
    var askedUntil = START
        private set

    /** Calls the store until all views are listed; returns when. */
    fun run(): MonotonicTime {
        var now = START
        while (waiting.isNotEmpty() || running.isNotEmpty()) {
            while (waiting.isNotEmpty() && !schedule.timeLeft(now).isPositive()) begin(waiting.removeFirst(), now)
            val turn = if (waiting.isEmpty()) null else now + maxOf(1.microseconds, schedule.timeLeft(now))
            val next = running.peek()?.endsAt
            now = listOfNotNull(turn, next).minOrNull() ?: break
            while (running.peek()?.let { it.endsAt <= now } == true) end(running.remove(), now)
        }
        return now
    }

    private fun begin(view: Int, now: MonotonicTime) {
        calls += 1
        schedule.begin(now)
        val isLost = outage.isSilent && outage.rejects(now)
        running.add(Call(view, now, now + if (isLost) CALL_TIMEOUT else CALL_TIME))
    }

    private fun end(call: Call, now: MonotonicTime) {
        if (!outage.rejects(call.calledAt)) return schedule.succeeded(now)
        outage.askedWait?.let { askedUntil = maxOf(askedUntil, now + it) }
        schedule.failed(call.calledAt, now, outage.askedWait)
        waiting.addLast(call.view)
    }

    private companion object {
        const val VIEWS = 4
    }
}

class RetryScheduleTest {
    /**
     * Processes that call a store in an outage.
     *
     * @property recovery time within which all are back, from the store's return or the end of the wait it asked for
     * @property maxCalls limit of the calls of each process on average
     */
    private class Case(val name: String, val outage: Outage, val recovery: Duration, val maxCalls: Int)

    private val cases = listOf(
        Case("0.2 s of rejections", Outage(200.milliseconds), RECOVERY, maxCalls = 12),
        Case("2 s of rejections", Outage(2.seconds), RECOVERY, maxCalls = 17),
        Case("28 s of rejections", Outage(28.seconds), RECOVERY, maxCalls = 60),
        Case("2 s, a wait of 1 s is asked for", Outage(2.seconds, askedWait = 1.seconds), RECOVERY, maxCalls = 12),
        Case("28 s, a wait of 5 s is asked for", Outage(28.seconds, askedWait = 5.seconds), RECOVERY, maxCalls = 15),
        Case("28 s, one wait of 28 s", Outage(28.seconds, askedWait = 28.seconds), RECOVERY, maxCalls = 10),
        Case("28 s of silence", Outage(28.seconds, isSilent = true), CALL_TIMEOUT + FIRST_RETRY, maxCalls = 60),
    )

    /** Guards against processes that call a failing store without growing pauses, or that return late after it. */
    @Test
    fun processesCallAFailingStoreRarelyAndReturnInTime() = cases.forEach { case ->
        listOf(8, 85, 340).forEach { gateways ->
            var calls = 0
            var slowest = Duration.ZERO
            repeat(gateways) { seed ->
                val process = SimulatedProcess(case.outage, seed)
                val listedAt = process.run()
                calls += process.calls
                slowest = maxOf(slowest, listedAt - maxOf(case.outage.end, process.askedUntil))
            }
            assertTrue(slowest <= case.recovery, "${case.name}, $gateways gateways: back after $slowest")
            assertTrue(calls <= case.maxCalls * gateways, "${case.name}, $gateways gateways: $calls calls")
        }
    }

    /** Guards against a long pause after a single lost call. */
    @Test
    fun aSingleFailureIsRepeatedSoon() = repeat(1_000) { seed ->
        val schedule = RetrySchedule(Random(seed))
        // Calls that run at the same time fail together.
        repeat(4) { schedule.failed(START, START + CALL_TIME, askedWait = null) }
        val timeLeft = schedule.timeLeft(START + CALL_TIME)
        assertTrue(timeLeft <= FIRST_RETRY, "seed $seed: $timeLeft")
        assertEquals(timeLeft, schedule.backOff)
        val retriedAt = START + CALL_TIME + timeLeft
        assertTrue(schedule.begin(retriedAt), "the retry is a probe")
        assertTrue(schedule.timeLeft(retriedAt).isPositive(), "no other call begins beside a probe")
        schedule.succeeded(retriedAt + CALL_TIME)
        assertEquals(Duration.ZERO, schedule.timeLeft(retriedAt + CALL_TIME))
        assertEquals(Duration.ZERO, schedule.backOff)
    }

    /** Guards against processes that repeat their calls at the same time. */
    @Test
    fun waitsAreSpreadOverTheWholeRange() {
        val waits = List(1_000) { seed ->
            val schedule = RetrySchedule(Random(seed))
            (1..10).map { START + it.seconds * 2 }.forEach {
                schedule.begin(it)
                schedule.failed(it, it, askedWait = null)
            }
            schedule.backOff
        }
        val longest = RetrySchedule.MAX_BACK_OFF
        (0 until 4).forEach { quarter ->
            val share = waits.count { it >= longest * quarter / 4 && it < longest * (quarter + 1) / 4 }
            assertTrue(share in 200..300, "quarter $quarter: $share of ${waits.size}")
        }
    }

    /** Guards against a call before the time that the store asked for, and against a wait without end. */
    @Test
    fun askedWaitsAreKept() {
        val asked = 5.seconds
        val later = START + 1.seconds
        val cases: List<Pair<String, RetrySchedule.() -> Unit>> = listOf(
            "a failure that asks for none follows" to { failed(later, later, askedWait = null) },
            "a shorter wait follows" to { failed(later, later, askedWait = 1.seconds) },
            "a call that began before succeeds" to { succeeded(later) },
            "nothing follows" to { },
        )
        cases.forEach { (name, follow) ->
            val schedule = RetrySchedule(Random(1))
            schedule.failed(START, START, asked)
            schedule.follow()
            val timeLeft = schedule.timeLeft(START)
            assertTrue(timeLeft in asked..asked + RECOVERY, "$name: $timeLeft")
        }
        val schedule = RetrySchedule(Random(1))
        schedule.failed(START, START, askedWait = 10_000.seconds)
        assertTrue(schedule.timeLeft(START) <= RetrySchedule.MAX_ASKED_WAIT + RECOVERY)
    }

    private companion object {
        /** All views are listed within two seconds of the store's return. */
        val RECOVERY = 2.seconds

        /** A single lost call is repeated after a quarter of a second at the latest. */
        val FIRST_RETRY = 250.milliseconds
    }
}
