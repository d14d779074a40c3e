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

    /** Guards against a replica that lags behind and makes all others load at once, so that none serves. */
    @Test
    fun replicasThatMayNotBeUsedDoNotCountAgainstTheOthers() {
        val cases = listOf(
            Triple("one is two targets behind", replicas(1, 2, 2, 2, 2, 2), listOf("r0", "r1", "r2")),
            Triple("all are two targets behind", replicas(1, 1, 1), listOf("r0", "r1", "r2")),
            Triple(
                "another VM has ordered two",
                replicas(2, 2, 2, 2, 2, 2).mapIndexed { index, it -> it.copy(isLoading = index > 3) },
                emptyList(),
            ),
        )
        cases.forEach { (name, fleet, expected) ->
            val targets = TargetWeights()
            targets.setTarget(model, WeightsNumber(2), MonotonicTime.ZERO)
            targets.setTarget(model, WeightsNumber(3), MonotonicTime.ZERO + 9.seconds)
            val orders = Rollout().next(model, targets, fleet, MonotonicTime.ZERO + 9500.milliseconds)
            assertEquals(expected, orders.map { it.replica.text }, name)
        }
    }

    /** Guards against replicas that get no order as their weights are not known. */
    @Test
    fun replicasOfUnknownWeightsAreOrderedFirst() {
        val targets = TargetWeights().apply { setTarget(model, WeightsNumber(2), MonotonicTime.ZERO) }
        val fleet = replicas(2, 1, 2) + RolloutReplica(ReplicaId("r9"), weights = null, load = 5)
        val orders = Rollout().next(model, targets, fleet, MonotonicTime.ZERO + 1.seconds)
        assertEquals(listOf("r9", "r1"), orders.map { it.replica.text })
    }

    /** Guards against orders that go to the same replicas again and again while others get none. */
    @Test
    fun replicasWhoseOrdersFailWaitForTheOthers() {
        val targets = TargetWeights().apply { setTarget(model, WeightsNumber(2), MonotonicTime.ZERO) }
        val rollout = Rollout()
        val ordered = ArrayList<String>()
        for (step in 0 until 8) {
            val now = MonotonicTime.ZERO + 1.seconds + 300.milliseconds * step
            val orders = rollout.next(model, targets, replicas(1, 1, 1, 1, 1, 1, 1, 1), now).map { it.replica }
            orders.forEach { rollout.ended(it, isDone = false, now + 200.milliseconds) }
            ordered += orders.map { it.text }
        }
        assertEquals(8, ordered.take(2 * 9).toSet().size, ordered.toString())
    }

    @Test
    fun theRolloutWaitsOnlyBrieflyForANewerTarget() {
        val targets = TargetWeights().apply { setTarget(model, WeightsNumber(2), MonotonicTime.ZERO) }
        assertEquals(emptyList(), Rollout().next(model, targets, replicas(1), MonotonicTime.ZERO + 100.milliseconds))
        targets.setTarget(model, WeightsNumber(3), MonotonicTime.ZERO + 3.seconds)
        val orders = Rollout().next(model, targets, replicas(1), MonotonicTime.ZERO + 3010.milliseconds)
        assertEquals(listOf(3L), orders.map { it.target.number })
    }

    /**
     * Orders of a rollout of [replicas] replicas, all on weights 1, if each load takes [loadTime].
     *
     * @property begun when the VM that orders the loads began, after the target was named
     * @property expected when the last replica must have been ordered
     */
    private class Pace(
        val replicas: Int,
        val loadTime: Duration,
        val begun: Duration,
        val expected: Duration,
        val isWitnessed: Boolean = true,
    )

    private val paces = listOf(6, 82, 1_400).flatMap { replicas ->
        listOf(
            Pace(replicas, 500.milliseconds, Duration.ZERO, 3.seconds),
            Pace(replicas, 1500.milliseconds, Duration.ZERO, 5.seconds),
            Pace(replicas, 2500.milliseconds, Duration.ZERO, 5100.milliseconds),
            Pace(replicas, 8.seconds, Duration.ZERO, 5100.milliseconds),
            Pace(replicas, 700.milliseconds, 4.seconds, 5100.milliseconds),
            Pace(replicas, 2500.milliseconds, 4.seconds, 5100.milliseconds),
            Pace(replicas, 700.milliseconds, 5.seconds, 5100.milliseconds),
            Pace(replicas, 700.milliseconds, 3.seconds, 5100.milliseconds, isWitnessed = false),
        )
    }

    /** Guards against replicas that are not ordered as long as the weights before may be used. */
    @Test
    fun allReplicasAreOrderedWhileTheWeightsBeforeMayBeUsed() = paces.forEach { pace ->
        val targets = TargetWeights()
        val seenAt = MonotonicTime.ZERO + if (pace.isWitnessed) Duration.ZERO else pace.begun
        targets.setTarget(model, TargetNaming(WeightsNumber(2), seenAt, seenAt.takeIf { pace.isWitnessed }))
        val rollout = Rollout()
        val weights = LongArray(pace.replicas) { 1 }
        val ends = HashMap<ReplicaId, MonotonicTime>()
        var lastOrder = Duration.ZERO
        var mostAtOnce = 0
        for (step in 0..100) {
            val now = MonotonicTime.ZERO + pace.begun + 100.milliseconds * step
            ends.filterValues { it <= now }.keys.forEach { id ->
                weights[id.text.drop(1).toInt()] = 2
                rollout.ended(id, isDone = true, now)
                ends.remove(id)
            }
            val orders = rollout.next(model, targets, replicas(*weights), now)
            orders.forEach { ends[it.replica] = now + pace.loadTime }
            if (orders.isNotEmpty()) lastOrder = now - MonotonicTime.ZERO
            if (now - MonotonicTime.ZERO < 4900.milliseconds) mostAtOnce = maxOf(mostAtOnce, ends.size)
        }
        val name = "${pace.replicas} replicas, loads of ${pace.loadTime}, begun after ${pace.begun}"
        assertEquals(pace.replicas, weights.count { it == 2L } + ends.size, name)
        assertTrue(lastOrder <= pace.expected, "$name: the last was ordered after $lastOrder")
        assertTrue(mostAtOnce <= (pace.replicas + 1) / 2, "$name: $mostAtOnce at once")
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
