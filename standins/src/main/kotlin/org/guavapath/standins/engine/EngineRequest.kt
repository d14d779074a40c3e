package org.guavapath.standins.engine

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonObject
import org.guavapath.core.routing.CacheSalt
import org.guavapath.core.routing.PrefixChain

private const val DEFAULT_OUTPUT_TOKENS = 16

/** A completion or chat completion request parsed from its JSON body. */
internal class EngineRequest(body: JsonObject, private val settings: EngineSettings) {
    val isChat: Boolean = "messages" in body
    val model: String = body.text("model").orEmpty()
    val outputTokens: Int = (body["max_tokens"] as? JsonPrimitive)?.intOrNull ?: DEFAULT_OUTPUT_TOKENS
    val prompt: String = body.text("prompt") ?: chatPrompt(body)
    private val resumeText: String = body.text("resume_text").orEmpty()
    private val salt = CacheSalt(body.text("cache_salt").orEmpty())

    /** Index of the first token to generate; above 0 if the request resumes an earlier stream. */
    val firstTokenIndex: Int = resumeText.count { it == ' ' }
    val promptTokens: Int = (prompt.toByteArray().size + settings.bytesPerToken - 1) / settings.bytesPerToken

    fun chain(): PrefixChain =
        PrefixChain.of(salt, prompt.toByteArray(), settings.bytesPerToken * settings.pieceTokens)

    /** Returns the token at [index], which is the same on every engine for the same prompt. */
    fun token(index: Int): String = "t" + (prompt.hashCode().toUInt() % VOCABULARY_SIZE + index.toUInt()) + " "

    private fun chatPrompt(body: JsonObject): String =
        (body["messages"] as? JsonArray).orEmpty().joinToString("") { element ->
            val message = element.jsonObject
            "${message.text("role")}\n${message.text("content")}\n"
        }

    private companion object {
        const val VOCABULARY_SIZE = 100_000u

        fun JsonObject.text(key: String): String? = (this[key] as? JsonPrimitive)?.contentOrNull
    }
}
