package org.guavapath.core.json

/**
 * Measures one JSON value while its bytes pass, without keeping them.
 *
 * It knows strings, brackets and commas only; whether the rest is valid is left to the parser.
 */
internal class JsonMeasure(private val limits: JsonLimits) {
    private var bytes = 0
    private var elements = 1
    private var depth = 0
    private var isInString = false
    private var isEscaped = false

    /** Which limit is exceeded, null if none is. */
    var excess: String? = null
        private set

    /** Whether the last byte closed the string, array or object that is the value. */
    var isClosed = false
        private set

    /** Whether the next byte is part of a string, an array or an object that has begun. */
    val isOpen: Boolean get() = isInString || depth > 0

    /** Counts the next [byte]. */
    fun add(byte: Int) {
        bytes = minOf(bytes, Int.MAX_VALUE - 1) + 1
        if (isInString) addToString(byte) else addOutside(byte)
        if (excess == null) excess = exceeded()
    }

    private fun addToString(byte: Int) {
        when {
            isEscaped -> isEscaped = false
            byte == '\\'.code -> isEscaped = true
            byte == '"'.code -> {
                isInString = false
                isClosed = depth == 0
            }
        }
    }

    private fun addOutside(byte: Int) {
        when (byte) {
            '"'.code -> isInString = true
            ','.code -> elements = minOf(elements, Int.MAX_VALUE - 1) + 1
            '['.code, '{'.code -> {
                depth = minOf(depth, Int.MAX_VALUE - 1) + 1
                elements = minOf(elements, Int.MAX_VALUE - 1) + 1
            }
            ']'.code, '}'.code -> {
                depth -= 1
                isClosed = depth == 0
            }
        }
    }

    private fun exceeded(): String? = when {
        bytes > limits.bytes -> "longer than ${limits.bytes} bytes"
        depth > limits.depth -> "nested deeper than ${limits.depth} levels"
        elements > limits.elements -> "more than ${limits.elements} elements"
        else -> null
    }
}
