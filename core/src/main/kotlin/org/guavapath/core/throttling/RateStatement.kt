package org.guavapath.core.throttling

/** What a replica's response says about the rate of requests that the replica accepts from all VMs together. */
public sealed class RateStatement {
    /** Nothing. */
    public data object Absent : RateStatement()

    /**
     * The replica accepts [rate].
     *
     * @property rate the rate of the whole fleet
     */
    public data class Named(public val rate: RequestRate) : RateStatement()

    /**
     * Something that is not a rate, which changes nothing.
     *
     * @property text the beginning of what was received
     */
    public data class Invalid(public val text: String) : RateStatement()
}
