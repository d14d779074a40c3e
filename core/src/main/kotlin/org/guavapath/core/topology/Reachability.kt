package org.guavapath.core.topology

import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Which VMs could not be reached for a while.
 *
 * @param patience how long a link may be missing before its VM counts as unreachable
 */
public class Reachability(private val patience: Duration = PATIENCE) {
    private val missingSince = HashMap<VmId, MonotonicTime>()

    /** Takes over which of the [wanted] VMs are linked at [now]. */
    public fun update(wanted: Set<VmId>, linked: Set<VmId>, now: MonotonicTime) {
        missingSince.keys.removeAll(linked)
        missingSince.keys.retainAll(wanted)
        (wanted - linked).forEach { missingSince.putIfAbsent(it, now) }
    }

    /** Returns the VMs that were wanted and missing for longer than the patience. */
    public fun unreachable(now: MonotonicTime): Set<VmId> = missingSince.filterValues { now - it > patience }.keys

    private companion object {
        /** A gateway starts again within about a second after it was killed. */
        val PATIENCE = 2.seconds
    }
}
