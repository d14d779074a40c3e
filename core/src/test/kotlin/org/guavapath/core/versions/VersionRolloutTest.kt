package org.guavapath.core.versions

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.SoftwareVersion
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class VersionRolloutTest {
    private val order = VersionOrder(ServiceName("service"), SoftwareVersion("v2"), 12.seconds, createdAt = 7)
    private val bounds = ExposureBounds(share = 0.1, slack = 50, stopTime = 5.seconds)
    private val route = RouteName("route")
    private val vm = VmId("vm")
    private val start = MonotonicTime.ZERO + 100.seconds
    private val ready = MoveSituation(targetSlots = 16, oldSlots = 16, setOf(vm))

    private fun rollout(progress: VersionProgress? = null, token: Long = 2) =
        VersionRollout(order, bounds, token, progress, start).apply {
            written(progress(start))
        }

    private fun progress(ceiling: Long, phase: VersionPhase = VersionPhase.Trial, requests: Long = 0) =
        VersionProgress(order, ceiling, requests, Duration.ZERO, phase)

    private fun report(requests: Long = 0, sent: Long = 0, answers: AnswerCounts = emptyMap()) = VersionReport(
        order,
        Incarnation(1),
        number = 1,
        Duration.ZERO,
        token = 0,
        heard = 0,
        ceiling = 0,
        formerCeiling = 0,
        VersionPhase.Trial,
        mapOf(route to requests),
        mapOf(route to sent),
        emptyMap(),
        answers,
        runningOnOld = 0,
    )

    private fun answers(good: Int, bad: Int, replicas: Int, oldGood: Int): AnswerCounts {
        val stratum = Stratum(route, 0, 0)
        val ofReplica = (0 until replicas).associate { replica ->
            val counts = SourceCounts().apply {
                repeat(good) { succeeded(20.milliseconds) }
                if (replica == 0 || replicas < 3) repeat(bad) { failed() }
            }
            AnswerSource(stratum, ReplicaId("target-$replica")) to counts
        }
        val old = SourceCounts().apply { repeat(oldGood) { succeeded(20.milliseconds) } }
        return ofReplica + (AnswerSource(stratum, null) to old)
    }

    /** Guards against an order that is never decided, or that a service without the target is moved by. */
    @Test
    fun eachOrderIsDecidedByItsLimit() {
        val someOld = answers(good = 0, bad = 0, replicas = 0, oldGood = 40)
        val cases = listOf(
            Triple("the target is not there", report() to ready.copy(targetSlots = 0), false),
            Triple("too few replicas of the target", report() to ready.copy(oldSlots = 64), false),
            Triple(
                "no answer came from the target",
                report(sent = 9, requests = 90, answers = someOld) to ready,
                false
            ),
            Triple("no requests", report() to ready, true),
            Triple("few requests", report(sent = 3, requests = 6, answers = answers(3, 0, 1, 3)) to ready, true),
            Triple("one replica of several fails", report(answers = answers(9, 9, 4, 90)) to ready, true),
            Triple("the only replica fails", report(answers = answers(9, 9, 1, 90)) to ready, false),
        )
        cases.forEach { (name, given, isGood) ->
            val (report, situation) = given
            val rollout = rollout()
            rollout.reported(vm, report, start)
            rollout.step(start + 12.seconds, situation)
            if (isGood) {
                assertEquals(VersionPhase.Move, rollout.phase, name)
            } else {
                assertIs<VersionPhase.RolledBack>(rollout.phase, name)
            }
        }
    }

    /** Guards against an order-giver that grants again what the one before has granted. */
    @Test
    fun whatFormerOrderGiversGrantedCountsAsSpent() {
        val cases = listOf(
            Triple("the store's ceiling", progress(40, requests = 100), report(requests = 100)) to 20L,
            Triple("a gateway knows of a higher one", progress(10), report(100).copy(token = 1, ceiling = 55)) to 5L,
            Triple("all is spent", progress(60), report(requests = 100)) to 0L,
        )
        cases.forEach { (given, left) ->
            val (name, progress, report) = given
            val rollout = rollout(progress)
            rollout.reported(vm, report, start)
            repeat(200) {
                val now = start + (1500 + 100 * it).milliseconds
                rollout.reported(vm, report.copy(number = 2L + it, token = 2, ceiling = 0), now)
                rollout.step(now, ready.copy(targetSlots = 1, oldSlots = 100))
                rollout.written(rollout.progress(now))
            }
            assertTrue(rollout.spent <= rollout.allowed, name)
            assertTrue(rollout.allowed - rollout.spent <= left, "$name: ${rollout.spent} of ${rollout.allowed}")
        }
    }

    /** Guards against grants that the store does not know of, which the next order-giver would grant once more. */
    @Test
    fun nothingIsGrantedBeyondWhatTheStoreKeeps() {
        val rollout = VersionRollout(order, bounds, token = 1, progress = null, start)
        repeat(20) {
            val now = start + (100 * it).milliseconds
            rollout.reported(vm, report(50L * it).copy(number = 1L + it), now)
            rollout.step(now, ready)
            assertEquals(emptyMap(), rollout.grants(now).getValue(vm).granted)
        }
        val now = start + 2.seconds
        rollout.reported(vm, report(1_000).copy(number = 99), now)
        rollout.written(rollout.progress(now))
        rollout.step(now, ready)
        val granted = rollout.grants(now).getValue(vm)
        assertTrue(granted.granted.values.sum() in 1..granted.ceiling, "$granted")
    }

    /** Guards against a decision that is made anew by the next order-giver, and a move that others do not know of. */
    @Test
    fun decisionsStayAndTheMoveIsToldOnceItIsWritten() {
        val rolledBack = rollout(progress(9, VersionPhase.RolledBack("bad")))
        rolledBack.step(start + 30.seconds, ready)
        assertEquals(VersionPhase.RolledBack("bad"), rolledBack.toldPhase)
        val told = rollout().apply { reported(vm, report().copy(phase = VersionPhase.RolledBack("bad")), start) }
        assertEquals(VersionPhase.RolledBack("bad"), told.phase)
        val moving = rollout()
        moving.reported(vm, report(), start)
        moving.step(start + 10.seconds, ready)
        assertEquals(VersionPhase.Move to VersionPhase.Trial, moving.phase to moving.toldPhase)
        moving.written(moving.progress(start + 10.seconds))
        assertEquals(VersionPhase.Move, moving.toldPhase)
        moving.reported(vm, report(500).copy(number = 5, order = order.copy(createdAt = 8)), start)
        assertEquals(50, moving.allowed, "a report about another order does not count")
    }

    @Test
    fun aTrialUsesAsManyReplicasAsItsShareNeeds() {
        val targets = List(62) { ReplicaId("replica-${100 + it}") }
        assertEquals(targets.take(7).toSet(), trialReplicas(targets.shuffled(), 0.1))
        assertEquals(targets.take(3).toSet(), trialReplicas(targets.take(10), 0.1))
        assertEquals(targets.take(2).toSet(), trialReplicas(targets.take(2), 0.1))
    }
}
