package org.guavapath.core.throttling

import kotlin.time.Duration

/** Whether one request may be sent to a replica that has named a rate. */
public sealed class PermitDecision {
    /** The request may be sent at once. */
    public data object Granted : PermitDecision()

    /**
     * The rate is used up.
     *
     * @property retryAfter time until the next permit if no other request takes it
     */
    public data class Denied(public val retryAfter: Duration) : PermitDecision()
}
