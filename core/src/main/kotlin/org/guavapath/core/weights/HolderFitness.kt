package org.guavapath.core.weights

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Why the holder of the rollout lease should leave it to another VM. */
public sealed class Unfitness {
    /**
     * A listed replica does not respond to this VM, or its orders have no effect; another VM's may have.
     *
     * @property replica the replica
     */
    public data class Unreachable(public val replica: ReplicaId) : Unfitness()

    /**
     * This VM is too slow.
     *
     * @property lag how much later than due it does its work
     */
    public data class Slow(public val lag: Duration) : Unfitness()
}

/** Decides whether the holder of the rollout lease should leave it to another VM. */
public class HolderFitness {
    private val failingSince = HashMap<ReplicaId, MonotonicTime>()
    private var late = Duration.ZERO
    private var lag = Duration.ZERO
    private var complainedAt: MonotonicTime? = null
    private var patience = PATIENCE

    /** Forgets all replicas but [present]. */
    public fun retain(present: Set<ReplicaId>) {
        failingSince.keys.retainAll(present)
    }

    /** Records that [replica] has the weights that it was ordered to load. */
    public fun succeeded(replica: ReplicaId) {
        failingSince.remove(replica)
        patience = PATIENCE
    }

    /** Records that [replica] did not respond, or that an order to it had no effect. */
    public fun failed(replica: ReplicaId, now: MonotonicTime) {
        failingSince.putIfAbsent(replica, now)
    }

    /** Records that this VM did periodic work [late] after it was due; a single pause does not count. */
    public fun ticked(late: Duration) {
        lag = minOf(this.late, late)
        this.late = late
    }

    /** Forgets the failures, as this VM does not hold the lease. */
    public fun notHolding() {
        failingSince.clear()
    }

    /** Records that a holder that did not get its orders through has invited this VM: others may not either. */
    public fun invited(now: MonotonicTime) {
        patience = INVITED_PATIENCE
        complainedAt = now
    }

    /**
     * Returns why another VM should hold the lease, null if none should.
     *
     * After each reason the next one takes twice as long, so that the lease does not go round while orders of all VMs
     * have no effect.
     */
    public fun complaint(now: MonotonicTime): Unfitness? {
        val sinceLast = complainedAt?.let { now - it } ?: Duration.INFINITE
        val failing = failingSince.entries.firstOrNull { now - it.value > patience }?.key
        val complaint = when {
            lag > MAX_LAG && sinceLast >= PATIENCE -> Unfitness.Slow(lag)
            failing != null && sinceLast >= patience -> Unfitness.Unreachable(failing)
            else -> null
        }
        if (complaint != null) {
            if (complainedAt != null) patience = minOf(patience * 2, MAX_PATIENCE)
            complainedAt = now
        }
        return complaint
    }

    private companion object {
        /** Replicas that crashed are gone from the list a little later. */
        val PATIENCE = 3.seconds
        val INVITED_PATIENCE = 12.seconds
        val MAX_PATIENCE = 24.seconds

        /** An order takes three calls one after the other, each of which is late by as much. */
        val MAX_LAG = 200.milliseconds
    }
}
