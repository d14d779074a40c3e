package org.guavapath.cli

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** Prints results to standard output, as text or as JSON. */
internal class Output(private val asJson: Boolean) {
    private val json = Json {
        prettyPrint = true
        encodeDefaults = true
    }

    /** Prints [value] as JSON if requested, else the lines of [text]. */
    fun <T> show(value: T, serializer: KSerializer<T>, text: () -> List<String>) {
        if (asJson) println(json.encodeToString(serializer, value)) else text().forEach { println(it) }
    }
}
