package org.guavapath.standins.engine

import kotlinx.serialization.Serializable
import org.guavapath.core.routing.LoadedModel

/**
 * Settings of one engine stand-in.
 *
 * @property cacheBlocks capacity of the prefix cache in blocks
 * @property prefillTokensPerSecond prefill throughput
 * @property tokenMilliseconds time between two generated tokens
 * @property pieceTokens prompt tokens in one block of the prefix cache
 */
@Serializable
internal data class EngineSettings(
    val name: String,
    val port: Int,
    val models: List<LoadedModel>,
    val cacheBlocks: Int = 400,
    val prefillTokensPerSecond: Long = 20_000,
    val tokenMilliseconds: Long = 5,
    val bytesPerToken: Int = 4,
    val pieceTokens: Int = 2_000,
)

/**
 * Faults that a test injects.
 *
 * @property breakAfterTokens streams break off, with no end marker, before the token with this index; negative for none
 * @property silentAfterTokens streams stall, still connected, before the token with this index; negative for none
 * @property refuse requests are refused with status 503 before any work
 * @property skipSequence streams omit the event with this sequence number; negative for none
 * @property foreignIdAt the event with this sequence number carries the id of another request; negative for none
 */
@Serializable
internal data class EngineFaults(
    val breakAfterTokens: Int = -1,
    val silentAfterTokens: Int = -1,
    val refuse: Boolean = false,
    val skipSequence: Int = -1,
    val foreignIdAt: Int = -1,
)

/**
 * Request counts of an engine stand-in, for tests.
 *
 * @property callerKeysSeen requests that contain a caller key, which must not reach an engine
 */
@Serializable
internal data class EngineCounts(val started: Long, val finished: Long, val cancelled: Long, val callerKeysSeen: Long)
