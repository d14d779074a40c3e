package org.guavapath.core.weights

import org.guavapath.core.identity.ModelName
import org.guavapath.core.placement.ReplicaRecord
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration

/**
 * How far the replicas are from the target weights, as far as one VM knows.
 *
 * @property behind number of replicas that do not have the target weights of each of their models
 * @property longest how long the one that is furthest behind has been so, zero if there is none
 */
public data class RolloutProgress(public val behind: Int, public val longest: Duration) {
    /** Derives the progress from the state of the fleet. */
    public companion object {
        /** Returns the progress of [replicas] towards [targets] at [now]; replicas that drain do not count. */
        public fun of(
            targets: TargetWeights,
            replicas: Collection<ReplicaRecord>,
            now: MonotonicTime,
        ): RolloutProgress {
            val models = targets.newestOfAll().keys
            val ages = replicas.filter { !it.isWithdrawn }
                .mapNotNull { replica -> models.mapNotNull { timeBehind(targets, replica, it, now) }.maxOrNull() }
            return RolloutProgress(ages.size, ages.maxOrNull() ?: Duration.ZERO)
        }

        private fun timeBehind(
            targets: TargetWeights,
            replica: ReplicaRecord,
            model: ModelName,
            now: MonotonicTime,
        ): Duration? = replica.weights(model)?.let {
            when (val staleness = targets.staleness(model, it, now)) {
                Staleness.Current -> null
                is Staleness.Replaced -> staleness.age
                is Staleness.Unknown -> staleness.atLeast
            }
        }
    }
}
