package org.guavapath.core.placement

import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** From where a VM knows which weights a replica has, if not from the replica's list entry. */
public sealed class WeightsSource {
    /** The replica itself: its report, or its response to a request. */
    public data object Replica : WeightsSource()

    /**
     * The VM that ordered the replica to load them.
     *
     * @property vm that VM
     */
    public data class OrderedBy(public val vm: VmId) : WeightsSource()
}

/**
 * Weights that one incarnation of a replica has, as far as this VM knows.
 *
 * @property number the weights
 * @property source from where they are known
 * @property at when they became known
 */
public data class KnownWeights(
    public val number: WeightsNumber,
    public val source: WeightsSource,
    public val at: MonotonicTime,
)

/**
 * What is known of the weights of one incarnation of a replica.
 *
 * The replica's list entry lags behind by up to a heartbeat, so that what is known from elsewhere counts until the
 * entry changes. It is not taken for granted, however: a replica that restarts, or carries out an order late, may have
 * older weights again. What the replica itself states counts whether it is newer or older; what the list entry does
 * not confirm for [CONFIRMATION_TIME] has to be asked for again.
 */
public class ReplicaWeights(private var listed: Map<ModelName, WeightsNumber>) {
    private val known = HashMap<ModelName, KnownWeights>()

    /** Replaces the list entry's weights with [newer]; those that it changes replace what is known from elsewhere. */
    public fun update(newer: Map<ModelName, WeightsNumber>) {
        newer.forEach { (model, number) -> if (listed[model] != number) known.remove(model) }
        listed = newer
    }

    /** Returns what is known of [model] from elsewhere than the list entry, null if nothing is. */
    public fun known(model: ModelName): KnownWeights? = known[model]

    /** Returns the weights of [model], null if they are not known. */
    public fun number(model: ModelName): WeightsNumber? = known[model]?.number ?: listed[model]

    /** Returns the weights of [model] that need not be asked for at [now], null if they are not known. */
    public fun confirmed(model: ModelName, now: MonotonicTime): WeightsNumber? {
        val entry = listed[model]
        val latest = known[model] ?: return entry
        val isConfirmed = entry != null && latest.number <= entry
        return if (isConfirmed || now - latest.at < CONFIRMATION_TIME) latest.number else entry
    }

    /**
     * Records that the replica has weights [number] of [model]; returns whether other ones were known.
     *
     * Older ones count only if the replica itself states them, unless newer ones have just become known: a response
     * that began before a load may arrive after the message about its end. They never count against the list entry,
     * which the replica writes again if it is wrong.
     */
    public fun record(model: ModelName, number: WeightsNumber, source: WeightsSource, now: MonotonicTime): Boolean {
        val before = number(model)
        val isOlder = before != null && number < before
        val counts = !isOlder || source == WeightsSource.Replica && isOldKnowledge(model, now)
        if (counts && (number != before || known[model] != null)) known[model] = KnownWeights(number, source, now)
        val entry = listed[model]
        if (entry != null && number <= entry && counts) known.remove(model)
        return counts && number != before
    }

    private fun isOldKnowledge(model: ModelName, now: MonotonicTime) =
        known[model]?.let { now - it.at >= RESPONSE_DELAY } ?: false

    /** Holds the times that bound how often replicas are asked. */
    public companion object {
        /** Longer than two heartbeats of a replica, and the delay until a change of its list entry is seen. */
        public val CONFIRMATION_TIME: Duration = 3.seconds

        private val RESPONSE_DELAY = 500.milliseconds
    }
}
