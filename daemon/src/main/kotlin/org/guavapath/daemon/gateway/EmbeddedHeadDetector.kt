package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.ResponseCodec

/**
 * Finds the head of another response within the body of a response.
 *
 * A response that is broken off within its body takes the next response on its connection for the rest of that. The
 * next one names a request that the connection has carried, which a body has no reason to do in the form of a head.
 */
internal class EmbeddedHeadDetector(private val carried: CarriedRequests) {
    /** The end of the body, from where a head may begin that has not ended. */
    private var tail = ""

    /** Returns whether the body, of which [bytes] are the next part, holds such a head. */
    fun feed(bytes: ByteArray): Boolean {
        val text = tail + bytes.toString(Charsets.ISO_8859_1)
        var start = text.indexOf(HEAD_START)
        while (start >= 0) {
            val lines = text.substring(start, minOf(text.length, start + MAX_HEAD))
            val end = lines.indexOf(HEAD_END)
            val head = if (end >= 0) lines.take(end + LINE_END.length) else lines
            if (ResponseCodec.requestNamedIn(head)?.let { it in carried } == true) return true
            val mayBegin = ResponseCodec.mayBeginHead(head)
            if (mayBegin && end < 0 && start + head.length == text.length) break
            // A head that begins within another one was looked through with that.
            start = text.indexOf(HEAD_START, if (mayBegin) start + head.length else start + 1)
        }
        tail = if (start >= 0) text.substring(start) else text.takeLast(HEAD_START.length - 1)
        return false
    }

    /** Returns whether [bytes] that follow the whole body continue a head that begins within it. */
    fun isContinuedBy(bytes: ByteArray): Boolean {
        val rest = bytes.toString(Charsets.ISO_8859_1)
        val statusLine = ResponseCodec.firstStatusLine(tail + rest)
        return statusLine != null && statusLine < tail.length && !rest.startsWith(HEAD_START)
    }

    private companion object {
        const val HEAD_START = "HTTP/"
        const val LINE_END = "\r\n"
        const val HEAD_END = "\r\n\r\n"

        /** Longer heads are not looked through. */
        const val MAX_HEAD = 8_192
    }
}
