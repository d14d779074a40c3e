package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Time from the send of a request to the crash, or to the answer, in a [History]. */
private val RUN_TIME = 100.milliseconds

/**
 * A request that ran when its replica crashed.
 *
 * @property body distinguishes requests with the same parts; different for each if null
 * @property beside suspects of a request that another replica was sent before and goes on to answer, null if none
 */
private class Run(val body: String? = null, val ranFor: Duration = RUN_TIME, val beside: Set<Suspect>? = null)

/** Records events of one VM, one second apart if not stated otherwise. */
private class History(val quarantine: CrashQuarantine = CrashQuarantine()) {
    var now = MonotonicTime.ZERO + 1.hours
        private set
    private var requests = 0

    fun wait(duration: Duration) {
        now += duration
    }

    fun waitUntil(time: MonotonicTime) {
        now = time
    }

    fun answered(vararg parts: String, sentBefore: Duration = RUN_TIME) {
        wait(1.seconds)
        quarantine.answered(keys(*parts), now + -sentBefore, now)
    }

    /** The replica crashed with a request with [parts]. */
    fun crashed(
        replica: String,
        vararg parts: String,
        isStalled: Boolean = true,
        after: Duration = 1.seconds,
        run: Run = Run(),
    ) {
        wait(after)
        requests += 1
        val suspects = keys(*parts) + RequestKey((run.body ?: "body $requests").hashCode().toLong())
        val incarnation = ReplicaIncarnation(ReplicaId(replica), 0)
        val id = RequestId("request-$requests")
        val report = CrashReport(incarnation, id, now + -run.ranFor, now, suspects, isStalled)
        val running = run.beside?.let { RunningRequest(elsewhere, it, now + -run.ranFor * 2) }
        quarantine.add(listOf(report), now, listOfNotNull(running))
    }

    fun verdict(vararg parts: String): QuarantineVerdict = quarantine.verdict(keys(*parts), now)

    fun isHeld(prompt: String): Boolean = verdict(*prompt.split(' ').toTypedArray()) is QuarantineVerdict.Held
}

private val elsewhere = ReplicaIncarnation(ReplicaId("elsewhere"), 0)

private fun keys(vararg parts: String): Set<Suspect> = parts.map { PartKey(it.hashCode().toLong()) }.toSet()

class CrashQuarantineTest {
    /**
     * @property held prompts of new requests that must be refused after [history]
     * @property allowed prompts of new requests that must be sent to replicas after [history]
     */
    private class Case(
        val name: String,
        val held: List<String>,
        val allowed: List<String>,
        val history: History.() -> Unit,
    )

    private val stalledCases = listOf(
        Case("nothing has crashed", emptyList(), listOf("a b")) { answered("a", "b") },
        Case("two crashes on a new part", listOf("a b x", "other x"), listOf("a b", "a")) {
            answered("a", "b")
            crashed("r1", "a", "b", "x", "own")
            crashed("r2", "a", "b", "x", "other own")
        },
        Case("the other parts are cleared later", listOf("b x", "x"), listOf("a b")) {
            crashed("r1", "a", "b", "x")
            crashed("r2", "a", "b", "x")
            answered("a", "b")
        },
        Case("nothing tells two new parts apart", listOf("a b x"), listOf("a b", "x")) {
            answered("a")
            crashed("r1", "a", "b", "x")
            crashed("r2", "a", "b", "x")
        },
        Case("a second crash tells two new parts apart", listOf("x", "c x"), listOf("b", "c")) {
            crashed("r1", "b", "x")
            crashed("r2", "c", "x")
        },
        Case("one crash on parts that were answered before", emptyList(), listOf("a b x")) {
            answered("a", "b", "x")
            crashed("r1", "a", "b", "x")
        },
        Case("a part that was answered before begins to crash replicas", listOf("a x"), listOf("a", "b")) {
            answered("a", "b", "x")
            crashed("r1", "a", "x")
            answered("a", "b")
            crashed("r2", "a", "x")
            answered("a", "b")
        },
        Case("two crashes with an answer between them", emptyList(), listOf("a x")) {
            answered("a", "x")
            crashed("r1", "a", "x")
            answered("a", "x")
            crashed("r2", "a", "x")
        },
        Case("two requests on the replica that crashed", emptyList(), listOf("x")) {
            crashed("r1", "x")
            crashed("r1", "x", after = 1.milliseconds)
        },
        Case("two parts at once", listOf("a x", "a y", "x y"), listOf("a b")) {
            answered("a", "b")
            crashed("r1", "a", "x")
            crashed("r2", "b", "y")
            crashed("r3", "a", "x")
            crashed("r4", "b", "y")
        },
        Case("two parts in one prompt", listOf("x y"), listOf("a")) {
            answered("a")
            crashed("r1", "a", "x", "y")
            crashed("r2", "a", "x", "y")
        },
        Case("one whole request explains both crashes", emptyList(), listOf("a b", "a x")) {
            answered("a", "b")
            crashed("r1", "a", "b", "x", run = Run("one"))
            crashed("r2", "a", "b", "x", run = Run("one"))
        },
        Case("a crash follows that it does not explain", listOf("a b"), listOf("a")) {
            answered("a", "b")
            crashed("r1", "a", "b", run = Run("one"))
            crashed("r2", "a", "b", run = Run("one"))
            crashed("r3", "a", "b")
        },
        Case("a prompt without parts", emptyList(), listOf("a")) { crashed("r1") },
    )

    private val plainCases = listOf(
        Case("one crash", emptyList(), listOf("x")) { crashed("r1", "x", isStalled = false) },
        Case("two crashes", emptyList(), listOf("x")) {
            crashed("r1", "x", isStalled = false)
            crashed("r2", "x", isStalled = false)
        },
        Case("three crashes", listOf("x", "other x"), emptyList()) {
            repeat(3) { crashed("r$it", "x", isStalled = false) }
        },
        Case("three crashes long after the request was sent", listOf("x"), emptyList()) {
            repeat(3) { crashed("r$it", "x", isStalled = false, run = Run(ranFor = 20.minutes)) }
        },
        Case("the part of a session, which comes last", listOf("a b s"), listOf("a b")) {
            repeat(3) {
                answered("a", "b")
                crashed("r$it", "a", "b", "s", isStalled = false)
            }
        },
        Case("the part of a session, and nothing was answered before", listOf("a b s"), listOf("a b", "a b own")) {
            repeat(3) { crashed("r$it", "a", "b", "s", isStalled = false) }
        },
        Case("three replicas at one moment", emptyList(), listOf("x")) {
            val run = Run(ranFor = 1.seconds)
            repeat(3) { crashed("r$it", "x", isStalled = false, after = 10.milliseconds, run = run) }
        },
        Case("three crashes on a part that was answered before", emptyList(), listOf("x")) {
            answered("x")
            repeat(3) { crashed("r$it", "x", isStalled = false) }
        },
        Case("a fourth one", listOf("x"), emptyList()) {
            answered("x")
            repeat(4) { crashed("r$it", "x", isStalled = false) }
        },
        Case("an answer to a request that was sent before the crashes", listOf("x"), emptyList()) {
            repeat(4) { crashed("r$it", "x", isStalled = false) }
            answered("x", sentBefore = 10.seconds)
        },
        Case("an answer to one that was sent after the first request of each replica", emptyList(), listOf("x")) {
            val run = Run(ranFor = 5.seconds)
            repeat(4) { crashed("r$it", "x", isStalled = false, after = 500.milliseconds, run = run) }
            answered("x", sentBefore = 2.seconds)
        },
        Case("three crashes among many others", emptyList(), listOf("x")) {
            repeat(3) {
                repeat(3) { other -> crashed("o$it$other", "own $it $other", isStalled = false) }
                crashed("r$it", "x", isStalled = false)
            }
        },
        Case("repeats of one request whose part also crashes others", listOf("x"), emptyList()) {
            answered("x")
            repeat(3) { crashed("r$it", "x", isStalled = false, run = Run("one")) }
            crashed("r4", "x", isStalled = false)
        },
        Case("three crashes while another request with the part goes on", emptyList(), listOf("x")) {
            repeat(3) { crashed("r$it", "x", isStalled = false, run = Run(beside = keys("x"))) }
        },
        Case("five of them", listOf("x"), emptyList()) {
            repeat(5) { crashed("r$it", "x", isStalled = false, run = Run(beside = keys("x"))) }
        },
        Case("a request with the other part goes on", listOf("a x"), listOf("a")) {
            repeat(3) { crashed("r$it", "a", "x", isStalled = false, run = Run(beside = keys("a"))) }
        },
        Case("sound requests with the other parts run beside each", listOf("a b x"), listOf("a b")) {
            repeat(3) {
                crashed("r$it", "a", "b", "x", isStalled = false)
                crashed("r$it", "a", "b", isStalled = false, after = Duration.ZERO)
            }
        },
        Case("a crash follows on a request without the part", listOf("a b x", "a b"), emptyList()) {
            repeat(4) {
                crashed("r$it", "a", "b", isStalled = false)
                if (it < 3) crashed("r$it", "a", "b", "x", isStalled = false, after = Duration.ZERO)
            }
        },
        Case("a crash of which only the request beside the cause is known", listOf("a x"), listOf("a b")) {
            answered("a", "b")
            repeat(4) {
                if (it < 3) crashed("r$it", "a", "x", isStalled = false)
                crashed("r$it", "a", "b", isStalled = false, after = 500.milliseconds * (it / 3))
            }
        },
        Case("what runs beside the cause does not count", listOf("x"), listOf("y")) {
            repeat(4) {
                crashed("r$it", "x", isStalled = false)
                if (it < 3) crashed("r$it", "y", isStalled = false, after = Duration.ZERO)
            }
        },
    )

    private val cases = stalledCases + plainCases

    /** Guards against refusing sound requests, and against sending those that crash replicas. */
    @Test
    fun holdsThePartsThatCrashReplicasAndNoOthers() {
        cases.forEach { case ->
            val history = History().apply(case.history)
            val prompts = case.held + case.allowed
            assertEquals(case.held, prompts.filter { history.isHeld(it) }, case.name)
        }
    }

    @Test
    fun vmsAgreeWhateverReportsArriveInWhichOrder() {
        cases.forEach { case ->
            val observer = History().apply(case.history)
            val reports = observer.quarantine.reports.toList()
            listOf(reports, reports.reversed(), reports + reports).forEach { order ->
                val other = History()
                other.waitUntil(observer.now)
                order.forEach { other.quarantine.add(listOf(it), other.now) }
                assertEquals(observer.quarantine.held, other.quarantine.held, case.name)
                assertEquals(emptyList(), other.quarantine.add(reports, other.now), "${case.name}: nothing new")
            }
        }
    }

    @Test
    fun anotherVmsAnswersClearParts() {
        val first = History()
        val second = History()
        first.wait(2.seconds)
        repeat(2) { first.crashed("r$it", "a", "b", "x") }
        assertEquals(setOf(keys("a", "b", "x")), first.quarantine.held)
        second.waitUntil(first.now)
        second.answered("a", "b")
        second.quarantine.add(first.quarantine.reports.toList(), second.now)
        first.quarantine.add(second.quarantine.reports.toList(), second.now)
        assertEquals(setOf(keys("x")), first.quarantine.held)
        assertEquals(first.quarantine.held, second.quarantine.held)
    }

    /** Guards against holding what another VM sees go on. */
    @Test
    fun whatAnotherVmHasRunningIsOutlived() {
        val first = History()
        val second = History()
        val running = RunningRequest(elsewhere, keys("x"), first.now)
        repeat(3) { first.crashed("r$it", "x", isStalled = false) }
        assertEquals(setOf(keys("x")), first.quarantine.held)
        second.waitUntil(first.now)
        val reports = first.quarantine.reports.toList()
        val merged = second.quarantine.add(reports, second.now, listOf(running))
        assertEquals(emptySet(), second.quarantine.held)
        first.quarantine.add(merged, first.now)
        assertEquals(emptySet(), first.quarantine.held)
        assertEquals(emptyList(), first.quarantine.add(reports, first.now, listOf(running)), "known reports")
    }

    @Test
    fun oneRequestAtATimeTriesThePartWhenTheHoldEnds() {
        val history = History()
        repeat(3) { history.crashed("r$it", "x", isStalled = false) }
        history.wait(29.seconds)
        assertIs<QuarantineVerdict.Held>(history.verdict("x"))
        history.wait(1.seconds)
        assertIs<QuarantineVerdict.Trial>(history.verdict("x"))
        history.quarantine.trialStarted(keys("x"), history.now)
        assertEquals(5.seconds, (history.verdict("x") as QuarantineVerdict.Held).timeLeft)
        history.crashed("r4", "x", isStalled = false)
        assertEquals(60.seconds, (history.verdict("x") as QuarantineVerdict.Held).timeLeft, "twice as long")
        history.wait(60.seconds)
        assertIs<QuarantineVerdict.Trial>(history.verdict("x"))
        history.quarantine.trialStarted(keys("x"), history.now)
        history.answered("x")
        assertIs<QuarantineVerdict.Allowed>(history.verdict("x"))
    }

    /** Guards against trials that go on to crash replicas soon after the fifth crash. */
    @Test
    fun aPartIsTriedSeldomAfterTheFifthCrash() {
        val history = History()
        repeat(5) { history.crashed("r$it", "x", isStalled = false) }
        assertEquals(10.minutes, (history.verdict("x") as QuarantineVerdict.Held).timeLeft)
        history.wait(10.minutes)
        history.quarantine.expire(history.now)
        assertIs<QuarantineVerdict.Trial>(history.verdict("x"))
        history.quarantine.trialStarted(keys("x"), history.now)
        history.crashed("r6", "x", isStalled = false)
        assertEquals(20.minutes, (history.verdict("x") as QuarantineVerdict.Held).timeLeft)
    }

    @Test
    fun anotherVmsTrialDefersTrialsHere() {
        val first = History()
        repeat(2) { first.crashed("r$it", "x") }
        first.wait(30.seconds)
        val second = History()
        second.waitUntil(first.now)
        second.quarantine.add(first.quarantine.reports.toList(), second.now)
        first.quarantine.trialStarted(keys("x"), first.now)
        second.quarantine.add(first.quarantine.reports.toList(), second.now)
        assertEquals(5.seconds, (second.verdict("x") as QuarantineVerdict.Held).timeLeft)
    }

    @Test
    fun reportsExpire() {
        val history = History()
        repeat(2) { history.crashed("r$it", "x") }
        history.wait(10.minutes + 31.seconds)
        history.quarantine.expire(history.now)
        assertEquals(emptyList(), history.quarantine.reports.toList())
        assertIs<QuarantineVerdict.Allowed>(history.verdict("x"))
    }

    /** Guards against messages without end between VMs that forget the same reports one after the other. */
    @Test
    fun whatAVmHasForgottenIsNoNewsToIt() {
        val histories = mapOf<String, History.() -> Unit>(
            "too little evidence" to {
                crashed("r1", "x", isStalled = false)
                wait(10.minutes)
            },
            "no suspect is left" to {
                crashed("r1", "x", run = Run("one"))
                quarantine.answered(keys("x") + RequestKey("one".hashCode().toLong()), now, now)
                wait(10.seconds)
            },
            "long after a hold" to {
                repeat(3) { crashed("r$it", "x", isStalled = false) }
                wait(10.minutes + 30.seconds)
            },
        )
        histories.forEach { (name, events) ->
            val first = History().apply(events)
            val reports = first.quarantine.reports.toList()
            first.wait(1.milliseconds)
            first.quarantine.expire(first.now)
            assertEquals(emptyList(), first.quarantine.reports.toList(), name)
            assertEquals(emptyList(), first.quarantine.add(reports, first.now), name)
            assertEquals(emptyList(), first.quarantine.reports.toList(), name)
        }
    }

    @Test
    fun aVmThatStartsLearnsOfALongHold() {
        val first = History()
        repeat(6) { first.crashed("r$it", "x", isStalled = false) }
        first.wait(15.minutes)
        first.quarantine.expire(first.now)
        val second = History()
        second.waitUntil(first.now)
        second.quarantine.add(first.quarantine.reports.toList(), second.now)
        assertEquals(true, second.isHeld("x"))
    }

    /** Guards against messages without end between VMs that cannot keep all reports, and against losing the cause. */
    @Test
    fun tooManyReportsDropThoseOfTheShortestRowsOnAllVmsAlike() {
        val first = History()
        repeat(3) { first.crashed("x$it", "x", isStalled = false) }
        repeat(2 * CrashLedger.MAX_REPORTS) { first.crashed("r", "p$it", isStalled = false, after = 1.milliseconds) }
        assertEquals(true, first.isHeld("x"))
        val second = History()
        second.waitUntil(first.now)
        repeat(2 * CrashLedger.MAX_REPORTS) { second.crashed("s", "q$it", isStalled = false, after = 1.milliseconds) }
        listOf(first, second).forEach {
            assertEquals(true, it.quarantine.reports.size < CrashLedger.MAX_REPORTS + CrashLedger.MAX_SURPLUS)
        }
        repeat(3) {
            second.quarantine.add(first.quarantine.reports.toList(), second.now)
            first.quarantine.add(second.quarantine.reports.toList(), second.now)
        }
        assertEquals(emptyList(), second.quarantine.add(first.quarantine.reports.toList(), second.now))
        assertEquals(emptyList(), first.quarantine.add(second.quarantine.reports.toList(), second.now))
        assertEquals(true, second.isHeld("x"))
    }

    @Test
    fun aReportNamesItsTimesInOrder() {
        val incarnation = ReplicaIncarnation(ReplicaId("r"), 0)
        val now = MonotonicTime.ZERO + 1.hours
        assertFailsWith<IllegalArgumentException> {
            CrashReport(incarnation, RequestId("1"), now + 1.milliseconds, now, keys("x"))
        }
    }
}
