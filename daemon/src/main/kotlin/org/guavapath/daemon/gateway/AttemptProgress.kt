package org.guavapath.daemon.gateway

import org.guavapath.core.time.MonotonicTime

/** How much of the response to one attempt has arrived. */
internal class AttemptProgress {
    /** When the head arrived, null before that. */
    var headAt: MonotonicTime? = null
        private set

    /** When the first bytes of the body arrived, null before that. */
    var firstBytesAt: MonotonicTime? = null
        private set

    /** Length of the body received so far, in bytes. */
    var bodyBytes = 0L
        private set

    /** Records the arrival of the head. */
    fun headReceived(now: MonotonicTime) {
        headAt = now
    }

    /** Records the arrival of [count] bytes of the body. */
    fun bytesReceived(count: Int, now: MonotonicTime) {
        firstBytesAt = firstBytesAt ?: now
        bodyBytes += count
    }
}
