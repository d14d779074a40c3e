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
 * A replica as the rollout sees it.
 *
 * @property id its identity
 * @property weights weights in its memory
 * @property load requests that wait or run there
 */
public data class RolloutReplica(public val id: ReplicaId, public val weights: WeightsNumber, public val load: Int)

/**
 * An order to bring one replica to new weights.
 *
 * @property replica the replica
 * @property model the model
 * @property target the weights that it is to have
 */
public data class WeightsOrder(
    public val replica: ReplicaId,
    public val model: ModelName,
    public val target: WeightsNumber,
)

/**
 * Decides which replicas load new weights next.
 *
 * Loads are expensive and empty the cache, so that the rollout waits a little for a still newer naming;
 * then it goes through the replicas a few at a time, those with the least work first, so that the others
 * carry the traffic meanwhile.
 *
 * @param startDelay how long after the newest naming the first replica is ordered
 */
public class Rollout(private val startDelay: Duration = START_DELAY) {
    private class Attempt(val order: WeightsOrder, val startedAt: MonotonicTime)

    private val underway = HashMap<ReplicaId, Attempt>()
    private val retryAt = HashMap<ReplicaId, MonotonicTime>()

    /** Replicas with an order that has not ended. */
    public val busy: Set<ReplicaId> get() = underway.keys

    /** Returns the orders to give now for [model], and counts them as under way. */
    public fun next(
        model: ModelName,
        named: NamedWeights,
        replicas: List<RolloutReplica>,
        now: MonotonicTime,
    ): List<WeightsOrder> {
        val target = named.newest(model) ?: return emptyList()
        dropLost(replicas, now)
        val outdated = replicas.filter { it.weights < target }
        val isUrgent = outdated.any { named.outdatedFor(model, it.weights, now) > URGENT_AGE }
        val isDue = isUrgent || named.sinceNewest(model, now) >= startDelay
        val free = if (isDue) atOnce(replicas.size) - underway.size else 0
        return outdated
            .filter { it.id !in underway && (retryAt[it.id] ?: MonotonicTime.ZERO) <= now }
            .sortedWith(compareBy<RolloutReplica> { it.weights }.thenBy { it.load })
            .take(maxOf(0, free))
            .map { replica -> WeightsOrder(replica.id, model, target).also { underway[replica.id] = Attempt(it, now) } }
    }

    /** The order for [replica] ended; if it failed, the replica is tried again after a pause. */
    public fun ended(replica: ReplicaId, isDone: Boolean, now: MonotonicTime) {
        underway.remove(replica)
        if (isDone) retryAt.remove(replica) else retryAt[replica] = now + RETRY_PAUSE
    }

    private fun dropLost(replicas: List<RolloutReplica>, now: MonotonicTime) {
        val present = replicas.map { it.id }.toSet()
        underway.values.removeIf { it.order.replica !in present || now - it.startedAt > LONGEST_ORDER }
        retryAt.keys.retainAll(present)
    }

    /** The other replicas carry the traffic meanwhile, and many loads at once slow each other down. */
    private fun atOnce(replicas: Int): Int = ceil(replicas * SHARE_AT_ONCE).toInt()

    private companion object {
        /** Requests may begin on the former weights for 1.5 s at no loss; loading 8 replicas takes about 2 s. */
        val START_DELAY = 400.milliseconds

        /** Half of the six seconds after which the former weights must not be used any more. */
        val URGENT_AGE = 2500.milliseconds
        val RETRY_PAUSE = 100.milliseconds

        /** A run of the longest stream and the load itself take less than two seconds. */
        val LONGEST_ORDER = 4.seconds
        const val SHARE_AT_ONCE = 0.28
    }
}
