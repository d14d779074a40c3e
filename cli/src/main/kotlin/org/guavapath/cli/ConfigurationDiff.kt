package org.guavapath.cli

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.guavapath.core.config.Configuration

/** A difference between two configurations; null means that the value is absent. */
@Serializable
internal data class Difference(val path: String, val before: String?, val after: String?) {
    override fun toString(): String = when {
        before == null -> "+ $path = $after"
        after == null -> "- $path (was $before)"
        else -> "~ $path: $before -> $after"
    }
}

/** Compares two configurations field by field; list entries with names are matched by name. */
internal object ConfigurationDiff {
    private val json = Json { encodeDefaults = true }

    fun between(before: Configuration, after: Configuration): List<Difference> = compare(
        json.encodeToJsonElement(Configuration.serializer(), before),
        json.encodeToJsonElement(Configuration.serializer(), after),
        "$",
    )

    private fun compare(before: JsonElement?, after: JsonElement?, path: String): List<Difference> {
        val beforeFields = fieldsOf(before)
        val afterFields = fieldsOf(after)
        return when {
            before == after -> emptyList()
            beforeFields == null || afterFields == null ->
                listOf(Difference(path, before?.toString(), after?.toString()))
            else -> (beforeFields.keys + afterFields.keys).flatMap { key ->
                compare(beforeFields[key], afterFields[key], path + key)
            }
        }
    }

    /** Returns the fields of an object or the entries of a list of named entries, by path segment; null for others. */
    private fun fieldsOf(element: JsonElement?): Map<String, JsonElement>? = when {
        element is JsonObject -> element.mapKeys { ".${it.key}" }
        element is JsonArray && element.all { nameOf(it) != null } -> element.associateBy { "[${nameOf(it)}]" }
        else -> null
    }

    private fun nameOf(element: JsonElement): String? {
        val name = (element as? JsonObject)?.get("name") as? JsonPrimitive
        return name?.content
    }
}
