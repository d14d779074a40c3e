package org.guavapath.core.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.guavapath.core.schema.SchemaFault

/**
 * An invalid value in a configuration folder.
 *
 * @property file the file that set the value
 * @property fault the path, the value and the allowed values
 */
public data class ConfigurationFault(public val file: String, public val fault: SchemaFault) {
    override fun toString(): String = "$file: $fault"
}

/** Parses, merges and validates configuration files. */
public object ConfigurationReader {
    private val json = Json { ignoreUnknownKeys = false }

    /**
     * Parses the text of one file.
     *
     * @return the parsed file, or a fault if [text] is not a JSON object
     */
    public fun parse(name: String, text: String): Result<ConfigurationFile, ConfigurationFault> {
        val element = try {
            json.parseToJsonElement(text)
        } catch (exception: SerializationException) {
            return Err(notJson(name, exception.message.orEmpty().lineSequence().first()))
        }
        return if (element is JsonObject) Ok(ConfigurationFile(name, element)) else Err(notJson(name, "not an object"))
    }

    /**
     * Merges [files] and validates the result.
     *
     * @return the configuration, or all schema faults, or all reference faults if there are no schema faults
     */
    public fun read(files: List<ConfigurationFile>): Result<Configuration, List<ConfigurationFault>> {
        val merged = mergeFiles(files)
        val faults = configurationSchema.faults(merged.content, "$") + removalFaults(merged)
        return if (faults.isEmpty()) decode(merged) else Err(merged.faults(faults))
    }

    private fun decode(merged: MergedDocument): Result<Configuration, List<ConfigurationFault>> {
        val configuration = json.decodeFromJsonElement(Configuration.serializer(), merged.content)
        val faults = referenceFaults(configuration)
        return if (faults.isEmpty()) Ok(configuration) else Err(merged.faults(faults))
    }

    private fun MergedDocument.faults(faults: List<SchemaFault>): List<ConfigurationFault> =
        faults.map { ConfigurationFault(originOf(it.path), it) }

    private fun notJson(name: String, reason: String) =
        ConfigurationFault(name, SchemaFault("$", "the text", "a JSON object ($reason)"))

    private fun removalFaults(merged: MergedDocument): List<SchemaFault> =
        merged.unmatchedRemovals.keys.map { SchemaFault(it, "remove", "the removal of an entry that exists") }
}
