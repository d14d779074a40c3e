package org.guavapath.core.quarantine

import kotlin.time.Duration

/** Whether a request may be sent to a replica, by the parts of its prompt. */
public sealed class QuarantineVerdict {
    /** No part of the prompt is quarantined. */
    public data object Allowed : QuarantineVerdict()

    /** The quarantine has ended, and this request may be the one that shows whether the part still crashes replicas. */
    public data object Trial : QuarantineVerdict()

    /**
     * The prompt has a quarantined part.
     *
     * @property timeLeft time until a request with that part may be sent
     */
    public data class Quarantined(public val timeLeft: Duration) : QuarantineVerdict()
}
