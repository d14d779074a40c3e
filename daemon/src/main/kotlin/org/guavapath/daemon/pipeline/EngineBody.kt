package org.guavapath.daemon.pipeline

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Builds the request body for an engine: the known fields of the caller's body and those the daemon sets. */
internal object EngineBody {
    private val forwardedFields = setOf(
        "model", "messages", "prompt", "temperature", "top_p", "top_k", "n", "stop", "seed", "presence_penalty",
        "frequency_penalty", "logit_bias", "response_format", "tools", "tool_choice", "user",
    )

    fun of(request: ModelRequest, response: CompletionResponse): String {
        val forwarded = request.body.filterKeys { it in forwardedFields }
        val added = buildJsonObject {
            put("max_tokens", request.outputTokens)
            put("stream", true)
            put("cache_salt", request.salt.text)
            put("priority", request.routed.route.priority.ordinal)
            if (response.text.isNotEmpty()) put("resume_text", JsonPrimitive(response.text.toString()))
        }
        return JsonObject(forwarded + added).toString()
    }
}
