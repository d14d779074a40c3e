package org.guavapath.standins.traffic

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.time.Duration

private const val OUTPUT_TOKENS = 12
private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
private val CALL_TIMEOUT = Duration.ofMinutes(1)

/** The outcome of one request of the traffic client. */
internal data class TrafficResponse(
    val number: Int,
    val workspace: String,
    val daemon: String,
    val isStreamed: Boolean,
    val result: String,
    val endpoint: String,
    val promptTokens: Long,
    val cachedTokens: Long,
    val firstTokenMilliseconds: Long,
    val isComplete: Boolean,
) {
    override fun toString(): String {
        val form = if (isStreamed) "stream" else "whole"
        return "%3d %-11s %-22s %-6s result %s endpoint %-10s cached %5d of %5d first token %4d ms".format(
            number, workspace, daemon, form, result, endpoint, cachedTokens, promptTokens, firstTokenMilliseconds,
        )
    }
}

/** Sends completion requests to the daemons in turn. */
internal class TrafficClient(private val daemons: List<String>, private val model: String) {
    private val client = OkHttpClient.Builder().callTimeout(CALL_TIMEOUT).readTimeout(CALL_TIMEOUT).build()

    fun send(number: Int, key: TrafficKey, prompt: String, stream: Boolean): TrafficResponse {
        val daemon = daemons[number % daemons.size]
        val body = buildJsonObject {
            put("model", model)
            put("prompt", prompt)
            put("max_tokens", OUTPUT_TOKENS)
            put("stream", stream)
        }
        val request = Request.Builder().url("$daemon/v1/completions")
            .header("Authorization", "Bearer ${key.key}")
            .post(body.toString().toRequestBody())
            .build()
        val startedAt = System.nanoTime()
        val draft = TrafficResponse(number, key.workspace, daemon, stream, "none", "none", 0, 0, 0, isComplete = false)
        return try {
            client.newCall(request).execute().use { parse(it, draft, startedAt) }
        } catch (exception: IOException) {
            draft.copy(result = exception.javaClass.simpleName)
        }
    }

    private fun parse(response: Response, draft: TrafficResponse, startedAt: Long): TrafficResponse {
        val source = response.body.source()
        val firstLine = source.readUtf8Line().orEmpty()
        val firstTokenMilliseconds = (System.nanoTime() - startedAt) / NANOSECONDS_PER_MILLISECOND
        val lines = listOf(firstLine) + generateSequence { source.readUtf8Line() }
        val usage = if (draft.isStreamed) streamUsage(lines) else usageOf(firstLine)
        val isComplete = response.isSuccessful && usage != null && (!draft.isStreamed || "data: [DONE]" in lines)
        return draft.copy(
            result = response.header("X-Guavapath-Result") ?: "none",
            endpoint = response.header("X-Guavapath-Endpoint") ?: "none",
            promptTokens = usage.tokenCount("prompt_tokens"),
            cachedTokens = usage?.get("prompt_tokens_details")?.jsonObject.tokenCount("cached_tokens"),
            firstTokenMilliseconds = firstTokenMilliseconds,
            isComplete = isComplete,
        )
    }

    private fun streamUsage(lines: List<String>): JsonObject? =
        lines.filter { it.startsWith("data: {") }.firstNotNullOfOrNull { usageOf(it.removePrefix("data: ")) }

    private fun usageOf(text: String): JsonObject? =
        (Json.parseToJsonElement(text) as? JsonObject)?.get("usage") as? JsonObject

    private fun JsonObject?.tokenCount(key: String): Long = (this?.get(key) as? JsonPrimitive)?.longOrNull ?: 0
}
