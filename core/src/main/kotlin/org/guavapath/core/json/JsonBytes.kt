package org.guavapath.core.json

import java.io.EOFException
import java.io.InputStream

private const val BUFFER_BYTES = 8_192
private const val BYTE_MASK = 0xFF

/** The bytes of a JSON document, with a look at the next one. */
internal class JsonBytes(private val input: InputStream) {
    private val buffer = ByteArray(BUFFER_BYTES)
    private var position = 0
    private var end = 0

    /** Returns the next byte without reading it, [END] behind the last one. */
    fun peek(): Int {
        if (position == end) fill()
        return if (end == END) END else buffer[position].toInt() and BYTE_MASK
    }

    /** Returns the next byte that is not white space, without reading it. */
    fun peekToken(): Int {
        while (peek() in WHITE_SPACE) next()
        if (peek() == END) throw EOFException("the document ends early")
        return peek()
    }

    /** Reads a byte. */
    fun next(): Int {
        val byte = peek()
        if (byte == END) throw EOFException("the document ends early")
        position += 1
        return byte
    }

    private fun fill() {
        end = input.read(buffer)
        position = if (end == END) END else 0
    }

    companion object {
        /** What follows the last byte. */
        const val END = -1
        private val WHITE_SPACE = " \n\r\t".map { it.code }.toIntArray()
    }
}
