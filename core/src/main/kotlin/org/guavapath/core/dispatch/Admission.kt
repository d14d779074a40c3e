package org.guavapath.core.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Whether a request is worth a place at a replica. */
public sealed class AdmissionDecision {
    /** The request is sent. */
    public data object Send : AdmissionDecision()

    /**
     * The request cannot be answered in useful time; it is refused at once.
     *
     * @property retryAfter when the work ahead of it will have shrunk enough
     */
    public data class Refuse(public val retryAfter: Duration) : AdmissionDecision()
}

/**
 * Refuses requests whose first event would come too late for their caller.
 *
 * A replica that takes more than it can answer in time answers everybody late. Beyond the target an answer
 * is still worth something, so that a moderate delay is accepted; the line must not grow without a bound.
 */
public object Admission {
    /**
     * Decides for a request that would get its first event after [expected].
     *
     * A request that was sent before and failed there is owed an answer as long as its caller waits: it has
     * lost its time by no fault of its own, and may have run.
     *
     * @param target time within which the first event is worth most
     * @param timeLeft how long the caller still waits
     * @param wasSent whether the request was sent to a replica before
     */
    public fun decide(expected: Duration, target: Duration, timeLeft: Duration, wasSent: Boolean): AdmissionDecision {
        val useful = timeLeft * USABLE_TIME
        val latest = if (wasSent) useful else minOf(target * LATEST_FIRST_EVENT, useful)
        if (expected <= latest) return AdmissionDecision.Send
        val retryAfter = (expected - target / 2).coerceIn(SHORTEST_RETRY, LONGEST_RETRY)
        return AdmissionDecision.Refuse(retryAfter)
    }

    /** A first event at one and a half times the target is late but still useful. */
    private const val LATEST_FIRST_EVENT = 1.5

    /** The rest of the answer needs time, too. */
    private const val USABLE_TIME = 0.8
    private val SHORTEST_RETRY = 150.milliseconds
    private val LONGEST_RETRY = 1500.milliseconds
}
