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

/** Relays the bytes of a successful response to the caller. */
internal sealed class ResponseRelay {
    /** Whether any part of the response was sent to the caller. */
    abstract val hasBegun: Boolean

    /** Id of the last event that the caller received, null if it received none. */
    abstract val resumeAfter: Long?

    /** When the first event was relayed; null before that and for responses that are not streams. */
    abstract val firstEventAt: MonotonicTime?

    /** Sets the head of the response; ignored once the response has begun. */
    abstract fun offerHead(offered: ResponseHead)

    /** Relays the next bytes. */
    abstract fun write(bytes: ByteArray): RelayResult

    /** Ends the response; returns false if it is incomplete. */
    abstract fun end(): Boolean

    /** Discards buffered bytes of a failed attempt that were not relayed. */
    abstract fun restart()

    /** A short description for the log. */
    abstract fun summary(): String
}

/** Buffers the response and relays it as a whole, so that the request can be retried if the response is cut off. */
internal class BufferedRelay(private val sink: ResponseSink) : ResponseRelay() {
    private var head: ResponseHead? = null
    private var body = BodyBuffer()

    override val hasBegun: Boolean get() = false
    override val resumeAfter: Long? get() = null
    override val firstEventAt: MonotonicTime? get() = null

    override fun offerHead(offered: ResponseHead) {
        head = offered
    }

    override fun write(bytes: ByteArray): RelayResult =
        if (body.append(bytes)) RelayResult.Advanced else RelayResult.Invalid(body.overflow)

    override fun end(): Boolean {
        sink.writeFull(checkNotNull(head), body.bytes())
        return true
    }

    override fun restart() {
        body = BodyBuffer()
    }

    override fun summary(): String = "answered ${head?.status}"
}

/**
 * Relays complete events of a stream in order, across all replicas that contribute to it.
 *
 * The head is sent with the first event: if a replica fails before that, the request restarts on another one
 * and the caller sees a single response.
 */
internal class StreamRelay(private val sink: ResponseSink, lastEventOfCaller: Long?) : ResponseRelay() {
    private var assembler = EventAssembler()
    private var head: ResponseHead? = null
    private var lastEventId = lastEventOfCaller
    private var events = 0

    override var hasBegun = false
        private set
    override var firstEventAt: MonotonicTime? = null
        private set
    override val resumeAfter: Long? get() = lastEventId

    override fun offerHead(offered: ResponseHead) {
        if (!hasBegun) head = offered
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
            assembler.partialBytes > MAX_EVENT_BYTES -> RelayResult.Invalid("an event exceeds $MAX_EVENT_BYTES bytes")
            complete.isEmpty() -> RelayResult.Partial
            else -> RelayResult.Advanced
        }
    }

    override fun end(): Boolean {
        if (assembler.hasPartialEvent) return false
        begin()
        sink.end()
        return true
    }

    override fun restart() {
        assembler = EventAssembler()
    }

    override fun summary(): String = "stream of $events events"

    private fun begin() {
        if (hasBegun) return
        hasBegun = true
        firstEventAt = MonotonicTime.now()
        sink.begin(checkNotNull(head))
    }

    private companion object {
        /** An event is a few hundred bytes; a replica in trouble may send bytes without end. */
        const val MAX_EVENT_BYTES = 1_048_576
    }
}
