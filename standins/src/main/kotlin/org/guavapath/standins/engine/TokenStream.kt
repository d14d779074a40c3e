package org.guavapath.standins.engine

import io.javalin.http.Context
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.io.IOException

private const val SILENCE_MILLISECONDS = 600_000L

/** Writes the tokens of one request as server-sent events, with the faults that a test injects. */
internal class TokenStream(
    private val context: Context,
    private val request: EngineRequest,
    private val cachedTokens: Int,
    private val tokenMilliseconds: Long,
    private val faults: EngineFaults,
) {
    private val id = context.header("X-Request-Id").orEmpty()
    private var sequence = 0

    /** Returns whether the whole response was written; [isAlive] turns false when the engine crashes. */
    fun write(isAlive: () -> Boolean): Boolean {
        context.contentType("text/event-stream")
        return try {
            for (index in request.firstTokenIndex until request.outputTokens) {
                if (!isAlive() || applyFaults(index)) return false
                Thread.sleep(tokenMilliseconds)
                sendEvent(chunk { putToken(index) })
            }
            sendEvent(usage())
            send("data: [DONE]\n\n")
            true
        } catch (_: IOException) {
            false
        }
    }

    /** Stalls if the stream is to fall silent at [index]; returns whether it is to break there. */
    private fun applyFaults(index: Int): Boolean {
        if (index == faults.silentAfterTokens) Thread.sleep(SILENCE_MILLISECONDS)
        return index == faults.breakAfterTokens
    }

    private fun JsonObjectBuilder.putToken(index: Int) {
        val finishReason = if (index == request.outputTokens - 1) "length" else null
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                if (request.isChat) putJsonObject("delta") { put("content", request.token(index)) }
                if (!request.isChat) put("text", request.token(index))
                put("finish_reason", finishReason)
            }
        }
    }

    private fun usage(): JsonObject = chunk {
        putJsonArray("choices") {}
        putJsonObject("usage") {
            put("prompt_tokens", request.promptTokens)
            put("completion_tokens", request.outputTokens - request.firstTokenIndex)
            putJsonObject("prompt_tokens_details") { put("cached_tokens", cachedTokens) }
        }
    }

    private fun chunk(content: JsonObjectBuilder.() -> Unit): JsonObject = buildJsonObject {
        val responseId = if (sequence + 1 == faults.foreignIdAt) "another-request" else id
        put("id", JsonPrimitive(responseId))
        put("object", if (request.isChat) "chat.completion.chunk" else "text_completion")
        put("model", request.model)
        content()
    }

    private fun sendEvent(chunk: JsonObject) {
        sequence += 1
        if (sequence == faults.skipSequence) return
        send("id: $sequence\ndata: $chunk\n\n")
    }

    private fun send(text: String) {
        val output = context.res().outputStream
        output.write(text.toByteArray())
        output.flush()
    }
}
