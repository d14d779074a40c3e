package org.guavapath.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.guavapath.core.memory.BodyReservation
import org.guavapath.core.memory.Room
import org.guavapath.core.quarantine.BodyDigest

/**
 * The body of a caller's request, in segments that all sends of it share.
 *
 * @param expectedBytes length that the request states, null if it does not
 * @param reservation counts the segments; null if nothing counts them
 */
internal class RequestBody(private val expectedBytes: Long?, private val reservation: BodyReservation?) {
    private val segments = ArrayList<ByteArray>()
    private var usedOfLast = 0
    private var allocated = 0L
    private var isDiscarded = false

    /** Identifies the content. */
    val digest = BodyDigest()

    /** Bytes that have arrived; still known when the body is discarded. */
    var size = 0
        private set

    /** Whether it waits until other bodies of its connection have ended. */
    val isHeldUpByOwn: Boolean get() = reservation?.isHeldUpByOwn == true

    /** Asks for the room of [count] more bytes; for the room of the whole body if its length is known. */
    fun reserve(count: Int): Room {
        val needed = maxOf(expectedBytes ?: 0, capacityFor(count))
        val missing = if (reservation == null || count == 0) 0 else needed - reservation.held
        return if (missing <= 0) Room.Granted else checkNotNull(reservation).grow(missing)
    }

    /** Stops waiting for room. */
    fun stopWaiting() {
        reservation?.stopWaiting()
    }

    /** Appends what is readable in [part]. */
    fun append(part: ByteBuf) {
        while (part.isReadable) {
            val segment = segments.lastOrNull()?.takeIf { usedOfLast < it.size } ?: addSegment()
            val count = minOf(part.readableBytes(), segment.size - usedOfLast)
            part.readBytes(segment, usedOfLast, count)
            digest.append(segment, usedOfLast, count)
            usedOfLast += count
            size += count
        }
    }

    /**
     * Returns the content; it is not copied.
     *
     * @throws IllegalStateException if it is discarded
     */
    fun content(): ByteBuf {
        check(!isDiscarded) { "the body of $size bytes is discarded" }
        val last = segments.lastIndex
        val parts = segments.mapIndexed { index, segment ->
            Unpooled.wrappedBuffer(segment, 0, if (index == last) usedOfLast else segment.size)
        }
        if (parts.size <= 1) return parts.firstOrNull() ?: Unpooled.EMPTY_BUFFER
        return Unpooled.compositeBuffer(parts.size).addComponents(true, parts)
    }

    /** Drops the content and gives its room back, as the request has ended. */
    fun discard() {
        isDiscarded = true
        segments.clear()
        reservation?.close()
    }

    private fun addSegment(): ByteArray {
        check(!isDiscarded) { "the body of $size bytes is discarded" }
        return ByteArray(nextSegmentBytes(allocated)).also {
            segments.add(it)
            allocated += it.size
            usedOfLast = 0
        }
    }

    /** Returns the size of all segments when [count] more bytes are held. */
    private fun capacityFor(count: Int): Long {
        var capacity = allocated
        while (capacity < size + count) capacity += nextSegmentBytes(capacity)
        return capacity
    }

    private fun nextSegmentBytes(before: Long): Int {
        val left = expectedBytes?.let { it - before }?.takeIf { it > 0 }
        return (left ?: before).coerceIn(if (left == null) MIN_SEGMENT_BYTES else 1, MAX_SEGMENT_BYTES).toInt()
    }

    private companion object {
        const val MIN_SEGMENT_BYTES = 1_024L

        /** Bounds what one write to a socket takes beside the body. */
        const val MAX_SEGMENT_BYTES = 65_536L
    }
}
