package org.guavapath.daemon.gateway

import java.io.ByteArrayOutputStream

/** Longer than any sound response that is relayed as a whole; a replica in trouble may send bytes without end. */
private const val MAX_BODY_BYTES = 4_194_304

/** Buffers a whole response body of [maxBytes] at most. */
internal class BodyBuffer(private val maxBytes: Int = MAX_BODY_BYTES) {
    private val collected = ByteArrayOutputStream()

    /** Why [append] returned false. */
    val overflow: String get() = "the body exceeds $maxBytes bytes"

    /** Appends [bytes]; returns false if the body is too long. */
    fun append(bytes: ByteArray): Boolean {
        if (collected.size() + bytes.size > maxBytes) return false
        collected.write(bytes)
        return true
    }

    fun bytes(): ByteArray = collected.toByteArray()
}
