package org.guavapath.core.availability

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/**
 * The replicas that take no requests of this VM for a time that they have named.
 *
 * A shorter time that is named later does not shorten the one before. A replica that starts again takes requests.
 */
public class ReplicaPauses {
    private class Pause(val replica: ReplicaIncarnation, val until: MonotonicTime)

    private val pauses = HashMap<ReplicaId, Pause>()

    /** Records that [replica] takes no requests for [duration] from [now]; returns whether the pause ends later now. */
    public fun record(replica: ReplicaIncarnation, duration: Duration, now: MonotonicTime): Boolean {
        val known = pauses[replica.id]
        val until = now + duration.coerceIn(Duration.ZERO, LONGEST)
        val isOlder = known != null && known.replica.startedAt > replica.startedAt
        val isShorter = until <= (until(replica, now) ?: now)
        if (isOlder || isShorter) return false
        pauses[replica.id] = Pause(replica, until)
        return true
    }

    /** Returns when [replica] takes requests again, null if it does at [now]. */
    public fun until(replica: ReplicaIncarnation, now: MonotonicTime): MonotonicTime? =
        pauses[replica.id]?.takeIf { it.replica == replica && it.until > now }?.until

    /** Number of replicas that take no requests at [now]. */
    public fun count(now: MonotonicTime): Int = pauses.values.count { it.until > now }

    /** Forgets the pauses that are over at [now]. */
    public fun expire(now: MonotonicTime) {
        pauses.values.removeIf { it.until <= now }
    }

    private companion object {
        /** A replica that names a longer time by mistake is asked again after this. */
        val LONGEST: Duration = 1.hours
    }
}
