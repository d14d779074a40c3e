/** Reads JSON from outside the process within limits, so that no text exhausts the stack or the heap. */
package org.guavapath.core.json

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException

private const val MAX_REASON_LENGTH = 200

/** Reads JSON from outside the process. */
public object BoundedJson {
    /** Returns the value that [text] holds, or why it has none within [limits]. */
    public fun parse(text: String, limits: JsonLimits): Result<JsonElement, String> =
        parse(text.encodeToByteArray(), limits)

    /** Returns the value that the UTF-8 text [bytes] holds, or why it has none within [limits]. */
    public fun parse(bytes: ByteArray, limits: JsonLimits): Result<JsonElement, String> {
        val measure = JsonMeasure(limits)
        bytes.forEach { measure.add(it.toInt()) }
        return measure.excess?.let { Err(it) } ?: decode(bytes)
    }

    /** Decodes text that was found to be within limits. */
    internal fun decode(bytes: ByteArray): Result<JsonElement, String> = try {
        Ok(Json.parseToJsonElement(Charsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString()))
    } catch (exception: CharacterCodingException) {
        Err("not valid UTF-8: ${exception.message}")
    } catch (exception: SerializationException) {
        Err("not valid JSON: ${exception.message?.take(MAX_REASON_LENGTH)}")
    }
}
