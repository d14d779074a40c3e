package org.guavapath.core.quarantine

import com.dynatrace.hash4j.hashing.Hashing
import org.guavapath.core.fleet.PromptShape

/**
 * Identity of a part of prompts to one model.
 *
 * @property bits hash of the model and the part's id
 */
@JvmInline
public value class PartKey(override val bits: Long) : Suspect {
    override fun toString(): String = bits.toULong().toString(HEXADECIMAL)

    /** Creates keys. */
    public companion object {
        private const val HEXADECIMAL = 16

        /** Returns the keys of all parts of [prompt]; the last one may belong to the request alone or to a session. */
        public fun partsOf(prompt: PromptShape): Set<PartKey> {
            val hasher = Hashing.xxh3_64()
            val model = hasher.hashCharsToLong(prompt.model.text)
            return prompt.parts
                .map { PartKey(hasher.hashLongLongToLong(model, hasher.hashCharsToLong(it.id))) }
                .toSet()
        }
    }
}
