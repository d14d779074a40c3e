package org.guavapath.core.quarantine

import com.dynatrace.hash4j.hashing.Hashing

/** Hash of a body that is computed as the body arrives; the same however the body is split. */
public class BodyDigest {
    private val hash = Hashing.xxh3_64().hashStream()

    /** The hash of what was appended so far. */
    public val bits: Long get() = hash.asLong

    /** Appends [count] of the [bytes], those from the index [from] on. */
    public fun append(bytes: ByteArray, from: Int = 0, count: Int = bytes.size) {
        hash.putBytes(bytes, from, count)
    }
}
