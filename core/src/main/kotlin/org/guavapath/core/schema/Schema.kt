/**
 * Checks of JSON documents against a description of what is allowed.
 *
 * Every fault names the file, the JSON path, the value and what is allowed. Unknown keys are
 * faults and name the nearest known key. Used for the configuration and for daemon settings.
 */
package org.guavapath.core.schema

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

private const val LONGEST_SHOWN_VALUE = 60

/**
 * One fault of a document.
 *
 * @property path JSON path of the value
 * @property value the value as JSON text, cut to a readable length
 * @property allowed what may stand there
 */
public data class SchemaFault(public val path: String, public val value: String, public val allowed: String) {
    override fun toString(): String = "$path: $value is not allowed; allowed is $allowed"
}

/** Description of the JSON values that may stand at one place. */
public sealed class Schema {
    /** Returns the faults of [element], which stands at [path]. */
    public abstract fun faults(element: JsonElement, path: String): List<SchemaFault>

    protected fun fault(path: String, element: JsonElement, allowed: String): List<SchemaFault> =
        listOf(SchemaFault(path, element.toString().take(LONGEST_SHOWN_VALUE), allowed))

    /** A whole number from [least] to [most]. */
    public class WholeNumber(private val least: Long, private val most: Long) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            val number = (element as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull
            if (number != null && number in least..most) return emptyList()
            return fault(path, element, "a whole number from $least to $most")
        }
    }

    /** A number from [least] to [most]. */
    public class Number(private val least: Double, private val most: Double) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            val number = (element as? JsonPrimitive)?.takeIf { !it.isString }?.doubleOrNull
            if (number != null && number in least..most) return emptyList()
            return fault(path, element, "a number from $least to $most")
        }
    }

    /** A text that matches [pattern], described in words by [description]. */
    public class Text(private val pattern: Regex, private val description: String) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
            if (text != null && pattern.matches(text)) return emptyList()
            return fault(path, element, description)
        }
    }

    /** One of the texts [choices]. */
    public class Choice(private val choices: List<String>) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
            if (text in choices) return emptyList()
            return fault(path, element, "one of ${choices.joinToString(", ")}")
        }
    }

    /** True or false. */
    public data object Truth : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            val truth = (element as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
            return if (truth != null) emptyList() else fault(path, element, "true or false")
        }
    }

    /** A list of [element]. */
    public class ListOf(private val element: Schema) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            if (element !is JsonArray) return fault(path, element, "a list")
            return element.flatMapIndexed { index, item -> this.element.faults(item, "$path[$index]") }
        }
    }

    /** A list of objects, each with a `name` of its own. */
    public class NamedList(private val element: Record) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            if (element !is JsonArray) return fault(path, element, "a list of named entries")
            return element.flatMapIndexed { index, item ->
                val name = ((item as? JsonObject)?.get("name") as? JsonPrimitive)?.content
                this.element.faults(item, "$path[${name ?: index}]")
            }
        }
    }

    /** An object with the fields [fields]. */
    public class Record(private val fields: Map<String, Field>) : Schema() {
        override fun faults(element: JsonElement, path: String): List<SchemaFault> {
            if (element !is JsonObject) return fault(path, element, "an object")
            val unknown = element.keys.filter { it !in fields }.flatMap { unknownKey(it, path, element) }
            val missing = fields.filter { it.value.required && it.key !in element }.keys
                .map { SchemaFault("$path.$it", "nothing", "a value, which must be given") }
            val wrong = element.filterKeys { it in fields }
                .flatMap { (key, value) -> fields.getValue(key).schema.faults(value, "$path.$key") }
            return unknown + missing + wrong
        }

        private fun unknownKey(key: String, path: String, element: JsonObject): List<SchemaFault> {
            val nearest = fields.keys.minByOrNull { editDistance(it, key) }
            return fault("$path.$key", element.getValue(key), "no such key; the nearest known key is $nearest")
        }
    }
}

/**
 * One field of a [Schema.Record].
 *
 * @property schema what may stand in it
 * @property required whether it must be given
 */
public class Field(public val schema: Schema, public val required: Boolean)

/** Builder of a [Schema.Record]. */
public class RecordBuilder internal constructor() {
    private val fields = mutableMapOf<String, Field>()

    /** Adds a field that must be given. */
    public fun required(name: String, schema: Schema) {
        fields[name] = Field(schema, required = true)
    }

    /** Adds a field that may be left out. */
    public fun optional(name: String, schema: Schema) {
        fields[name] = Field(schema, required = false)
    }

    internal fun build(): Schema.Record = Schema.Record(fields.toMap())
}

/** Describes an object by its fields. */
public fun record(build: RecordBuilder.() -> Unit): Schema.Record = RecordBuilder().apply(build).build()

/** Returns the number of single-letter changes between [first] and [second]. */
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
