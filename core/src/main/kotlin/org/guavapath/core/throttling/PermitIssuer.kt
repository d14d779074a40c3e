package org.guavapath.core.throttling

import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * Hands out the permits of the replicas whose arbiter a VM is.
 *
 * @param rates the rates that replicas have named
 * @param arbitration decides which share of a rate is handed out here
 */
public class PermitIssuer(private val rates: NamedRates, private val arbitration: RateArbitration) {
    private val buckets = HashMap<ReplicaIncarnation, PermitBucket>()

    /**
     * Decides on one request to [replica]; without a named rate it is granted.
     *
     * @param isMandatory whether the request is sent in any case, and only counted
     * @param fleetSize number of VMs in the fleet, null while it is not known and no permit can be handed out
     */
    public fun decide(
        replica: ReplicaIncarnation,
        isMandatory: Boolean,
        fleetSize: Int?,
        now: MonotonicTime,
    ): PermitDecision {
        val rate = rates.rate(replica) ?: return PermitDecision.Granted
        val share = if (fleetSize == null) 0.0 else arbitration.share(replica.id, fleetSize, now)
        val bucket = if (share > 0) buckets.getOrPut(replica) { PermitBucket(now) } else null
        if (bucket == null) buckets.remove(replica)
        bucket?.setRate(RequestRate(maxOf(rate.perSecond, SMALLEST_RATE) * share), now)
        return if (isMandatory) {
            bucket?.overdraw(now)
            PermitDecision.Granted
        } else {
            bucket?.take(now) ?: PermitDecision.Denied(NOT_ARBITER_DELAY)
        }
    }

    /** Forgets the replicas that have no rate any more, or are not among those [listed]. */
    public fun expire(listed: Set<ReplicaIncarnation>) {
        buckets.keys.removeIf { it !in listed || rates.rate(it) == null }
    }

    private companion object {
        /** One request in ten seconds finds out whether a replica that takes none has changed its rate. */
        const val SMALLEST_RATE = 0.1

        /** Other VMs choose another arbiter, and this one learns of it, within this time. */
        val NOT_ARBITER_DELAY = 100.milliseconds
    }
}
