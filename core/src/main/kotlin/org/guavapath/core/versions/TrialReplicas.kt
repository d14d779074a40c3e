package org.guavapath.core.versions

import org.guavapath.core.fleet.ReplicaId
import kotlin.math.ceil

/** Fewer replicas would not tell a version that is bad from a replica that is. */
private const val MIN_TRIAL_REPLICAS = 3

/**
 * Returns which of the [targets] get the requests of a trial with [share] of the service's requests: so many that each
 * has about the load that it will have with all requests. All gateways choose the same.
 */
public fun trialReplicas(targets: Collection<ReplicaId>, share: Double): Set<ReplicaId> =
    targets.sorted().take(maxOf(MIN_TRIAL_REPLICAS, ceil(targets.size * share).toInt())).toSet()
