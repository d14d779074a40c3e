package org.guavapath.core.placement

import com.dynatrace.hash4j.hashing.Hashing
import org.guavapath.core.fleet.PromptPart
import org.guavapath.core.routing.BlockHash
import org.guavapath.core.routing.CacheSalt

/**
 * The prefixes of a prompt under one cache salt. Each prefix ends with one of the prompt's parts.
 *
 * @property salt the salt under which the parts are cached
 * @property prefixes hashes of the prefixes, shortest first
 * @property tokensUpTo number of tokens in each prefix
 */
public class PromptPath private constructor(
    public val salt: CacheSalt,
    public val prefixes: List<BlockHash>,
    public val tokensUpTo: List<Int>,
) {
    /** Prefixes that other requests may share: all but the last, which ends with the request's own part. */
    public val sharedPrefixes: List<BlockHash> = prefixes.dropLast(1)

    /** Number of tokens in the longest shared prefix, 0 if there is none. */
    public val sharedTokens: Int get() = if (prefixes.size > 1) tokensUpTo[prefixes.size - 2] else 0

    /** Creates paths. */
    public companion object {
        /** Returns the path of [parts] under [salt]. */
        public fun of(salt: CacheSalt, parts: List<PromptPart>): PromptPath {
            val hasher = Hashing.xxh3_64()
            var previous = hasher.hashCharsToLong(salt.text)
            val prefixes = parts.map { part ->
                previous = hasher.hashLongLongToLong(previous, hasher.hashCharsToLong(part.id))
                BlockHash(previous)
            }
            return PromptPath(salt, prefixes, parts.runningFold(0) { sum, part -> sum + part.tokens }.drop(1))
        }
    }
}
