package org.guavapath.standins.traffic

import kotlin.random.Random

private const val ROOTS = 3
private const val MIDDLES = 4
private const val LEAVES = 6

/** Generates prompts with prefixes shared at three nested levels, some much more often than others. */
internal class NestedPrompts(private val pieceBytes: Int, private val random: Random) {
    /** Returns the next prompt: three shared pieces and a unique question. */
    fun next(): String {
        val root = geometricIndex(ROOTS)
        val middle = geometricIndex(MIDDLES)
        val leaf = geometricIndex(LEAVES)
        return piece("catalogue $root") + piece("catalogue $root section $middle") +
            piece("catalogue $root section $middle disc $leaf") + "Question ${random.nextInt()}: is it authentic?"
    }

    private fun piece(title: String): String {
        val line = "$title; side A, side B, matrix, label, condition. "
        return line.repeat(pieceBytes / line.length + 1).take(pieceBytes)
    }

    /** Returns an index below [count]; each half as likely as the previous one, but the last as likely as that. */
    private fun geometricIndex(count: Int): Int {
        val draw = random.nextDouble()
        return (0 until count - 1).firstOrNull { draw < 1 - 0.5.pow(it + 1) } ?: (count - 1)
    }

    private fun Double.pow(exponent: Int): Double = (1..exponent).fold(1.0) { product, _ -> product * this }
}
