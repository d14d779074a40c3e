package org.guavapath.core.streams

import java.io.ByteArrayOutputStream

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/**
 * A complete event of a server-sent event stream.
 *
 * @property bytes the event as received, including the blank line that ends it
 * @property id its numeric id, null if it has none
 */
public class AssembledEvent(public val bytes: ByteArray, public val id: Long?) {
    /** The event decoded as UTF-8. */
    public val text: String get() = bytes.toString(Charsets.UTF_8)
}

/**
 * Splits the bytes of an event stream into complete events.
 *
 * A relay that forwards only complete events can continue an interrupted stream with a resumed one.
 */
public class EventAssembler {
    private val partial = ByteArrayOutputStream()
    private var lineLength = 0

    /** Number of bytes received of an event whose end has not been received. */
    public val partialBytes: Int get() = partial.size()

    /** Whether part of an event has been received but not its end. */
    public val hasPartialEvent: Boolean get() = partialBytes > 0

    /** Appends [bytes] and returns the events that they complete. */
    public fun feed(bytes: ByteArray): List<AssembledEvent> {
        val events = ArrayList<AssembledEvent>(1)
        for (byte in bytes) {
            partial.write(byte.toInt())
            when (byte) {
                LINE_FEED -> {
                    if (lineLength == 0) events.add(takeEvent())
                    lineLength = 0
                }
                CARRIAGE_RETURN -> Unit
                else -> lineLength += 1
            }
        }
        return events
    }

    private fun takeEvent(): AssembledEvent {
        val bytes = partial.toByteArray()
        partial.reset()
        val id = bytes.toString(Charsets.UTF_8).lineSequence()
            .firstOrNull { it.startsWith(ID_FIELD) }
            ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()
        return AssembledEvent(bytes, id)
    }

    private companion object {
        const val ID_FIELD = "id:"
    }
}
