package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Records events of one VM, one second apart if not stated otherwise. */
private class History(val quarantine: PromptQuarantine = PromptQuarantine()) {
    var now = MonotonicTime.ZERO
        private set
    var explanations = emptySet<Set<ReplicaIncarnation>>()
        private set
    private var requests = 0

    fun wait(duration: Duration) {
        now += duration
    }

    fun answered(vararg parts: String) {
        wait(1.seconds)
        quarantine.answered(keys(*parts), now)
    }

    /** The replica crashed on a request with [parts]. */
    fun crashed(
        replica: String,
        vararg parts: String,
        stage: CrashStage = CrashStage.BEFORE_FIRST_EVENT,
        after: Duration = 1.seconds,
    ) {
        wait(after)
        requests += 1
        val request = RequestId("request-$requests")
        quarantine.add(listOf(CrashReport(ReplicaId(replica), 0, request, now, stage, keys(*parts))), now)
    }

    /** The replicas crashed in a row with one whole request. */
    fun explained(vararg replicas: String) {
        explanations = setOf(replicas.map { ReplicaIncarnation(ReplicaId(it), 0) }.toSet())
        quarantine.explain(explanations)
    }

    fun verdict(vararg parts: String): QuarantineVerdict = quarantine.verdict(keys(*parts), now)

    fun isQuarantined(prompt: String): Boolean =
        verdict(*prompt.split(' ').toTypedArray()) is QuarantineVerdict.Quarantined
}

private fun keys(vararg parts: String): Set<PartKey> = parts.map { PartKey(it.hashCode().toLong()) }.toSet()

private val justBegun = CrashStage.JUST_BEGUN

class PromptQuarantineTest {
    /**
     * @property quarantined prompts that must be refused after [history]
     * @property allowed prompts that must be sent to replicas after [history]
     */
    private class Case(
        val name: String,
        val quarantined: List<String>,
        val allowed: List<String>,
        val history: History.() -> Unit,
    )

    private val cases = listOf(
        Case("nothing has crashed", emptyList(), listOf("a b")) { answered("a", "b") },
        Case("one crash on a new part", listOf("a b x", "other x"), listOf("a b", "a")) {
            answered("a", "b")
            crashed("r1", "a", "b", "x")
        },
        Case("the other parts are cleared later", listOf("b x", "x"), listOf("a b")) {
            crashed("r1", "a", "b", "x")
            answered("a", "b")
        },
        Case("nothing tells two new parts apart", listOf("a b x"), listOf("a b", "x")) {
            answered("a")
            crashed("r1", "a", "b", "x")
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
        Case("one crash right after the response began", emptyList(), listOf("x")) {
            crashed("r1", "x", stage = justBegun)
        },
        Case("two crashes right after the response began", listOf("x"), emptyList()) {
            crashed("r1", "x", stage = justBegun)
            crashed("r2", "x", stage = justBegun)
        },
        Case("two requests on the replica that crashed", emptyList(), listOf("x")) {
            crashed("r1", "x", stage = justBegun)
            crashed("r1", "x", stage = justBegun)
        },
        Case("two parts at once", listOf("a x", "a y", "x y"), listOf("a b")) {
            answered("a", "b")
            crashed("r1", "a", "x")
            crashed("r2", "b", "y")
        },
        Case("two parts in one prompt", listOf("x y"), listOf("a")) {
            answered("a")
            crashed("r1", "a", "x", "y")
        },
        Case("one whole request explains both crashes", emptyList(), listOf("a b")) {
            answered("a", "b")
            crashed("r1", "a", "b")
            crashed("r2", "a", "b")
            explained("r1", "r2")
        },
        Case("a whole request explains one crash of two", listOf("a b"), listOf("a")) {
            answered("a", "b")
            crashed("r1", "a", "b")
            crashed("r2", "a", "b")
            explained("r1", "r3")
        },
        Case("a crash follows that it does not explain", listOf("a b"), listOf("a")) {
            answered("a", "b")
            crashed("r1", "a", "b")
            crashed("r2", "a", "b")
            explained("r1", "r2")
            crashed("r3", "a", "b")
        },
        Case("it explains crashes on a part that was never answered", listOf("a x"), listOf("a")) {
            answered("a")
            crashed("r1", "a", "x")
            crashed("r2", "a", "x")
            explained("r1", "r2")
        },
        Case("a prompt without shared parts", emptyList(), listOf("a")) { crashed("r1") },
    )

    /** Guards against refusing sound requests, and against sending those that crash replicas. */
    @Test
    fun quarantinesThePartsThatCrashReplicasAndNoOthers() {
        cases.forEach { case ->
            val history = History().apply(case.history)
            val prompts = case.quarantined + case.allowed
            assertEquals(case.quarantined, prompts.filter { history.isQuarantined(it) }, case.name)
        }
    }

    @Test
    fun vmsAgreeWhateverReportsArriveInWhichOrder() {
        cases.forEach { case ->
            val observer = History().apply(case.history)
            val reports = observer.quarantine.reports.toList()
            val orders = listOf(reports, reports.reversed(), reports + reports)
            orders.flatMap { order -> listOf(0, order.size).map { order to it } }.forEach { (order, explainedAfter) ->
                val other = History()
                other.wait(observer.now - MonotonicTime.ZERO)
                order.take(explainedAfter).forEach { other.quarantine.add(listOf(it), other.now) }
                other.quarantine.explain(observer.explanations)
                order.drop(explainedAfter).forEach { other.quarantine.add(listOf(it), other.now) }
                assertEquals(observer.quarantine.quarantined, other.quarantine.quarantined, case.name)
                assertEquals(false, other.quarantine.add(reports, other.now), "${case.name}: nothing new")
            }
        }
    }

    @Test
    fun anotherVmsAnswersClearParts() {
        val first = History()
        val second = History()
        second.answered("a", "b")
        first.wait(2.seconds)
        first.crashed("r1", "a", "b", "x")
        assertEquals(setOf(keys("a", "b", "x")), first.quarantine.quarantined)
        second.wait(3.seconds)
        second.quarantine.add(first.quarantine.reports.toList(), second.now)
        first.quarantine.add(second.quarantine.reports.toList(), first.now)
        assertEquals(setOf(keys("x")), first.quarantine.quarantined)
        assertEquals(first.quarantine.quarantined, second.quarantine.quarantined)
    }

    @Test
    fun oneRequestAtATimeTriesThePartWhenTheQuarantineEnds() {
        val history = History()
        history.crashed("r1", "x")
        history.wait(29.seconds)
        assertIs<QuarantineVerdict.Quarantined>(history.verdict("x"))
        history.wait(1.seconds)
        assertIs<QuarantineVerdict.Trial>(history.verdict("x"))
        history.quarantine.trialStarted(keys("x"), history.now)
        assertEquals(QuarantineVerdict.Quarantined(5.seconds), history.verdict("x"))
        history.crashed("r2", "x")
        assertEquals(QuarantineVerdict.Quarantined(60.seconds), history.verdict("x"), "twice as long")
        history.wait(60.seconds)
        assertIs<QuarantineVerdict.Trial>(history.verdict("x"))
        history.quarantine.trialStarted(keys("x"), history.now)
        history.answered("x")
        assertIs<QuarantineVerdict.Allowed>(history.verdict("x"))
    }

    @Test
    fun anotherVmsTrialDefersTrialsHere() {
        val first = History()
        first.crashed("r1", "x")
        first.wait(30.seconds)
        val second = History()
        second.wait(first.now - MonotonicTime.ZERO)
        second.quarantine.add(first.quarantine.reports.toList(), second.now)
        first.quarantine.trialStarted(keys("x"), first.now)
        second.quarantine.add(first.quarantine.reports.toList(), second.now)
        assertEquals(QuarantineVerdict.Quarantined(5.seconds), second.verdict("x"))
    }

    @Test
    fun reportsExpire() {
        val history = History()
        history.crashed("r1", "x")
        history.wait(10.minutes + 1.seconds)
        history.quarantine.expire(history.now)
        assertEquals(emptyList(), history.quarantine.reports.toList())
        assertIs<QuarantineVerdict.Allowed>(history.verdict("x"))
    }

    /** Guards against messages without end between VMs that cannot keep all reports. */
    @Test
    fun tooManyReportsDropTheWeakestOnAllVmsAlike() {
        val first = History()
        first.crashed("r0", "x")
        repeat(CrashLedger.MAX_REPORTS) { first.crashed("r$it", "p$it", stage = justBegun, after = 1.milliseconds) }
        assertEquals(CrashLedger.MAX_REPORTS, first.quarantine.reports.size)
        assertEquals(true, first.isQuarantined("x"))
        val second = History()
        second.wait(first.now - MonotonicTime.ZERO)
        repeat(CrashLedger.MAX_REPORTS) { second.crashed("s$it", "q$it", stage = justBegun, after = 1.milliseconds) }
        second.quarantine.add(first.quarantine.reports.toList(), second.now)
        first.quarantine.add(second.quarantine.reports.toList(), second.now)
        assertEquals(false, second.quarantine.add(first.quarantine.reports.toList(), second.now))
        assertEquals(false, first.quarantine.add(second.quarantine.reports.toList(), second.now))
        assertEquals(true, second.isQuarantined("x"))
    }
}
