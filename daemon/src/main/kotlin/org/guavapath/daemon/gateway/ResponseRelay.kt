package org.guavapath.daemon.gateway

import org.guavapath.core.streams.EventAssembler
import org.guavapath.core.time.MonotonicTime

/** Result of [ResponseRelay.write]. */
internal sealed class RelayResult {
    /** The response has advanced: by at least one event of a stream, or by bytes of another response. */
    data object Advanced : RelayResult()

    /** The bytes do not complete an event. */
    data object Partial : RelayResult()

    /** The bytes do not continue the response. */
    class Invalid(val reason: String) : RelayResult()
}

/** The part of a response that arrives from one replica. */
internal interface ResponsePart {
    /** Whether bytes have arrived but no whole event of a stream of which nothing was relayed. */
    val isWithinFirstEvent: Boolean

    /** Whether the bytes of a stream that have arrived end within an event. */
    val isWithinEvent: Boolean

    /** Sets the head; it is not relayed once the response has begun. */
    fun offerHead(offered: ResponseHead)

    /** Relays the next bytes. */
    fun write(bytes: ByteArray): RelayResult

    /** Ends the response; returns false if it is incomplete. */
    fun end(): Boolean
}

/**
 * Relays a successful response to the caller.
 *
 * Several replicas may each send a part. What one of them has sent and that cannot be relayed yet, such as the
 * beginning of an event, belongs to its part alone.
 */
internal sealed class ResponseRelay {
    /** Whether any part of the response was sent to the caller. */
    abstract val hasBegun: Boolean

    /** Id of the last event that the caller received, null if it received none. */
    abstract val resumeAfter: Long?

    /** When the first event was relayed; null before that and for responses that are not streams. */
    abstract val firstEventAt: MonotonicTime?

    /** Returns a new part, for one attempt. */
    abstract fun newPart(): ResponsePart

    /** A short description for the log. */
    abstract fun summary(): String
}

/** Buffers the response and relays it as a whole, so that the request can be retried if the response is cut off. */
internal class BufferedRelay(private val sink: ResponseSink) : ResponseRelay() {
    private var status: Int? = null

    override val hasBegun: Boolean get() = false
    override val resumeAfter: Long? get() = null
    override val firstEventAt: MonotonicTime? get() = null

    override fun newPart(): ResponsePart = Part()

    override fun summary(): String = "answered $status"

    private inner class Part : ResponsePart {
        private var head: ResponseHead? = null
        private val body = BodyBuffer()

        override val isWithinFirstEvent: Boolean get() = false
        override val isWithinEvent: Boolean get() = false

        override fun offerHead(offered: ResponseHead) {
            head = offered
        }

        override fun write(bytes: ByteArray): RelayResult =
            if (body.append(bytes)) RelayResult.Advanced else RelayResult.Invalid(body.overflow)

        override fun end(): Boolean {
            val whole = checkNotNull(head)
            status = whole.status
            sink.writeFull(whole, body.bytes())
            return true
        }
    }
}

/**
 * Relays complete events of a stream in order, across all replicas that contribute to it.
 *
 * The head is sent with the first event: if a replica fails before that, the request restarts on another one
 * and the caller sees a single response.
 */
internal class StreamRelay(private val sink: ResponseSink, lastEventOfCaller: Long?) : ResponseRelay() {
    private var lastEventId = lastEventOfCaller
    private var events = 0

    override var hasBegun = false
        private set
    override var firstEventAt: MonotonicTime? = null
        private set
    override val resumeAfter: Long? get() = lastEventId

    override fun newPart(): ResponsePart = Part()

    override fun summary(): String = "stream of $events events"

    private inner class Part : ResponsePart {
        private val assembler = EventAssembler()
        private var head: ResponseHead? = null

        override val isWithinFirstEvent: Boolean get() = !hasBegun && isWithinEvent
        override val isWithinEvent: Boolean get() = assembler.hasPartialEvent

        override fun offerHead(offered: ResponseHead) {
            head = offered
        }

        override fun write(bytes: ByteArray): RelayResult {
            val complete = assembler.feed(bytes)
            for (event in complete) {
                val id = event.id
                val previous = lastEventId
                if (id != null && previous != null && id <= previous) {
                    return RelayResult.Invalid("the events are out of order")
                }
                begin()
                events += 1
                lastEventId = id ?: lastEventId
                sink.writeChunk(event.bytes)
            }
            return when {
                assembler.partialBytes > MAX_EVENT_BYTES ->
                    RelayResult.Invalid("an event exceeds $MAX_EVENT_BYTES bytes")
                complete.isEmpty() -> RelayResult.Partial
                else -> RelayResult.Advanced
            }
        }

        override fun end(): Boolean {
            if (isWithinEvent) return false
            begin()
            sink.end()
            return true
        }

        private fun begin() {
            if (hasBegun) return
            hasBegun = true
            firstEventAt = MonotonicTime.now()
            sink.begin(checkNotNull(head))
        }
    }

    private companion object {
        /** An event is a few hundred bytes; a replica in trouble may send bytes without end. */
        const val MAX_EVENT_BYTES = 1_048_576
    }
}
