package org.guavapath.core.versions

import kotlin.math.exp
import kotlin.math.ln

/**
 * Bad and all answers of both versions to requests that can be compared.
 *
 * @property targetBad bad answers of the target
 * @property target all answers of the target
 * @property oldBad bad answers of the old version
 * @property old all answers of the old version
 */
public data class StratumTable(
    public val targetBad: Long,
    public val target: Long,
    public val oldBad: Long,
    public val old: Long,
) {
    /** Expected bad answers of the target if both versions are alike. */
    internal val expectedBad: Double get() = (targetBad + oldBad).toDouble() * target / (target + old)
}

/**
 * Exact one-sided test of whether the target gives more bad answers than the old version.
 *
 * Given the bad answers of both versions in a stratum, those of the target are hypergeometric if the versions are
 * alike. The statistic is their sum over all strata, whose distribution is the convolution of those of the strata.
 */
public object StratifiedTest {
    /** Returns the probability of as many bad answers of the target, or more, if both versions are alike. */
    public fun probability(tables: List<StratumTable>): Double {
        val informative = tables.filter { it.target > 0 && it.old > 0 && it.targetBad + it.oldBad > 0 }
        val observed = informative.sumOf { it.targetBad }
        if (observed <= informative.sumOf { it.expectedBad }) return 1.0
        var lowest = 0L
        var distribution = doubleArrayOf(1.0)
        informative.forEach {
            lowest += lowestBad(it)
            distribution = convolve(distribution, hypergeometric(it))
        }
        var tail = 0.0
        for (index in distribution.indices) if (lowest + index >= observed) tail += distribution[index]
        return minOf(1.0, tail)
    }

    private fun lowestBad(table: StratumTable): Long = maxOf(0, table.targetBad + table.oldBad - table.old)

    private fun hypergeometric(table: StratumTable): DoubleArray {
        val bad = table.targetBad + table.oldBad
        val all = table.target + table.old
        val lowest = lowestBad(table)
        val highest = minOf(bad, table.target)
        val whole = logChoices(all, table.target)
        return DoubleArray((highest - lowest + 1).toInt()) {
            val targetBad = lowest + it
            exp(logChoices(bad, targetBad) + logChoices(all - bad, table.target - targetBad) - whole)
        }
    }

    private fun convolve(first: DoubleArray, second: DoubleArray): DoubleArray {
        val result = DoubleArray(first.size + second.size - 1)
        for (i in first.indices) for (j in second.indices) result[i + j] += first[i] * second[j]
        return result
    }

    private fun logChoices(all: Long, chosen: Long) =
        logFactorial(all) - logFactorial(chosen) - logFactorial(all - chosen)

    private fun logFactorial(number: Long): Double {
        if (number < EXACT.size) return EXACT[number.toInt()]
        val value = number.toDouble()
        // Stirling's series; the next term is below 1e-15 for numbers beyond the table.
        return value * ln(value) - value + ln(2 * Math.PI * value) / 2 + 1 / (STIRLING_FIRST * value) -
            1 / (STIRLING_SECOND * value * value * value)
    }

    private const val EXACT_SIZE = 1_024
    private const val STIRLING_FIRST = 12
    private const val STIRLING_SECOND = 360
    private val EXACT = DoubleArray(EXACT_SIZE).also { table ->
        for (number in 1 until EXACT_SIZE) table[number] = table[number - 1] + ln(number.toDouble())
    }
}
