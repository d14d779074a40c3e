/** The program guavapathd: reads its settings and runs a daemon until the process is terminated. */
package org.guavapath.daemon

import com.github.michaelbull.result.getOrElse
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.multiple
import kotlinx.cli.required
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.guavapath.daemon.settings.SettingsReader
import org.guavapath.platform.store.ObjectStoreClient
import org.guavapath.platform.store.StoreObjectApi
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.io.path.readText
import kotlin.system.exitProcess

private const val EXIT_INVALID_SETTINGS = 2

/** Runs `guavapathd --settings FILE [--set PATH=VALUE]...`. Exits with status 2 if the settings are invalid. */
public fun main(arguments: Array<String>) {
    val parser = ArgParser("guavapathd")
    val file by parser.option(ArgType.String, "settings", description = "JSON file of settings").required()
    val overrides by parser
        .option(ArgType.String, "set", description = "PATH=VALUE overrides the file, such as callers.port=8081")
        .multiple()
    parser.parse(arguments)
    val text = try {
        Path.of(file).readText()
    } catch (exception: IOException) {
        exitInvalidSettings(listOf("$file cannot be read: ${exception.message}"))
    }
    val settings = SettingsReader.read(text, overrides.map { parseOverride(it) })
        .getOrElse { faults -> exitInvalidSettings(faults.map { "$file: $it" }) }
    val daemon = Daemon(settings, StoreObjectApi(ObjectStoreClient(settings.platform.substringAfter("//"))))
    daemon.start()
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            daemon.shutDown()
            stopped.countDown()
        },
    )
    stopped.await()
}

private fun exitInvalidSettings(faults: List<String>): Nothing {
    faults.forEach { System.err.println(it) }
    exitProcess(EXIT_INVALID_SETTINGS)
}

/** Returns the JSON object that sets a single value: `a.b=1` becomes `{"a":{"b":1}}`. */
private fun parseOverride(option: String): JsonObject {
    val path = option.substringBefore('=').split('.')
    val value = parseValue(option.substringAfter('=', missingDelimiterValue = ""))
    val nested = path.foldRight(value) { key, inner -> JsonObject(mapOf(key to inner)) }
    return nested as JsonObject
}

/** Returns [value] as JSON, or as a JSON string if it is not valid JSON. */
private fun parseValue(value: String): JsonElement = try {
    Json.parseToJsonElement(value)
} catch (_: SerializationException) {
    JsonPrimitive(value)
}
