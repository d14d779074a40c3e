package org.guavapath.core.routing

import com.dynatrace.hash4j.hashing.Hashing
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.WeightsVersion
import org.guavapath.core.identity.WorkspaceName

/**
 * Hash of one piece of a prompt and of all pieces before it.
 *
 * @property bits the hash
 */
@JvmInline
public value class BlockHash(public val bits: Long)

/**
 * Seed of prefix hashes, so that prompts that differ in workspace, model or weights never share a block.
 *
 * @property text the seed as sent to engines
 */
@JvmInline
public value class CacheSalt(public val text: String) {
    /** Creates salts. */
    public companion object {
        private const val HASH_RADIX = 16

        /** Returns the salt for [workspace] and [version] of [model]. */
        public fun of(workspace: WorkspaceName, model: ModelName, version: WeightsVersion): CacheSalt {
            val parts = listOf(workspace.text, model.text, version.text).joinToString("\n")
            return CacheSalt(Hashing.xxh3_64().hashCharsToLong(parts).toULong().toString(HASH_RADIX))
        }
    }
}

/**
 * The block hashes of a prompt in order.
 *
 * Only whole pieces are hashed. Equal hashes at a position mean that the prompts are equal up to that position.
 */
public class PrefixChain private constructor(private val hashes: LongArray) {
    /** Number of whole pieces. */
    public val size: Int get() = hashes.size

    /** Returns the hash of the piece at [index]. */
    public operator fun get(index: Int): BlockHash = BlockHash(hashes[index])

    /** Returns the hashes in order. */
    public fun toList(): List<BlockHash> = hashes.map { BlockHash(it) }

    /** Creates chains. */
    public companion object {
        /** The chain of a prompt shorter than one piece. */
        public val EMPTY: PrefixChain = PrefixChain(LongArray(0))

        /** Returns the chain of precomputed block hashes. */
        public fun ofHashes(blocks: List<BlockHash>): PrefixChain =
            PrefixChain(LongArray(blocks.size) { blocks[it].bits })

        /**
         * Returns the chain of [prompt] in pieces of [pieceBytes] bytes.
         *
         * @throws IllegalArgumentException if [pieceBytes] is not positive
         */
        public fun of(salt: CacheSalt, prompt: ByteArray, pieceBytes: Int): PrefixChain {
            require(pieceBytes > 0) { "pieceBytes must be positive, but is $pieceBytes" }
            val hasher = Hashing.xxh3_64()
            var previous = hasher.hashCharsToLong(salt.text)
            val hashes = LongArray(prompt.size / pieceBytes) { index ->
                val piece = hasher.hashBytesToLong(prompt, index * pieceBytes, pieceBytes)
                previous = hasher.hashLongLongToLong(previous, piece)
                previous
            }
            return PrefixChain(hashes)
        }
    }
}
