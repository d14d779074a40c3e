package org.guavapath.core.json

/**
 * Bounds on a JSON value that somebody else has written.
 *
 * A tree of JSON takes many times the bytes of its text, and is read by a function that calls itself for each level.
 *
 * @property bytes the longest text, in bytes
 * @property depth how many arrays and objects may lie in one another
 * @property elements how many values the tree may have in all, arrays and objects included
 * @throws IllegalArgumentException if one of them is not positive
 */
public data class JsonLimits(public val bytes: Int, public val depth: Int, public val elements: Int) {
    init {
        require(bytes > 0 && depth > 0 && elements > 0) { "limits are $bytes bytes, $depth levels, $elements elements" }
    }
}
