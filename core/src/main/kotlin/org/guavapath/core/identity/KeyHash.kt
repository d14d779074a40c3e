package org.guavapath.core.identity

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64
import java.util.HexFormat

private const val KEY_BYTES = 32
private const val HASH_HEX_DIGITS = 64
private const val KEY_PREFIX = "gp_"

/**
 * SHA-256 hash of a caller's key, in lower-case hexadecimal.
 *
 * Keys have 256 random bits, so that a brute-force search of an unsalted hash is infeasible.
 *
 * @property hexadecimal its 64 digits
 */
@Serializable
@JvmInline
public value class KeyHash(public val hexadecimal: String) {
    /** Compares two hashes in constant time. */
    public fun matches(other: KeyHash): Boolean =
        MessageDigest.isEqual(hexadecimal.toByteArray(), other.hexadecimal.toByteArray())

    override fun toString(): String = hexadecimal

    /** Creates and validates hashes. */
    public companion object {
        /** Returns the hash of [key]. */
        public fun of(key: String): KeyHash {
            val digest = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
            return KeyHash(HexFormat.of().formatHex(digest))
        }

        /** Returns whether [text] is formatted as a hash. */
        public fun isValid(text: String): Boolean =
            text.length == HASH_HEX_DIGITS && text.all { it in '0'..'9' || it in 'a'..'f' }
    }
}

/** Generates caller keys from a secure random source. */
public object KeyGenerator {
    private val random = SecureRandom()

    /** Returns a new key of 256 random bits. */
    public fun newKey(): String {
        val bytes = ByteArray(KEY_BYTES)
        random.nextBytes(bytes)
        return KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }
}
