package org.guavapath.core.quarantine

import com.dynatrace.hash4j.hashing.Hashing
import org.guavapath.core.fleet.PromptShape
import org.guavapath.core.identity.WorkspaceName

/**
 * Identity of a whole request: repeats of a request have the same key, whichever gateway they arrive at.
 *
 * @property bits hash of the host, the target, the workspace, the model, the body and the parts of the prompt
 */
@JvmInline
public value class RequestKey(override val bits: Long) : Suspect {
    override fun toString(): String = bits.toULong().toString(HEXADECIMAL)

    /** Creates keys. */
    public companion object {
        private const val HEXADECIMAL = 16

        /**
         * Returns the key of the request for [target], the path with the query, on [host].
         *
         * Neither the id of the attempt nor other headers count, as they change with each repeat.
         *
         * @param workspace the caller's workspace, null on open routes
         * @param prompt the prompt, null if there is none; its parts may be told apart by headers only
         */
        public fun of(
            host: String,
            target: String,
            workspace: WorkspaceName?,
            prompt: PromptShape?,
            body: BodyDigest,
        ): RequestKey {
            val hash = Hashing.xxh3_64().hashStream()
                .putString(host.lowercase())
                .putString(target)
                .putBoolean(workspace != null)
                .putString(workspace?.text.orEmpty())
                .putBoolean(prompt != null)
                .putString(prompt?.model?.text.orEmpty())
                .putLong(body.bits)
            prompt?.parts?.forEach { hash.putString(it.id) }
            return RequestKey(hash.asLong)
        }
    }
}
