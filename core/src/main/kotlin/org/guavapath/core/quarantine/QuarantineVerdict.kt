package org.guavapath.core.quarantine

import kotlin.time.Duration

/** Whether a request may be sent to a replica, by the crashes of replicas that had requests like it. */
public sealed class QuarantineVerdict {
    /** Nothing in the request is held. */
    public data object Allowed : QuarantineVerdict()

    /** The hold has ended, and this request may be the one that shows whether replicas still crash. */
    public data object Trial : QuarantineVerdict()

    /**
     * The request has suspects that are held.
     *
     * @property timeLeft time until a request with them may be sent
     * @property suspects the suspects that the request has all of
     * @property crashes the first report of each crash in a row
     */
    public data class Held(
        public val timeLeft: Duration,
        public val suspects: Set<Suspect>,
        public val crashes: List<CrashReport>,
    ) : QuarantineVerdict() {
        /** Whether the request itself is held, and not only parts that others may share. */
        public val isWholeRequest: Boolean get() = suspects.any { it is RequestKey }
    }
}
