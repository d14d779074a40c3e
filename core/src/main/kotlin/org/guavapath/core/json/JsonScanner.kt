package org.guavapath.core.json

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import java.io.ByteArrayOutputStream
import java.io.InputStream

/** Names of fields are short; a longer one is none that is asked for. */
private const val MAX_FIELD_NAME_BYTES = 256

/**
 * Reads a JSON document from [input] value by value. It holds one value at a time, and no more of that than asked for.
 *
 * A value that is nested too deep, too large or not valid is passed over, and those behind it are read all the same, as
 * long as its strings and brackets have an end. Each function reads one value and all that belongs to it.
 *
 * All functions throw [java.io.IOException] if the document ends early or cannot be read, and
 * [IllegalArgumentException] if what separates its values is not JSON.
 */
public class JsonScanner(input: InputStream) {
    private val bytes = JsonBytes(input)

    /**
     * Reads an object and calls [onField] with the name of each field; it must read the field's value in this scanner.
     *
     * Returns false, and passes over the value, if it is not an object.
     */
    public fun readObject(onField: (String) -> Unit): Boolean {
        if (bytes.peekToken() != '{'.code) return false.also { skip() }
        readList('}') { onField(readFieldName()) }
        return true
    }

    /**
     * Reads an array and calls [onElement] for each element, which it must read in this scanner.
     *
     * Returns false, and passes over the value, if it is not an array.
     */
    public fun readArray(onElement: () -> Unit): Boolean {
        if (bytes.peekToken() != '['.code) return false.also { skip() }
        readList(']', onElement)
        return true
    }

    /** Reads a value and returns it, or why it is not usable: it exceeds [limits], or is not valid. */
    public fun read(limits: JsonLimits): Result<JsonElement, String> {
        val measure = JsonMeasure(limits)
        val text = ByteArrayOutputStream()
        pass(measure) { byte -> if (measure.excess == null) text.write(byte) }
        return measure.excess?.let { Err(it) } ?: BoundedJson.decode(text.toByteArray())
    }

    /** Passes over a value. */
    public fun skip(): Unit = pass(JsonMeasure(UNLIMITED)) {}

    private fun readList(closing: Char, readEntry: () -> Unit) {
        var separator = bytes.next()
        if (bytes.peekToken() == closing.code) separator = bytes.next()
        while (separator != closing.code) {
            readEntry()
            separator = bytes.peekToken()
            bytes.next()
            require(separator == ','.code || separator == closing.code) {
                "a value is followed by ${describe(separator)}"
            }
        }
    }

    private fun readFieldName(): String {
        val quote = bytes.peekToken()
        require(quote == '"'.code) { "a field name begins with ${describe(quote)}" }
        val name = read(FIELD_NAME_LIMITS)
        val colon = bytes.peekToken()
        require(colon == ':'.code) { "a field name is followed by ${describe(colon)}" }
        bytes.next()
        return (name.get() as? JsonPrimitive)?.content.orEmpty()
    }

    /** Reads the bytes of one value. Strings, arrays and objects end by themselves, all others before what follows. */
    private inline fun pass(measure: JsonMeasure, onByte: (Int) -> Unit) {
        bytes.peekToken()
        while (!measure.isClosed && (measure.isOpen || bytes.peek() !in ENDS_OF_VALUE)) {
            val byte = bytes.next()
            measure.add(byte)
            onByte(byte)
        }
    }

    private fun describe(byte: Int) = "'${byte.toChar()}'"

    private companion object {
        val ENDS_OF_VALUE = intArrayOf(JsonBytes.END, ','.code, ':'.code, ']'.code, '}'.code)
        val UNLIMITED = JsonLimits(Int.MAX_VALUE, Int.MAX_VALUE, Int.MAX_VALUE)
        val FIELD_NAME_LIMITS = JsonLimits(MAX_FIELD_NAME_BYTES, depth = 1, elements = 1)
    }
}
