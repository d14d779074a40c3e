package org.guavapath.core.streams

import java.io.ByteArrayOutputStream

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/**
 * One whole event of an event stream.
 *
 * @property bytes the event as it came, with the blank line that ends it
 * @property id its identifier, null if it has none
 */
public class AssembledEvent(public val bytes: ByteArray, public val id: Long?) {
    /** The event's lines as text. */
    public val text: String get() = bytes.toString(Charsets.UTF_8)
}

/**
 * Cuts the bytes of an event stream into whole events.
 *
 * A relay that passes on whole events only can join a resumed stream to the one that broke off.
 */
public class EventAssembler {
    private val partial = ByteArrayOutputStream()
    private var lineLength = 0

    /** Whether bytes of an event wait for its end. */
    public val hasPartialEvent: Boolean get() = partial.size() > 0

    /** Takes the next bytes and returns the events that they complete. */
    public fun feed(bytes: ByteArray): List<AssembledEvent> {
        val events = ArrayList<AssembledEvent>(1)
        for (byte in bytes) {
            partial.write(byte.toInt())
            when (byte) {
                LINE_FEED -> {
                    if (lineLength == 0) events.add(take())
                    lineLength = 0
                }
                CARRIAGE_RETURN -> Unit
                else -> lineLength += 1
            }
        }
        return events
    }

    private fun take(): AssembledEvent {
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
