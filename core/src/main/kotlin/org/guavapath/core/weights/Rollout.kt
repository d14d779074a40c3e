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
 * @property weights weights that it has loaded, null if they are not known
 * @property load number of queued and running requests
 */
public data class RolloutReplica(public val id: ReplicaId, public val weights: WeightsNumber?, public val load: Int)

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
 * those the least loaded. If loads take so long, or began so late, that not all replicas would be ordered while the
 * weights before may still be used, more load at a time; replicas whose weights may not be used any more all do.
 *
 * @param usableFor how long weights may be used after newer ones were named
 * @param startDelay how long after the newest target was set the first replica is ordered
 */
public class Rollout(
    private val usableFor: Duration = ReplacedWeightsPolicy().usableFor,
    private val startDelay: Duration = START_DELAY,
) {
    private class Attempt(val order: WeightsOrder, val startedAt: MonotonicTime)

    private val active = HashMap<ReplicaId, Attempt>()
    private val retryAt = HashMap<ReplicaId, MonotonicTime>()
    private var usualLoadTime = INITIAL_LOAD_TIME

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
        val outdated = replicas.filter { it.weights == null || it.weights < target }
        if (outdated.isEmpty()) {
            usualLoadTime = INITIAL_LOAD_TIME
            return emptyList()
        }
        val sinceNewest = targets.sinceNewest(model, now)
        val age = outdated.maxOf { replica ->
            replica.weights?.let { age(targets.staleness(model, it, now)) } ?: sinceNewest
        }
        val isDue = age > usableFor / 2 || sinceNewest >= startDelay
        val occupied = active.values.count { now - it.startedAt < MAX_OCCUPIED_TIME }
        val free = if (isDue) concurrency(replicas.size, outdated.size, usableFor - age, now) - occupied else 0
        return outdated
            .filter { it.id !in active && (retryAt[it.id] ?: MonotonicTime.ZERO) <= now }
            .sortedWith(compareBy<RolloutReplica> { it.weights }.thenBy { it.load })
            .take(maxOf(0, free))
            .map { replica -> WeightsOrder(replica.id, model, target).also { active[replica.id] = Attempt(it, now) } }
    }

    /** Records that the order for [replica] ended; if it failed, it is retried after a delay. */
    public fun ended(replica: ReplicaId, isDone: Boolean, now: MonotonicTime) {
        val attempt = active.remove(replica)
        if (isDone) retryAt.remove(replica) else retryAt[replica] = now + RETRY_DELAY
        if (isDone && attempt != null) usualLoadTime = (usualLoadTime + (now - attempt.startedAt)) / 2
    }

    private fun age(staleness: Staleness): Duration = when (staleness) {
        Staleness.Current -> Duration.ZERO
        is Staleness.Replaced -> staleness.age
        is Staleness.Unknown -> maxOf(staleness.atLeast, usableFor * UNKNOWN_AGE_SHARE)
    }

    private fun removeStale(replicas: List<RolloutReplica>, now: MonotonicTime) {
        val present = replicas.map { it.id }.toSet()
        active.values.removeIf { it.order.replica !in present || now - it.startedAt > ORDER_TIMEOUT }
        retryAt.keys.retainAll(present)
    }

    /**
     * Bounds concurrent loads: the other replicas serve the traffic, and concurrent loads slow each other down.
     *
     * @param timeLeft time in which the weights of the [outdated] replicas may still be used
     */
    private fun concurrency(replicas: Int, outdated: Int, timeLeft: Duration, now: MonotonicTime): Int {
        if (timeLeft <= Duration.ZERO) return replicas
        val longest = active.values.maxOfOrNull { now - it.startedAt } ?: Duration.ZERO
        val rounds = 1 + (timeLeft / maxOf(usualLoadTime, longest)).toInt()
        val needed = ceil(outdated.toDouble() / rounds).toInt()
        return maxOf(
            ceil(replicas * MAX_CONCURRENT_SHARE).toInt(),
            minOf(needed, ceil(replicas * MAX_LATE_CONCURRENT_SHARE).toInt()),
        )
    }

    private companion object {
        /**
         * Kept short: requests may start on the previous weights for only 1.5 s without loss, and loading 8 replicas
         * takes about 2 s.
         */
        val START_DELAY = 400.milliseconds
        val RETRY_DELAY = 100.milliseconds

        /** A load takes a fraction of a second, after the running requests have ended. */
        val INITIAL_LOAD_TIME = 700.milliseconds

        /** A load that waits longer for running requests does not hold up other replicas. */
        val MAX_OCCUPIED_TIME = 2.seconds

        /** Longer than the order of a load is followed. */
        val ORDER_TIMEOUT = 15.seconds
        const val MAX_CONCURRENT_SHARE = 0.28

        /** The other half serves until the weights before may not be used any more. */
        const val MAX_LATE_CONCURRENT_SHARE = 0.5
        const val UNKNOWN_AGE_SHARE = 0.6
    }
}
