package org.guavapath.core.json

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.InputStream

private const val BUFFER_BYTES = 8_192
private const val END = -1

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
public class JsonScanner(private val input: InputStream) {
    private val buffer = ByteArray(BUFFER_BYTES)
    private var position = 0
    private var end = 0

    /**
     * Reads an object and calls [onField] with the name of each field; it must read the field's value with this scanner.
     *
     * Returns false, and passes over the value, if it is not an object.
     */
    public fun readObject(onField: (String) -> Unit): Boolean {
        if (peekToken() != '{'.code) return false.also { skip() }
        readList('}') { onField(readFieldName()) }
        return true
    }

    /**
     * Reads an array and calls [onElement] for each element, which it must read with this scanner.
     *
     * Returns false, and passes over the value, if it is not an array.
     */
    public fun readArray(onElement: () -> Unit): Boolean {
        if (peekToken() != '['.code) return false.also { skip() }
        readList(']', onElement)
        return true
    }

    /** Reads a value and returns it, or why it is not usable: it exceeds [limits], or is not valid. */
    public fun read(limits: JsonLimits): Result<JsonElement, String> {
        val measure = JsonMeasure(limits)
        val text = ByteArrayOutputStream()
        pass(measure) { byte -> if (measure.excess == null) text.write(byte) else text.reset() }
        return measure.excess?.let { Err(it) } ?: BoundedJson.decode(text.toByteArray())
    }

    /** Passes over a value. */
    public fun skip(): Unit = pass(JsonMeasure(UNLIMITED)) {}

    private fun readList(closing: Char, readEntry: () -> Unit) {
        next()
        if (peekToken() == closing.code) {
            next()
            return
        }
        while (true) {
            readEntry()
            val separator = peekToken()
            next()
            if (separator == closing.code) return
            require(separator == ','.code) { "a value is followed by ${describe(separator)}" }
        }
    }

    private fun readFieldName(): String {
        require(peekToken() == '"'.code) { "a field name begins with ${describe(peek())}" }
        val name = read(FIELD_NAME_LIMITS)
        require(peekToken() == ':'.code) { "a field name is followed by ${describe(peek())}" }
        next()
        return (name.get() as? JsonPrimitive)?.content.orEmpty()
    }

    /** Reads the bytes of one value. Strings, arrays and objects end by themselves, all others before what follows. */
    private inline fun pass(measure: JsonMeasure, onByte: (Int) -> Unit) {
        peekToken()
        while (!measure.isClosed && !(measure.depth == 0 && !measure.isWithinString && isEndOfValue(peek()))) {
            val byte = next()
            measure.add(byte)
            onByte(byte)
        }
    }

    private fun isEndOfValue(byte: Int) = byte == END || byte.toChar() in ",:]}"

    /** Returns the next byte that is not white space, without reading it. */
    private fun peekToken(): Int {
        while (peek().let { it == ' '.code || it == '\n'.code || it == '\r'.code || it == '\t'.code }) next()
        if (peek() == END) throw EOFException("the document ends early")
        return peek()
    }

    private fun peek(): Int {
        if (position == end) fill()
        return if (end == END) END else buffer[position].toInt() and BYTE_MASK
    }

    private fun next(): Int {
        val byte = peek()
        if (byte == END) throw EOFException("the document ends early")
        position += 1
        return byte
    }

    private fun fill() {
        end = input.read(buffer)
        position = if (end == END) END else 0
    }

    private fun describe(byte: Int) = if (byte == END) "the end" else "'${byte.toChar()}'"

    private companion object {
        const val BYTE_MASK = 0xFF
        val UNLIMITED = JsonLimits(Int.MAX_VALUE, Int.MAX_VALUE, Int.MAX_VALUE)
        val FIELD_NAME_LIMITS = JsonLimits(MAX_FIELD_NAME_BYTES, depth = 1, elements = 1)
    }
}
