package org.guavapath.daemon.gateway

import org.guavapath.core.streams.EventAssembler
import org.guavapath.core.time.MonotonicTime

/**
 * Passes the events of a stream on, whole and in order, over all replicas that take part.
 *
 * The answer's head goes out with the first event, so that a request whose replica fails before is
 * started anew elsewhere and the caller sees only one answer.
 */
internal class StreamRelay(private val sink: AnswerSink, callersLast: Long?) {
    private var assembler = EventAssembler()
    private var head: AnswerHead? = null
    private var last = callersLast

    var hasBegun = false
        private set
    var events = 0
        private set
    var firstEventAt: MonotonicTime? = null
        private set

    /** The last event that the caller has, null if it has none. */
    val resumeAfter: Long? get() = last

    /** Offers the head of an answer; the first that is offered counts. */
    fun offerHead(offered: AnswerHead) {
        if (!hasBegun) head = offered
    }

    /** Passes on the events that [bytes] complete; returns false if one is not in order. */
    fun relay(bytes: ByteArray): Boolean {
        for (event in assembler.feed(bytes)) {
            val id = event.id
            val previous = last
            if (id != null && previous != null && id <= previous) return false
            begin()
            events += 1
            last = id ?: last
            sink.piece(event.bytes)
        }
        return true
    }

    /** Ends the answer; returns false if an event is incomplete. */
    fun end(): Boolean {
        if (assembler.hasPartialEvent) return false
        begin()
        sink.end()
        return true
    }

    /** Forgets the bytes of an event that will not be completed. */
    fun dropPartialEvent() {
        assembler = EventAssembler()
    }

    private fun begin() {
        if (hasBegun) return
        hasBegun = true
        firstEventAt = MonotonicTime.now()
        sink.begin(checkNotNull(head))
    }
}
