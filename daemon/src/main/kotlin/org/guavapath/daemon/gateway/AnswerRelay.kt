package org.guavapath.daemon.gateway

import org.guavapath.core.streams.EventAssembler
import org.guavapath.core.time.MonotonicTime

/** How the bytes of a successful answer reach the caller. */
internal sealed class AnswerRelay {
    /** Whether the caller has seen a part of the answer. */
    abstract val hasBegun: Boolean

    /** The last event that the caller has, null if it has none. */
    abstract val resumeAfter: Long?

    /** When the first event was passed on, null before and for answers that are no streams. */
    abstract val firstEventAt: MonotonicTime?

    /** Offers the head of an answer; once the answer has begun, the first head stays. */
    abstract fun offerHead(offered: AnswerHead)

    /** Takes the next bytes; returns false if they do not continue the answer. */
    abstract fun relay(bytes: ByteArray): Boolean

    /** Ends the answer; returns false if a part is missing. */
    abstract fun end(): Boolean

    /** Forgets what came from a replica that broke off and was not passed on. */
    abstract fun restart()

    /** A short description for the log. */
    abstract fun summary(): String
}

/** Passes an answer on when it is whole, so that one that breaks off can be asked for again. */
internal class WholeRelay(private val sink: AnswerSink) : AnswerRelay() {
    private var head: AnswerHead? = null
    private var body = WholeBody()

    override val hasBegun: Boolean get() = false
    override val resumeAfter: Long? get() = null
    override val firstEventAt: MonotonicTime? get() = null

    override fun offerHead(offered: AnswerHead) {
        head = offered
    }

    override fun relay(bytes: ByteArray): Boolean {
        body.append(bytes)
        return true
    }

    override fun end(): Boolean {
        sink.whole(checkNotNull(head), body.bytes())
        return true
    }

    override fun restart() {
        body = WholeBody()
    }

    override fun summary(): String = "answered ${head?.status}"
}

/**
 * Passes the events of a stream on, whole and in order, over all replicas that take part.
 *
 * The answer's head goes out with the first event, so that a request whose replica fails before is
 * started anew elsewhere and the caller sees only one answer.
 */
internal class StreamRelay(private val sink: AnswerSink, callersLast: Long?) : AnswerRelay() {
    private var assembler = EventAssembler()
    private var head: AnswerHead? = null
    private var last = callersLast
    private var events = 0

    override var hasBegun = false
        private set
    override var firstEventAt: MonotonicTime? = null
        private set
    override val resumeAfter: Long? get() = last

    override fun offerHead(offered: AnswerHead) {
        if (!hasBegun) head = offered
    }

    override fun relay(bytes: ByteArray): Boolean {
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
}
