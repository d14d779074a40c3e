package org.guavapath.daemon.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.mapError
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import org.guavapath.core.config.ConfigurationFile
import org.guavapath.core.config.ConfigurationReader
import org.guavapath.core.config.mergeFiles
import org.guavapath.core.schema.Schema
import org.guavapath.core.schema.SchemaFault
import org.guavapath.core.schema.record

private const val FILE_NAME_DIGITS = 6
private const val MAX_PORT = 65_535L
private const val MAX_NUMBER = 1_000_000_000L
private const val MIN_HEADER_BYTES = 1_024L

private val name = Schema.Text(Regex("[a-z0-9][a-z0-9._-]{0,62}"), "1 to 63 of a-z, 0-9, '.', '_' and '-'")
private val host = Schema.Text(Regex("[0-9A-Fa-f.:]+"), "an IP address")
private val hostAndPort =
    Schema.Text(Regex("[0-9A-Fa-f.:\\[\\]]+:[0-9]{1,5}"), "an IP address and a port, such as 10.0.0.1:7000")
private val url = Schema.Text(Regex("https?://[A-Za-z0-9.\\[\\]:-]+"), "an address as http://HOST:PORT")
private val secret = Schema.Text(Regex(".{16,256}"), "16 to 256 characters")
private val positive = Schema.WholeNumber(1, MAX_NUMBER)

private val listenAddress = record {
    required("host", host)
    required("port", Schema.WholeNumber(0, MAX_PORT))
}

private val edgeLimits = record {
    optional("headerBytes", Schema.WholeNumber(MIN_HEADER_BYTES, MAX_NUMBER))
    optional("bodyBytes", positive)
    optional("promptTokens", positive)
    optional("requests", positive)
    optional("slowRequestMilliseconds", positive)
    optional("admissionWaitMilliseconds", Schema.WholeNumber(0, MAX_NUMBER))
    optional("firstTokenMilliseconds", positive)
    optional("tokenGapMilliseconds", positive)
}

private val settingsSchema = record {
    required("vm", name)
    required("failureDomain", name)
    required("callers", listenAddress)
    required("operators", listenAddress)
    required("peers", listenAddress)
    required("platform", url)
    optional("peerAddresses", Schema.ListOf(hostAndPort))
    required("peerSecrets", Schema.ListOf(secret))
    optional("limits", edgeLimits)
    optional("drainMilliseconds", Schema.WholeNumber(0, MAX_NUMBER))
}

/** Parses and validates [DaemonSettings]. */
internal object SettingsReader {
    /**
     * Returns the settings in the JSON [text], or the faults found in it.
     *
     * @param overrides JSON objects that are merged over the settings of the file, in order
     */
    fun read(text: String, overrides: List<JsonObject> = emptyList()): Result<DaemonSettings, List<SchemaFault>> =
        ConfigurationReader.parse("settings", text)
            .mapError { listOf(it.fault) }
            .flatMap { check(merge(it, overrides)) }

    /** The files are merged in the order of their names, hence the padding with zeros. */
    private fun merge(file: ConfigurationFile, overrides: List<JsonObject>): JsonObject {
        val files = (listOf(file.content) + overrides).mapIndexed { index, content ->
            ConfigurationFile(index.toString().padStart(FILE_NAME_DIGITS, '0'), content)
        }
        return mergeFiles(files).content
    }

    private fun check(merged: JsonObject): Result<DaemonSettings, List<SchemaFault>> {
        val faults = settingsSchema.faults(merged, "$").ifEmpty { secretFaults(merged) }
        if (faults.isNotEmpty()) return Err(faults)
        return Ok(Json.decodeFromJsonElement(DaemonSettings.serializer(), merged))
    }

    private fun secretFaults(merged: JsonObject): List<SchemaFault> {
        val secrets = merged["peerSecrets"] as? JsonArray
        val isEmpty = secrets.isNullOrEmpty()
        return if (isEmpty) listOf(SchemaFault("$.peerSecrets", "[]", "at least one secret")) else emptyList()
    }
}
