package org.guavapath.core.availability

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * The replicas that have said in a response that they leave, as known to one VM.
 *
 * A replica that has said so leaves until it starts again: neither its list entry, which may be older or come from a
 * store that returned from an older copy, nor a report lifts it. Until it has ended, it may be missing from the list
 * and return to it.
 */
public class LeavingReplicas {
    private class Notice(val replica: ReplicaIncarnation, var lastSeen: MonotonicTime)

    private val notices = HashMap<ReplicaId, Notice>()

    /** The newest incarnations that leave, of each replica. */
    public val incarnations: List<ReplicaIncarnation> get() = notices.values.map { it.replica }

    /** Returns whether [replica] leaves. */
    public operator fun contains(replica: ReplicaIncarnation): Boolean = notices[replica.id]?.replica == replica

    /** Records at [now] that [replica] leaves; returns whether that is news. */
    public fun record(replica: ReplicaIncarnation, now: MonotonicTime): Boolean {
        val known = notices[replica.id]
        val isNews = known == null || known.replica.startedAt < replica.startedAt
        if (isNews) notices[replica.id] = Notice(replica, now)
        known?.takeIf { it.replica == replica }?.lastSeen = now
        return isNews
    }

    /** Forgets the replicas that have not been among those [listed] for [RETENTION], nor have said anything. */
    public fun expire(listed: Set<ReplicaIncarnation>, now: MonotonicTime) {
        notices.values.forEach { if (it.replica in listed) it.lastSeen = now }
        notices.values.removeIf { now - it.lastSeen > RETENTION }
    }

    private companion object {
        /** Longer than a replica takes to leave, and than the store is unavailable. */
        val RETENTION: Duration = 10.minutes
    }
}
