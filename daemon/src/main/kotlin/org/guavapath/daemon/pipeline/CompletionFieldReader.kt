package org.guavapath.daemon.pipeline

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.longOrNull
import org.guavapath.core.config.Model
import org.guavapath.core.results.RequestCode

private const val MAX_OUTPUT_TOKENS = 1_000_000L

/** Reads and validates the fields of a completion request for [model]. */
internal class CompletionFieldReader(private val model: Model, private val kind: CompletionKind) {
    fun read(body: JsonObject): Result<CompletionFields, Refusal> {
        val prompt = promptOf(body)
        val output = outputTokens(body)
        val stream = streamOf(body)
        return when {
            prompt == null -> invalid("The prompt or the messages are missing or not texts.")
            output == null -> invalid("max_tokens must be a whole number from 1 to $MAX_OUTPUT_TOKENS.")
            stream == null -> invalid("stream must be true or false.")
            else -> Ok(CompletionFields(body, prompt.toByteArray(), output, stream))
        }
    }

    private fun promptOf(body: JsonObject): String? = when (kind) {
        CompletionKind.CHAT -> chatPrompt(body["messages"])
        CompletionKind.TEXT -> textOf(body["prompt"])?.ifEmpty { null }
    }

    private fun chatPrompt(element: JsonElement?): String? {
        val messages = (element as? JsonArray).orEmpty().map { messageText(it) }
        return messages.filterNotNull().takeIf { it.isNotEmpty() && it.size == messages.size }?.joinToString("")
    }

    private fun messageText(element: JsonElement): String? {
        val message = element as? JsonObject
        val role = textOf(message?.get("role"))
        val content = textOf(message?.get("content"))
        return if (role == null || content == null) null else "$role\n$content\n"
    }

    private fun textOf(element: JsonElement?): String? = (element as? JsonPrimitive)?.takeIf { it.isString }?.content

    private fun outputTokens(body: JsonObject): Long? {
        val element = body["max_tokens"] ?: body["max_completion_tokens"] ?: return model.largestOutput
        val number = (element as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull
        return number?.takeIf { it in 1..MAX_OUTPUT_TOKENS }
    }

    private fun streamOf(body: JsonObject): Boolean? {
        val element = body["stream"] ?: return false
        return (element as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
    }

    private fun invalid(detail: String) = Err(Refusal(RequestCode.InvalidRequest, detail))
}
