/**
 * The rates that replicas name in their responses, as known to one VM.
 *
 * A replica names its rate in each response for as long as it holds. Responses to different VMs overtake each other, so
 * that each notice carries the time that it speaks of, and the newest one is in force.
 */
package org.guavapath.core.throttling

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A replica's rate at a time.
 *
 * @property replica the replica
 * @property rate the rate that it accepts from the whole fleet, null if it has none
 * @property at when the replica stated it, on this VM's clock
 */
public data class RateNotice(
    public val replica: ReplicaIncarnation,
    public val rate: RequestRate?,
    public val at: MonotonicTime,
)

/** The newest notice of each replica. */
public class NamedRates {
    private val newest = HashMap<ReplicaId, RateNotice>()

    /** All notices, including those of rates that no longer hold. */
    public val notices: Collection<RateNotice> get() = newest.values

    /** Number of replicas whose rate is limited. */
    public val limitedReplicas: Int get() = newest.values.count { it.rate != null }

    /** Returns the newest notice of [replica], null if there is none. */
    public fun notice(replica: ReplicaIncarnation): RateNotice? = newest[replica.id]?.takeIf { it.replica == replica }

    /** Returns the rate of [replica], null if it has none. */
    public fun rate(replica: ReplicaIncarnation): RequestRate? = notice(replica)?.rate

    /**
     * Applies a response of [replica], received at [now].
     *
     * A success without a rate ends the former one if its request was sent after that was last named. Refusals and
     * failures may come from in front of the replica's own queue and end nothing.
     *
     * @param sentAt when the request was sent
     * @return the notice if it changes the rate
     */
    public fun responded(
        replica: ReplicaIncarnation,
        statement: RateStatement,
        isSuccess: Boolean,
        sentAt: MonotonicTime,
        now: MonotonicTime,
    ): RateNotice? {
        val notice = when (statement) {
            is RateStatement.Named -> RateNotice(replica, statement.rate, now)
            RateStatement.Absent -> RateNotice(replica, rate = null, sentAt).takeIf { isSuccess }
            is RateStatement.Invalid -> null
        }
        return notice?.takeIf { receive(it) }
    }

    /** Applies [notice] of another VM if it is newer than the one known; returns whether the rate has changed. */
    public fun receive(notice: RateNotice): Boolean {
        val known = newest[notice.replica.id]
        val isOfKnown = known?.replica == notice.replica
        val isNewer = known == null || notice.replica.startedAt > known.replica.startedAt ||
            isOfKnown && notice.at > known.at
        val formerRate = known?.rate.takeIf { isOfKnown }
        if (!isNewer || notice.rate == null && formerRate == null) return false
        newest[notice.replica.id] = notice
        return notice.rate != formerRate
    }

    /** Forgets replicas other than [listed], and ended rates after [RETENTION]. */
    public fun expire(listed: Set<ReplicaIncarnation>, now: MonotonicTime) {
        newest.values.removeIf { it.replica !in listed || it.rate == null && now - it.at > RETENTION }
    }

    private companion object {
        /** Other VMs repeat a rate until they know that it has ended. */
        val RETENTION: Duration = 10.seconds
    }
}
