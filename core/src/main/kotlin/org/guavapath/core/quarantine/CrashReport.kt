package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** How far the response to a request had come when its replica crashed. */
public enum class CrashStage(internal val weight: Int, internal val retention: Duration) {
    /**
     * The replica had begun the response but sent no event for a while. A sound replica is in this stage for a few
     * milliseconds, so that another cause of the crash is unlikely.
     */
    BEFORE_FIRST_EVENT(2, 10.minutes),

    /** The replica had begun the response so shortly before that the crash may follow from it. */
    JUST_BEGUN(1, 1.minutes),
    ;

    /** Classifies responses. */
    public companion object {
        /** The first event follows the head of a response within a few milliseconds. */
        private val MIN_PAUSE = 20.milliseconds

        /** A replica that crashes on a prompt does so within about 120 ms of the response's head. */
        private val MAX_TIME_TO_CRASH = 250.milliseconds

        /**
         * Returns the stage of a response whose replica crashed, or null if the request is unlikely to be the cause.
         *
         * @param sinceHead time from the response's head to the crash, null if no head had arrived
         * @param hasBody whether bytes of the body had arrived
         */
        public fun of(sinceHead: Duration?, hasBody: Boolean): CrashStage? = when {
            sinceHead == null || sinceHead > MAX_TIME_TO_CRASH -> null
            !hasBody && sinceHead >= MIN_PAUSE -> BEFORE_FIRST_EVENT
            else -> JUST_BEGUN
        }
    }
}

/**
 * A replica crashed while it began to answer a request.
 *
 * Reports of the same request and replica are merged, in any order and any number of times: the sets and [trials] only
 * grow.
 *
 * @property replica the replica
 * @property startedAt start of the incarnation that crashed, in Unix milliseconds
 * @property request the request
 * @property at when the replica crashed
 * @property stage how far the response had come
 * @property parts all parts of the prompt that other requests may share
 * @property answeredBefore parts in prompts that were answered completely before the crash
 * @property answeredSince parts in prompts that were answered completely after the crash
 * @property trials number of requests with the suspected parts that were sent to a replica to learn whether it crashes
 */
public data class CrashReport(
    public val replica: ReplicaId,
    public val startedAt: Long,
    public val request: RequestId,
    public val at: MonotonicTime,
    public val stage: CrashStage,
    public val parts: Set<PartKey>,
    public val answeredBefore: Set<PartKey> = emptySet(),
    public val answeredSince: Set<PartKey> = emptySet(),
    public val trials: Int = 0,
) {
    /** Identity of the report; reports with the same one are merged. */
    public val id: Triple<ReplicaId, Long, RequestId> get() = Triple(replica, startedAt, request)
    internal val incarnation: ReplicaIncarnation get() = ReplicaIncarnation(replica, startedAt)

    /** Parts that may be the cause. */
    internal val suspects: Set<PartKey> get() = parts - answeredSince

    /** Returns whether the report may still matter at [now]. */
    public fun isLive(now: MonotonicTime): Boolean =
        now - at <= if (suspects.isEmpty()) SETTLED_RETENTION else stage.retention

    internal fun merge(other: CrashReport): CrashReport = copy(
        answeredBefore = answeredBefore + other.answeredBefore,
        answeredSince = answeredSince + other.answeredSince,
        trials = maxOf(trials, other.trials),
    )

    private companion object {
        /** Longer than VMs need to hear that no part is suspected any more. */
        val SETTLED_RETENTION = 10.seconds
    }
}
