/**
 * Merging of the files of a configuration folder.
 *
 * Files are merged in the order of their names. Objects are merged by key, lists of named entries by
 * name, and any other value of a later file replaces the earlier one. An entry
 * `{"name": "x", "remove": true}` removes the earlier entry with that name.
 */
package org.guavapath.core.config

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

private const val NAME_KEY = "name"
private const val REMOVE_KEY = "remove"

/**
 * One file of a configuration folder.
 *
 * @property name file name, which determines the merge order
 * @property content the parsed file
 */
public data class ConfigurationFile(public val name: String, public val content: JsonObject)

/**
 * A merged document and the files that its values come from.
 *
 * @property content the merged document
 * @property origins the last file that set a value, by JSON path
 * @property unmatchedRemovals the file of each removal without an earlier entry, by JSON path
 */
public class MergedDocument(
    public val content: JsonObject,
    public val origins: Map<String, String>,
    public val unmatchedRemovals: Map<String, String>,
) {
    /** Returns the file that set the value at [path], or else its nearest enclosing value. */
    public fun originOf(path: String): String =
        origins.filterKeys { path == it || path.startsWith("$it.") || path.startsWith("$it[") }
            .maxByOrNull { it.key.length }?.value ?: "(no file)"
}

/** Merges [files] in the order of their names. */
public fun mergeFiles(files: List<ConfigurationFile>): MergedDocument {
    val merger = DocumentMerger()
    val content = files.sortedBy { it.name }.fold(JsonObject(emptyMap())) { merged, file ->
        merger.file = file.name
        merger.mergeObjects(merged, file.content, "$")
    }
    return MergedDocument(content, merger.origins, merger.unmatchedRemovals)
}

private class DocumentMerger {
    val origins = mutableMapOf<String, String>()
    val unmatchedRemovals = mutableMapOf<String, String>()
    var file = ""

    fun mergeObjects(earlier: JsonObject, later: JsonObject, path: String): JsonObject {
        origins.putIfAbsent(path, file)
        val merged = earlier.toMutableMap()
        later.forEach { (key, value) -> merged[key] = mergeValues(earlier[key], value, "$path.$key") }
        return JsonObject(merged)
    }

    private fun mergeValues(earlier: JsonElement?, later: JsonElement, path: String): JsonElement {
        origins[path] = file
        return when {
            later is JsonObject -> mergeObjects(earlier as? JsonObject ?: JsonObject(emptyMap()), later, path)
            later is JsonArray && later.isNamedList() -> mergeNamedLists(earlier as? JsonArray, later, path)
            else -> later
        }
    }

    private fun mergeNamedLists(earlier: JsonArray?, later: JsonArray, path: String): JsonArray {
        val merged = LinkedHashMap<String, JsonElement>()
        earlier.orEmpty().forEach { merged[it.entryName() ?: it.toString()] = it }
        later.forEach { entry ->
            val name = entry.entryName().orEmpty()
            if (entry.isRemoval()) {
                if (merged.remove(name) == null) unmatchedRemovals["$path[$name]"] = file
            } else {
                merged[name] = mergeValues(merged[name], entry, "$path[$name]")
            }
        }
        return JsonArray(merged.values.toList())
    }

    private fun JsonArray.isNamedList(): Boolean = isNotEmpty() && all { it.entryName() != null }

    private fun JsonElement.entryName(): String? =
        ((this as? JsonObject)?.get(NAME_KEY) as? JsonPrimitive)?.takeIf { it.isString }?.content

    private fun JsonElement.isRemoval(): Boolean = (this as? JsonObject)?.get(REMOVE_KEY) == JsonPrimitive(true)
}
