package org.guavapath.core.streams

/** Protocol violation in an engine's event stream. */
public sealed class StreamFault {
    /**
     * The event belongs to another request.
     *
     * @property id the request id in the event
     */
    public data class ForeignRequest(public val id: String) : StreamFault()

    /**
     * An event is missing, repeated or out of order.
     *
     * @property expected the expected sequence number
     * @property actual the received sequence number
     */
    public data class OutOfOrder(public val expected: Long, public val actual: Long) : StreamFault()
}

/**
 * Checks that events belong to one attempt and arrive in order, without gaps.
 *
 * @param attempt the id sent with the attempt, which every event must contain
 */
public class StreamGuard(private val attempt: String) {
    private var lastSequence = 0L

    /**
     * Checks the next event.
     *
     * @param id the request id in the event
     * @param sequence the event's sequence number, counted from 1, or null if the engine does not number events
     * @return the fault, or null if the event is valid
     */
    public fun check(id: String, sequence: Long?): StreamFault? {
        val fault = when {
            id != attempt -> StreamFault.ForeignRequest(id)
            sequence != null && sequence != lastSequence + 1 -> StreamFault.OutOfOrder(lastSequence + 1, sequence)
            else -> null
        }
        lastSequence = sequence ?: lastSequence
        return fault
    }
}
