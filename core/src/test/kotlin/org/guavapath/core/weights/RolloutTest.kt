package org.guavapath.core.weights

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.time.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RolloutTest {
    private val model = ModelName("model")

    private fun replicas(vararg weights: Long) = weights.mapIndexed { index, number ->
        RolloutReplica(ReplicaId("r$index"), WeightsNumber(number), load = index)
    }

    private fun age(staleness: Staleness) = when (staleness) {
        Staleness.Current -> Duration.ZERO
        is Staleness.Replaced -> staleness.age
        is Staleness.Unknown -> error("$staleness")
    }

    @Test
    fun ordersGoToAFewOfTheLeastLoadedOutdatedReplicasAtATime() {
        val targets = TargetWeights().apply { setTarget(model, WeightsNumber(2), MonotonicTime.ZERO) }
        val rollout = Rollout()
        val now = MonotonicTime.ZERO + 1.seconds
        val fleet = replicas(1, 2, 1, 1, 1, 1, 1, 1)
        val first = rollout.next(model, targets, fleet, now).map { it.replica.text }
        assertEquals(listOf("r0", "r2", "r3"), first)
        assertEquals(emptyList(), rollout.next(model, targets, fleet, now))
        rollout.ended(ReplicaId("r2"), isDone = false, now)
        assertEquals(listOf("r4"), rollout.next(model, targets, fleet, now).map { it.replica.text })
        val later = now + 200.milliseconds
        rollout.ended(ReplicaId("r0"), isDone = true, later)
        val next = rollout.next(model, targets, replicas(2, 2, 1, 1, 1, 1, 1, 1), later)
        assertEquals(listOf("r2"), next.map { it.replica.text })
    }

    @Test
    fun theRolloutWaitsOnlyBrieflyForANewerTarget() {
        val targets = TargetWeights().apply { setTarget(model, WeightsNumber(2), MonotonicTime.ZERO) }
        assertEquals(emptyList(), Rollout().next(model, targets, replicas(1), MonotonicTime.ZERO + 100.milliseconds))
        targets.setTarget(model, WeightsNumber(3), MonotonicTime.ZERO + 3.seconds)
        val orders = Rollout().next(model, targets, replicas(1), MonotonicTime.ZERO + 3010.milliseconds)
        assertEquals(listOf(3L), orders.map { it.target.number })
    }

    /** Load pattern: a new target every 2.4 s while half of the orders get no response. */
    @Test
    fun allReplicasReachNewTargetsWithinTheBound() {
        val random = Random(7)
        val targets = TargetWeights()
        val rollout = Rollout()
        val weights = LongArray(8) { 1 }
        val orderEnds = HashMap<ReplicaId, Pair<MonotonicTime, Boolean>>()
        var latest = 1L
        var worst = Duration.ZERO
        for (step in 0..200) {
            val now = MonotonicTime.ZERO + 100.milliseconds * step
            if (step in 20..100 && (step - 20) % 24 == 0) targets.setTarget(model, WeightsNumber(++latest), now)
            orderEnds.entries.filter { it.value.first <= now }.forEach { (id, end) ->
                if (end.second) weights[id.text.drop(1).toInt()] = latest
                rollout.ended(id, end.second, now)
            }
            orderEnds.values.removeIf { it.first <= now }
            rollout.next(model, targets, replicas(*weights), now).forEach { order ->
                val isAnswered = random.nextBoolean()
                orderEnds[order.replica] = now + (if (isAnswered) 600 else 450).milliseconds to isAnswered
            }
            worst = maxOf(worst, weights.maxOf { age(targets.staleness(model, WeightsNumber(it), now)) })
        }
        assertTrue(worst < 6.seconds, "a replica was outdated for $worst")
        assertTrue(weights.all { it == latest }, weights.toList().toString())
    }
}
