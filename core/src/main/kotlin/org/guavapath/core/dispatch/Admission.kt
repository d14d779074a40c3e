package org.guavapath.core.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Result of [Admission.decide]. */
public sealed class AdmissionDecision {
    /** The request is sent to a replica. */
    public data object Send : AdmissionDecision()

    /**
     * The request cannot be served in useful time and is refused at once.
     *
     * @property retryAfter time after which the work ahead of it will have shrunk enough
     */
    public data class Refuse(public val retryAfter: Duration) : AdmissionDecision()
}

/**
 * Admission control: refuses requests whose first event would come too late for their caller.
 *
 * A replica that accepts more than it can serve in time responds late to all its requests. A response somewhat later
 * than the target is still useful, so a moderate delay is accepted, but the queue must stay bounded.
 */
public object Admission {
    /**
     * Decides whether to send a request whose first event is expected after [expected].
     *
     * A retry is held only to the time its caller still waits, not to the target: the request was delayed through
     * no fault of its own and may already have run.
     *
     * @param target time within which the first event is most useful
     * @param timeLeft how long the caller still waits
     * @param wasSent whether the request was already sent to a replica
     */
    public fun decide(expected: Duration, target: Duration, timeLeft: Duration, wasSent: Boolean): AdmissionDecision {
        val useful = timeLeft * MAX_TIME_LEFT_SHARE
        val latest = if (wasSent) useful else minOf(target * MAX_TARGET_MULTIPLE, useful)
        if (expected <= latest) return AdmissionDecision.Send
        val retryAfter = (expected - target / 2).coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        return AdmissionDecision.Refuse(retryAfter)
    }

    /** A first event at 1.5 times the target is late but still useful. */
    private const val MAX_TARGET_MULTIPLE = 1.5

    /** Leaves time for the rest of the response. */
    private const val MAX_TIME_LEFT_SHARE = 0.8
    private val MIN_RETRY_AFTER = 150.milliseconds
    private val MAX_RETRY_AFTER = 1500.milliseconds
}
