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
 * @property isLoading whether it is known to load weights, ordered by any VM
 */
public data class RolloutReplica(
    public val id: ReplicaId,
    public val weights: WeightsNumber?,
    public val load: Int,
    public val isLoading: Boolean = false,
)

/** When a replica loads weights that it is ordered to load. */
public sealed class LoadTime {
    /** Once the requests that run there have ended, which may take as long as their callers wait. */
    public data object AfterRequests : LoadTime()

    /** At once; the requests that run there go on with the new weights. */
    public data object AtOnce : LoadTime()
}

/**
 * An order for one replica to load new weights.
 *
 * @property replica the replica
 * @property model the model
 * @property target the weights to load
 * @property time when to load them
 */
public data class WeightsOrder(
    public val replica: ReplicaId,
    public val model: ModelName,
    public val target: WeightsNumber,
    public val time: LoadTime = LoadTime.AfterRequests,
)

/**
 * Decides which replicas load new weights next.
 *
 * Loading is expensive and clears the cache, so the rollout first waits briefly for an even newer target. It then
 * updates a few replicas at a time while the others serve the traffic: those with the oldest weights first, of those
 * the ones whose orders do not fail, and of those the least loaded. If loads take so long, or began so late, that not
 * all replicas would be ordered while the weights before may still be used, more load at a time. Replicas whose weights
 * may not be used any more serve no requests, so that they all load at once. A replica that might not be done in time
 * if it waited for its requests does not wait for them, nor does one that is ordered again: orders may be carried out
 * seconds late.
 *
 * @param usableFor how long weights may be used after newer ones were named
 * @param startDelay how long after the newest target was set the first replica is ordered
 */
public class Rollout(
    private val usableFor: Duration = ReplacedWeightsPolicy().usableFor,
    private val startDelay: Duration = START_DELAY,
) {
    private class Attempt(val order: WeightsOrder, val startedAt: MonotonicTime)

    /** Orders in a row that failed. */
    private class Failures(val order: WeightsOrder?, val wasSent: Boolean, val count: Int, val retryAt: MonotonicTime)

    private val active = HashMap<ReplicaId, Attempt>()
    private val failures = HashMap<ReplicaId, Failures>()
    private val usualLoadTimes = HashMap<ModelName, Duration>()

    /** Replicas whose order has not ended yet. */
    public val orderedReplicas: Set<ReplicaId> get() = active.keys

    /** Returns the orders to send now for [model] and records them as in progress. */
    public fun next(
        model: ModelName,
        targets: TargetWeights,
        replicas: List<RolloutReplica>,
        now: MonotonicTime,
    ): List<WeightsOrder> {
        val target = targets.newest(model)
        removeStale(model, replicas, now)
        val outdated = replicas.filter { target != null && (it.weights == null || it.weights < target) }
        if (target == null || outdated.isEmpty()) {
            usualLoadTimes.remove(model)
            return emptyList()
        }
        val ages = outdated.associate { it.id to age(model, targets, it, now) }
        val (unusable, usable) = outdated.filter { isFree(it, now) }.partition { ages.getValue(it.id) >= usableFor }
        val stillUsable = ages.filterValues { it < usableFor }
        val age = stillUsable.values.maxOrNull() ?: Duration.ZERO
        val isDue = age > usableFor / 2 || targets.sinceNewest(model, now) >= startDelay
        val loading = active.keys + replicas.filter { it.isLoading }.map { it.id } - (ages.keys - stillUsable.keys)
        val expected = maxOf(usualLoadTime(model), longestLoad(model, now))
        val most = if (isDue) concurrency(replicas.size, stillUsable.size, (usableFor - age) / expected) else 0
        val next = usable.sortedWith(compareBy({ it.weights }, { failureRank(it) }, { it.load }))
            .take(maxOf(0, most - loading.size))
        return (unusable + next).map { replica ->
            val isLate = ages.getValue(replica.id) + expected > usableFor
            val isRepeated = failures[replica.id].let { it != null && it.wasSent && it.order?.target == target }
            val time = if (isLate || isRepeated) LoadTime.AtOnce else LoadTime.AfterRequests
            WeightsOrder(replica.id, model, target, time).also { active[replica.id] = Attempt(it, now) }
        }
    }

    private fun usualLoadTime(model: ModelName) = usualLoadTimes[model] ?: INITIAL_LOAD_TIME

    private fun longestLoad(model: ModelName, now: MonotonicTime): Duration =
        active.values.filter { it.order.model == model }.maxOfOrNull { now - it.startedAt } ?: Duration.ZERO

    private fun failureRank(replica: RolloutReplica): Int = (failures[replica.id]?.count ?: 0) / RETRIES_AT_FIRST

    private fun isFree(replica: RolloutReplica, now: MonotonicTime): Boolean =
        replica.id !in active && (failures[replica.id]?.retryAt ?: MonotonicTime.ZERO) <= now

    private fun age(model: ModelName, targets: TargetWeights, replica: RolloutReplica, now: MonotonicTime): Duration {
        val weights = replica.weights ?: return targets.sinceNewest(model, now)
        return when (val staleness = targets.staleness(model, weights, now)) {
            Staleness.Current -> Duration.ZERO
            is Staleness.Replaced -> staleness.age
            is Staleness.Unknown -> staleness.atLeast + usableFor * UNKNOWN_AGE_SHARE
        }
    }

    /**
     * Records that the order for [replica] ended; if it failed, it is retried after a delay.
     *
     * @param wasSent whether the replica may have received it
     */
    public fun ended(replica: ReplicaId, isDone: Boolean, now: MonotonicTime, wasSent: Boolean = true) {
        val attempt = active.remove(replica)
        if (isDone) {
            failures.remove(replica)
        } else {
            val before = failures[replica]
            val wasSentBefore = before != null && before.wasSent && before.order?.target == attempt?.order?.target
            failures[replica] =
                Failures(attempt?.order, wasSent || wasSentBefore, (before?.count ?: 0) + 1, now + RETRY_DELAY)
        }
        if (isDone && attempt != null) {
            val model = attempt.order.model
            usualLoadTimes[model] = (usualLoadTime(model) + (now - attempt.startedAt)) / 2
        }
    }

    /** Records that the order for [replica] was not sent, as it [hasWeights] already or the lease cannot be used. */
    public fun notSent(replica: ReplicaId, hasWeights: Boolean) {
        active.remove(replica)
        if (hasWeights) failures.remove(replica)
    }

    private fun removeStale(model: ModelName, replicas: List<RolloutReplica>, now: MonotonicTime) {
        val present = replicas.map { it.id }.toSet()
        active.values.removeIf {
            it.order.model == model && it.order.replica !in present || now - it.startedAt > ORDER_TIMEOUT
        }
        failures.entries.removeIf { (replica, failed) -> failed.order?.model == model && replica !in present }
    }

    /**
     * Bounds concurrent loads: the other replicas serve the traffic, and concurrent loads slow each other down.
     *
     * @param loads how many loads, one after the other, fit into the time in which the weights of the [outdated]
     *   replicas may still be used
     */
    private fun concurrency(replicas: Int, outdated: Int, loads: Double): Int {
        val rounds = 1 + loads.toInt()
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

        /** Longer than the order of a load is followed. */
        val ORDER_TIMEOUT = 15.seconds
        const val MAX_CONCURRENT_SHARE = 0.28

        /** The other half serves until the weights before may not be used any more. */
        const val MAX_LATE_CONCURRENT_SHARE = 0.5
        const val UNKNOWN_AGE_SHARE = 0.6

        /** A lost response is more likely than a replica that fails all orders. */
        const val RETRIES_AT_FIRST = 2
    }
}
