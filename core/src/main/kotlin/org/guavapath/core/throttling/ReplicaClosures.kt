package org.guavapath.core.throttling

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The replicas that a VM does not ask permits for, because one was denied lately. */
public class ReplicaClosures {
    private val closedUntil = HashMap<ReplicaId, MonotonicTime>()

    /** Closes [replica] after a permit was denied; requests for it are refused without a question until then. */
    public fun close(replica: ReplicaId, denied: PermitDecision.Denied, now: MonotonicTime) {
        closedUntil[replica] = now + denied.retryAfter.coerceIn(SHORTEST, LONGEST)
    }

    /** Returns the replicas that are closed at [now]. */
    public fun closed(now: MonotonicTime): Set<ReplicaId> {
        if (closedUntil.isEmpty()) return emptySet()
        closedUntil.values.removeIf { it <= now }
        return closedUntil.keys.toSet()
    }

    private companion object {
        /** Bounds the questions for one request. */
        val SHORTEST: Duration = 10.milliseconds

        /** Shares of a rate change within this time when VMs come and go. */
        val LONGEST: Duration = 500.milliseconds
    }
}
