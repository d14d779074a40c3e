package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime

/**
 * A replica crashed while it had a request.
 *
 * Reports of the same request and incarnation are merged, in any order and any number of times: the sets and [trials]
 * only grow.
 *
 * @property incarnation the run of the replica that ended
 * @property request the caller's attempt
 * @property sentAt when the request was sent to the replica
 * @property at when the replica ended
 * @property suspects all parts of the prompt, and the whole request
 * @property isStalled whether the response had begun and its first event was overdue, compared with sound responses
 * @property answeredBefore suspects in requests that were answered completely and had not been sent later
 * @property answeredSince suspects in requests that were sent later and answered completely
 * @property outlived suspects in requests that other replicas were sent earlier and went on to answer after the crash
 * @property trials number of requests with held suspects that were sent to a replica to learn whether it crashes
 */
public data class CrashReport(
    public val incarnation: ReplicaIncarnation,
    public val request: RequestId,
    public val sentAt: MonotonicTime,
    public val at: MonotonicTime,
    public val suspects: Set<Suspect>,
    public val isStalled: Boolean = false,
    public val answeredBefore: Set<Suspect> = emptySet(),
    public val answeredSince: Set<Suspect> = emptySet(),
    public val outlived: Set<Suspect> = emptySet(),
    public val trials: Int = 0,
) {
    init {
        require(sentAt <= at) { "sent $sentAt, later than the crash $at" }
    }

    /** Identity of the report; reports with the same one are merged. */
    public val id: Pair<ReplicaIncarnation, RequestId> get() = incarnation to request

    /** Whether no suspect is left. */
    internal val isSettled: Boolean get() = answeredSince.containsAll(suspects)

    /** Returns this report with the times of [known], if any; those in the store rest on another VM's clock. */
    public fun withTimesOf(known: CrashReport?): CrashReport =
        if (known == null) this else copy(sentAt = known.sentAt, at = known.at)

    /** The earliest times are the best known: those that other VMs tell are late by the time on the way. */
    internal fun merge(other: CrashReport): CrashReport = copy(
        sentAt = minOf(sentAt, other.sentAt),
        at = minOf(at, other.at),
        isStalled = isStalled || other.isStalled,
        answeredBefore = answeredBefore + other.answeredBefore,
        answeredSince = answeredSince + other.answeredSince,
        outlived = outlived + other.outlived,
        trials = maxOf(trials, other.trials),
    )
}
