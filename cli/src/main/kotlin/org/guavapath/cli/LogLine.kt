package org.guavapath.cli

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Fields that the log encoder adds to every line; they are no details of the event. */
private val COMMON_FIELDS = setOf("@timestamp", "message", "logger_name", "thread_name", "level")

/**
 * A line of a gateway's log.
 *
 * @property source the VM that wrote the line, as named by the log collector or else the file name
 * @property time the timestamp, in a format that sorts as text
 * @property message the event
 * @property fields the details of the event
 */
internal data class LogLine(
    val source: String,
    val time: String,
    val message: String,
    val fields: Map<String, String>,
) {
    val requestId: String? get() = fields["requestId"]

    /** Returns the value of [field]; null if it is absent or not a number. */
    fun number(field: String): Double? = fields[field]?.toDoubleOrNull()

    override fun toString(): String =
        (listOf(time, source, message) + fields.map { (name, value) -> "$name=$value" }).joinToString(" ")

    companion object {
        /**
         * Parses [text]; returns null if it has no JSON object with a message. Log collectors put the name of the VM
         * before the object; without it, [file] is the source.
         */
        fun of(text: String, file: String): LogLine? {
            val start = text.indexOf('{')
            val json = if (start < 0) null else parse(text.substring(start))
            val message = json?.text("message") ?: return null
            val source = text.substring(0, start).trim().substringAfterLast(' ').ifEmpty { file }
            val fields = json.filterKeys { it !in COMMON_FIELDS }.mapValues { json.text(it.key) ?: it.value.toString() }
            return LogLine(source, json.text("@timestamp").orEmpty(), message, fields)
        }

        private fun parse(text: String): JsonObject? = try {
            Json.parseToJsonElement(text) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

        private fun JsonObject.text(field: String): String? = (this[field] as? JsonPrimitive)?.content
    }
}
