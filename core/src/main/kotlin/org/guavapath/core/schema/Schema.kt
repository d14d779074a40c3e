/**
 * Validation of JSON documents against a schema, used for the configuration and for settings.
 *
 * Every fault names the JSON path, the value and what is allowed. An unknown key is a fault that
 * names the most similar known key.
 */
package org.guavapath.core.schema

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

private const val MAX_VALUE_CHARACTERS = 60

/**
 * A value that violates the schema.
 *
 * @property path JSON path of the value
 * @property value the value as JSON text, truncated
 * @property allowed description of the allowed values
 */
public data class SchemaFault(public val path: String, public val value: String, public val allowed: String) {
    override fun toString(): String = "$path: $value is not allowed; allowed is $allowed"
}

/** Describes the JSON values that are allowed at a path. */
public sealed class Schema {
    /** Returns the faults of [element] at [path]; empty if it is valid. */
    public abstract fun faults(element: JsonElement, path: String): List<SchemaFault>

    protected fun fault(path: String, element: JsonElement, allowed: String): List<SchemaFault> =
        listOf(SchemaFault(path, element.toString().take(MAX_VALUE_CHARACTERS), allowed))

    /** A whole number from [minimum] to [maximum], inclusive. */
    public class WholeNumber(private val minimum: Long, private val maximum: Long) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            val number = (element as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull
            if (number != null && number in minimum..maximum) return emptyList()
            return fault(path, element, "a whole number from $minimum to $maximum")
        }
    }

    /** A number from [minimum] to [maximum], inclusive. */
    public class Number(private val minimum: Double, private val maximum: Double) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            val number = (element as? JsonPrimitive)?.takeIf { !it.isString }?.doubleOrNull
            if (number != null && number in minimum..maximum) return emptyList()
            return fault(path, element, "a number from $minimum to $maximum")
        }
    }

    /** A string that matches [pattern]; [description] describes it in error messages. */
    public class Text(private val pattern: Regex, private val description: String) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
            if (text != null && pattern.matches(text)) return emptyList()
            return fault(path, element, description)
        }
    }

    /** One of the strings in [choices]. */
    public class Choice(private val choices: List<String>) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
            if (text in choices) return emptyList()
            return fault(path, element, "one of ${choices.joinToString(", ")}")
        }
    }

    /** True or false. */
    public data object BooleanValue : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            val parsed = (element as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
            return if (parsed != null) emptyList() else fault(path, element, "true or false")
        }
    }

    /** A list whose items match [element]. */
    public class ListOf(private val element: Schema) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            if (element !is JsonArray) return fault(path, element, "a list")
            return element.flatMapIndexed { index, item -> this.element.faults(item, "$path[$index]") }
        }
    }

    /** A list of objects that match [element]; their `name` identifies them in paths. */
    public class NamedList(private val element: Record) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            if (element !is JsonArray) return fault(path, element, "a list of named entries")
            return element.flatMapIndexed { index, item ->
                val name = ((item as? JsonObject)?.get("name") as? JsonPrimitive)?.content
                this.element.faults(item, "$path[${name ?: index}]")
            }
        }
    }

    /** An object with [fields]; no other keys are allowed. */
    public class Record(private val fields: Map<String, Field>) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            if (element !is JsonObject) return fault(path, element, "an object")
            val unknown = element.keys.filter { it !in fields }.flatMap { unknownKey(it, path, element) }
            val missing = fields.filter { it.value.required && it.key !in element }.keys
                .map { SchemaFault("$path.$it", "nothing", "a value, which must be given") }
            val invalid = element.filterKeys { it in fields }
                .flatMap { (key, value) -> fields.getValue(key).schema.faults(value, "$path.$key") }
            return unknown + missing + invalid
        }

        private fun unknownKey(key: String, path: String, element: JsonObject): List<SchemaFault> {
            val nearest = fields.keys.minByOrNull { editDistance(it, key) }
            return fault("$path.$key", element.getValue(key), "no such key; the nearest known key is $nearest")
        }
    }
}

/**
 * A field of a [Schema.Record].
 *
 * @property schema schema of its value
 * @property required whether it must be present
 */
public class Field(public val schema: Schema, public val required: Boolean)

/** Builder of a [Schema.Record]. */
public class RecordBuilder internal constructor() {
    private val fields = mutableMapOf<String, Field>()

    /** Adds a field that must be present. */
    public fun required(name: String, schema: Schema) {
        fields[name] = Field(schema, required = true)
    }

    /** Adds a field that may be omitted. */
    public fun optional(name: String, schema: Schema) {
        fields[name] = Field(schema, required = false)
    }

    internal fun build(): Schema.Record = Schema.Record(fields.toMap())
}

/** Builds the schema of an object. */
public fun record(build: RecordBuilder.() -> Unit): Schema.Record = RecordBuilder().apply(build).build()

/** Returns the Levenshtein distance between [first] and [second]. */
internal fun editDistance(first: String, second: String): Int {
    var previous = IntArray(second.length + 1) { it }
    for (row in 1..first.length) {
        val current = IntArray(second.length + 1)
        current[0] = row
        for (column in 1..second.length) {
            val change = if (first[row - 1] == second[column - 1]) 0 else 1
            current[column] = minOf(previous[column] + 1, current[column - 1] + 1, previous[column - 1] + change)
        }
        previous = current
    }
    return previous[second.length]
}
