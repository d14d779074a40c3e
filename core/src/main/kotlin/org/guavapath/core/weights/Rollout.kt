package org.guavapath.core.weights

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.time.MonotonicTime
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * State of a replica that the rollout depends on.
 *
 * @property id its identity
 * @property weights weights that it has loaded
 * @property load number of queued and running requests
 */
public data class RolloutReplica(public val id: ReplicaId, public val weights: WeightsNumber, public val load: Int)

/**
 * An order for one replica to load new weights.
 *
 * @property replica the replica
 * @property model the model
 * @property target the weights to load
 */
public data class WeightsOrder(
    public val replica: ReplicaId,
    public val model: ModelName,
    public val target: WeightsNumber,
)

/**
 * Decides which replicas load new weights next.
 *
 * Loading is expensive and clears the cache, so the rollout first waits briefly for an even newer target. It then
 * updates a few replicas at a time while the others serve the traffic: those with the oldest weights first, and of
 * those the least loaded.
 *
 * @param startDelay how long after the newest target was set the first replica is ordered
 */
public class Rollout(private val startDelay: Duration = START_DELAY) {
    private class Attempt(val order: WeightsOrder, val startedAt: MonotonicTime)

    private val active = HashMap<ReplicaId, Attempt>()
    private val retryAt = HashMap<ReplicaId, MonotonicTime>()

    /** Replicas whose order has not ended yet. */
    public val orderedReplicas: Set<ReplicaId> get() = active.keys

    /** Returns the orders to send now for [model] and records them as in progress. */
    public fun next(
        model: ModelName,
        targets: TargetWeights,
        replicas: List<RolloutReplica>,
        now: MonotonicTime,
    ): List<WeightsOrder> {
        val target = targets.newest(model) ?: return emptyList()
        removeStale(replicas, now)
        val outdated = replicas.filter { it.weights < target }
        val isUrgent = outdated.any { isUrgent(targets.staleness(model, it.weights, now)) }
        val isDue = isUrgent || targets.sinceNewest(model, now) >= startDelay
        val free = if (isDue) maxConcurrent(replicas.size) - active.size else 0
        return outdated
            .filter { it.id !in active && (retryAt[it.id] ?: MonotonicTime.ZERO) <= now }
            .sortedWith(compareBy<RolloutReplica> { it.weights }.thenBy { it.load })
            .take(maxOf(0, free))
            .map { replica -> WeightsOrder(replica.id, model, target).also { active[replica.id] = Attempt(it, now) } }
    }

    /** Records that the order for [replica] ended; if it failed, it is retried after a delay. */
    public fun ended(replica: ReplicaId, isDone: Boolean, now: MonotonicTime) {
        active.remove(replica)
        if (isDone) retryAt.remove(replica) else retryAt[replica] = now + RETRY_DELAY
    }

    private fun isUrgent(staleness: Staleness): Boolean = when (staleness) {
        Staleness.Current -> false
        is Staleness.Replaced -> staleness.age > URGENT_STALENESS
        is Staleness.Unknown -> true
    }

    private fun removeStale(replicas: List<RolloutReplica>, now: MonotonicTime) {
        val present = replicas.map { it.id }.toSet()
        active.values.removeIf { it.order.replica !in present || now - it.startedAt > ORDER_TIMEOUT }
        retryAt.keys.retainAll(present)
    }

    /** Bounds concurrent loads: the other replicas serve the traffic, and concurrent loads slow each other down. */
    private fun maxConcurrent(replicas: Int): Int = ceil(replicas * MAX_CONCURRENT_SHARE).toInt()

    private companion object {
        /**
         * Kept short: requests may start on the previous weights for only 1.5 s without loss, and loading 8 replicas
         * takes about 2 s.
         */
        val START_DELAY = 400.milliseconds

        /** Less than half of the 6 s after which the previous weights must not be used. */
        val URGENT_STALENESS = 2500.milliseconds
        val RETRY_DELAY = 100.milliseconds

        /** An order counts as failed by then: the longest stream and the load together take less than two seconds. */
        val ORDER_TIMEOUT = 4.seconds
        const val MAX_CONCURRENT_SHARE = 0.28
    }
}
