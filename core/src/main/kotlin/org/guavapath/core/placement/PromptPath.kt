package org.guavapath.core.placement

import com.dynatrace.hash4j.hashing.Hashing
import org.guavapath.core.fleet.PromptPart
import org.guavapath.core.routing.BlockHash
import org.guavapath.core.routing.CacheSalt

/**
 * The steps of a prompt: each stands for one part and all parts before it, under one cache salt.
 *
 * @property salt the salt under which the parts are cached
 * @property steps hash of each part with all before it
 * @property tokensUpTo tokens of the prompt up to and with each step
 */
public class PromptPath private constructor(
    public val salt: CacheSalt,
    public val steps: List<BlockHash>,
    public val tokensUpTo: List<Int>,
) {
    /** The steps that other requests may share: all but the last, which is the request's own. */
    public val sharedSteps: List<BlockHash> = steps.dropLast(1)

    /** Tokens of the shared steps. */
    public val sharedTokens: Int get() = if (steps.size > 1) tokensUpTo[steps.size - 2] else 0

    /** Makes paths. */
    public companion object {
        /** Returns the path of [parts] under [salt]. */
        public fun of(salt: CacheSalt, parts: List<PromptPart>): PromptPath {
            val hasher = Hashing.xxh3_64()
            var previous = hasher.hashCharsToLong(salt.text)
            val steps = parts.map { part ->
                previous = hasher.hashLongLongToLong(previous, hasher.hashCharsToLong(part.id))
                BlockHash(previous)
            }
            return PromptPath(salt, steps, parts.runningFold(0) { sum, part -> sum + part.tokens }.drop(1))
        }
    }
}
