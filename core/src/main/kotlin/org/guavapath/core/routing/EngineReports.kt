/** Reports that engines send: cache events and load. Both may arrive late and with gaps. */
package org.guavapath.core.routing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.WeightsVersion

/** A change to an engine's prefix cache. */
@Serializable
public sealed class CacheEvent {
    /** Consecutive number of the event within the engine's incarnation. */
    public abstract val sequence: Long

    /** The engine stored [block] in its cache. */
    @Serializable
    @SerialName("stored")
    public data class Stored(override val sequence: Long, public val block: Long) : CacheEvent()

    /** The engine evicted [block] from its cache. */
    @Serializable
    @SerialName("evicted")
    public data class Evicted(override val sequence: Long, public val block: Long) : CacheEvent()
}

/**
 * Cache events of one engine that follow a sequence number.
 *
 * @property incarnation the engine's incarnation; a crash starts a new one with an empty cache
 * @property events the events in order
 */
@Serializable
public data class CacheEventBatch(public val incarnation: Incarnation, public val events: List<CacheEvent>)

/**
 * A model that an engine has loaded.
 *
 * @property model the model's name
 * @property version version of its weights
 */
@Serializable
public data class LoadedModel(public val model: ModelName, public val version: WeightsVersion)

/**
 * Load of an engine.
 *
 * @property incarnation the engine's incarnation
 * @property running number of requests in generation
 * @property queuedTokens prompt tokens queued for prefill
 * @property prefillTokensPerSecond prefill throughput
 * @property models models that the engine can serve now
 * @property cacheSequence sequence number of the latest cache event
 */
@Serializable
public data class LoadReport(
    public val incarnation: Incarnation,
    public val running: Int,
    public val queuedTokens: Long,
    public val prefillTokensPerSecond: Long,
    public val models: List<LoadedModel>,
    public val cacheSequence: Long,
)
