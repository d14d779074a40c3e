package org.guavapath.daemon.gateway

import com.dynatrace.hash4j.hashing.Hashing
import org.guavapath.core.identity.WorkspaceName

/**
 * Digest of a whole request: equal for requests with the same method, host, target, workspace and body.
 *
 * @property bits the hash
 */
@JvmInline
internal value class RequestDigest(val bits: Long) {
    override fun toString(): String = bits.toULong().toString(HEXADECIMAL)

    /** Creates digests. */
    companion object {
        private const val HEXADECIMAL = 16

        /** Returns the digest of [incoming] from a caller of [workspace], null on open routes. */
        fun of(incoming: IncomingRequest, workspace: WorkspaceName?): RequestDigest {
            val stream = Hashing.xxh3_64().hashStream()
                .putString(incoming.method.name())
                .putString(incoming.host)
                .putString(incoming.target)
                .putString(workspace?.text.orEmpty())
                .putByteArray(incoming.body)
            return RequestDigest(stream.asLong)
        }
    }
}
