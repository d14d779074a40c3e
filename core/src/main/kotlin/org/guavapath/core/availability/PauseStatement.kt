package org.guavapath.core.availability

import kotlin.time.Duration

/** What a replica's response says about when the replica takes requests of this VM again. */
public sealed class PauseStatement {
    /** Nothing. */
    public data object Absent : PauseStatement()

    /**
     * The replica takes no request for [duration].
     *
     * @property duration time since the response
     */
    public data class Named(public val duration: Duration) : PauseStatement()

    /**
     * Something that is not a duration, which changes nothing.
     *
     * @property text the beginning of what was received
     */
    public data class Invalid(public val text: String) : PauseStatement()
}
