package org.guavapath.core.topology

import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks which VMs are unreachable.
 *
 * @param timeout how long a link may be missing before its VM counts as unreachable
 */
public class Reachability(private val timeout: Duration = UNREACHABLE_TIMEOUT) {
    private val unlinkedSince = HashMap<VmId, MonotonicTime>()

    /** Records which of the [wanted] VMs are [linked] at [now]. */
    public fun update(wanted: Set<VmId>, linked: Set<VmId>, now: MonotonicTime) {
        unlinkedSince.keys.removeAll(linked)
        unlinkedSince.keys.retainAll(wanted)
        (wanted - linked).forEach { unlinkedSince.putIfAbsent(it, now) }
    }

    /** Returns the wanted VMs whose links have been missing for longer than the timeout. */
    public fun unreachable(now: MonotonicTime): Set<VmId> = unlinkedSince.filterValues { now - it > timeout }.keys

    private companion object {
        /** Longer than the restart of a killed gateway, which takes about a second. */
        val UNREACHABLE_TIMEOUT = 2.seconds
    }
}
