package org.guavapath.daemon.pipeline

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.runCatching
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.guavapath.core.results.RequestCode
import java.nio.ByteBuffer

private const val MAX_JSON_DEPTH = 64

/** Parses a request body as a JSON object, with limited nesting. */
internal object JsonBody {
    fun read(bytes: ByteArray): Result<JsonObject, Refusal> =
        runCatching { Charsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString() }
            .mapError { Refusal(RequestCode.InvalidUtf8) }
            .flatMap { parse(it) }

    private fun parse(text: String): Result<JsonObject, Refusal> {
        if (depth(text) > MAX_JSON_DEPTH) {
            return Err(Refusal(RequestCode.MalformedJson, "The JSON is nested deeper than $MAX_JSON_DEPTH levels."))
        }
        return runCatching { Json.parseToJsonElement(text) }
            .mapError { Refusal(RequestCode.MalformedJson) }
            .flatMap { if (it is JsonObject) Ok(it) else Err(Refusal(RequestCode.InvalidRequest, "No JSON object.")) }
    }

    /** Returns the nesting depth of objects and arrays; the parser itself does not limit its recursion. */
    private fun depth(text: String): Int {
        var open = 0
        var deepest = 0
        var inString = false
        var index = 0
        while (index < text.length) {
            when (text[index]) {
                '\\' -> index += 1
                '"' -> inString = !inString
                '{', '[' -> if (!inString) open += 1
                '}', ']' -> if (!inString) open -= 1
            }
            deepest = maxOf(deepest, open)
            index += 1
        }
        return deepest
    }
}
