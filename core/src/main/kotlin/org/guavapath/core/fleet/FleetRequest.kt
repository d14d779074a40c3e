/** A caller's request with what decisions need; how it was written on the wire is decoded before. */
package org.guavapath.core.fleet

import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime

/**
 * A part of a prompt. Requests with the same part before them share it.
 *
 * @property id the part's identity
 * @property tokens its length
 */
public data class PromptPart(public val id: String, public val tokens: Int)

/**
 * What a request to a model says about its prompt.
 *
 * @property model the model
 * @property promptTokens length of the prompt
 * @property largestOutput most tokens of the answer
 * @property parts the prompt's parts in order; the last belongs to the request or its session
 */
public data class PromptShape(
    public val model: ModelName,
    public val promptTokens: Long,
    public val largestOutput: Long,
    public val parts: List<PromptPart>,
)

/**
 * A request as far as it can be decoded without the configuration.
 *
 * @property id identity of this attempt of the caller
 * @property receivedAt when its head arrived
 * @property deadline when the caller stops waiting
 * @property prompt set for requests to models
 * @property resumeAfter last event that the caller has of an earlier answer, null for a new one
 */
public data class FleetRequest(
    public val id: RequestId,
    public val receivedAt: MonotonicTime,
    public val deadline: MonotonicTime,
    public val prompt: PromptShape?,
    public val resumeAfter: Long?,
)
