package org.guavapath.cli

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Fields that every line has and that say nothing about its matter. */
private val FRAME = setOf("@timestamp", "message", "logger_name", "thread_name", "level")

/**
 * One line of a gateway's log.
 *
 * @property source the VM that wrote it, as the collected line or its file says
 * @property time when it was written, in an order that compares as text
 * @property message what happened
 * @property fields what it happened to and why
 */
internal data class LogLine(
    val source: String,
    val time: String,
    val message: String,
    val fields: Map<String, String>,
) {
    val requestId: String? get() = fields["requestId"]

    /** Returns the number in [field], null if there is none. */
    fun number(field: String): Double? = fields[field]?.toDoubleOrNull()

    override fun toString(): String =
        (listOf(time, source, message) + fields.map { (name, value) -> "$name=$value" }).joinToString(" ")

    companion object {
        /**
         * Reads [text]; null if it holds no JSON object with a message. Log collectors put the name of the VM before
         * the object; without one, the line is [file]'s.
         */
        fun of(text: String, file: String): LogLine? {
            val start = text.indexOf('{')
            val json = if (start < 0) null else parse(text.substring(start))
            val message = json?.text("message") ?: return null
            val source = text.substring(0, start).trim().substringAfterLast(' ').ifEmpty { file }
            val fields = json.filterKeys { it !in FRAME }.mapValues { json.text(it.key) ?: it.value.toString() }
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
