package org.guavapath.core.quarantine

import kotlin.time.Duration

/** Whether a request may be sent to a replica, by the crashes of replicas that had it. */
public sealed class RequestVerdict {
    /** Too few replicas have crashed with the request. */
    public data object Allowed : RequestVerdict()

    /**
     * Replicas have crashed on the request again and again.
     *
     * @property timeLeft time until it may be sent once more
     * @property crashes the crashes in a row, at most one for each depth
     */
    public data class Held(public val timeLeft: Duration, public val crashes: List<RequestCrash>) : RequestVerdict()
}
