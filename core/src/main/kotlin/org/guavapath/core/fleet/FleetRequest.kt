/** Requests of callers, decoded from the wire format and reduced to what routing and admission need. */
package org.guavapath.core.fleet

import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime

/**
 * A part of a prompt. Requests whose prompts start with the same parts can share their cached state.
 *
 * @property id the part's identity
 * @property tokens its length in tokens
 */
public data class PromptPart(public val id: String, public val tokens: Int)

/**
 * Description of the prompt of a request to a model.
 *
 * @property model the model
 * @property promptTokens length of the prompt in tokens
 * @property maxOutputTokens maximum number of tokens in the response
 * @property parts the prompt's parts in order; the last is specific to the request or its session
 */
public data class PromptShape(
    public val model: ModelName,
    public val promptTokens: Long,
    public val maxOutputTokens: Long,
    public val parts: List<PromptPart>,
)

/**
 * The properties of a request that can be decoded without the configuration.
 *
 * @property id identity of this attempt of the caller
 * @property receivedAt when its header section arrived
 * @property deadline when the caller stops waiting
 * @property prompt the prompt's shape, null for plain requests
 * @property resumeAfter last event that the caller received of an interrupted response, null for a new one
 */
public data class FleetRequest(
    public val id: RequestId,
    public val receivedAt: MonotonicTime,
    public val deadline: MonotonicTime,
    public val prompt: PromptShape?,
    public val resumeAfter: Long?,
)
