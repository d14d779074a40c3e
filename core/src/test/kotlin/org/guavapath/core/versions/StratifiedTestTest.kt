package org.guavapath.core.versions

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StratifiedTestTest {
    /** The tea tasting experiment and others whose probabilities can be counted by hand. */
    @Test
    fun probabilitiesAreThoseCountedByHand() {
        val cases = listOf(
            "four of four against none of four" to listOf(StratumTable(4, 4, 0, 4)) to 1.0 / 70,
            "three of four against one of four" to listOf(StratumTable(3, 4, 1, 4)) to 17.0 / 70,
            "two strata of one against one" to
                listOf(StratumTable(1, 1, 0, 1), StratumTable(1, 1, 0, 1)) to 1.0 / 4,
            "one of the strata tells nothing" to
                listOf(StratumTable(4, 4, 0, 4), StratumTable(0, 9, 0, 9), StratumTable(5, 5, 0, 0)) to 1.0 / 70,
            "fewer than expected" to listOf(StratumTable(0, 10, 5, 10)) to 1.0,
            "nothing" to emptyList<StratumTable>() to 1.0,
        )
        cases.forEach { (case, expected) ->
            val (name, tables) = case
            assertEquals(expected, StratifiedTest.probability(tables), 1e-9, name)
        }
    }

    /** Guards against numbers beyond the exact table that spoil the probability. */
    @Test
    fun largeNumbersAgreeWithSmallOnesInTheLimit() {
        val small = StratifiedTest.probability(listOf(StratumTable(6, 60, 9, 900)))
        val large = StratifiedTest.probability(listOf(StratumTable(6, 60, 9_000, 900_000)))
        assertTrue(small in 1e-6..1e-3, "$small")
        assertTrue(large in small / 100..small, "$large")
    }

    /** Guards against a test that rejects more often than its level if both versions are alike. */
    @Test
    fun alikeVersionsAreSeldomCalledDifferent() {
        val random = Random(1)
        listOf(0.1, 0.01).forEach { level ->
            val runs = 4_000
            val rejected = (1..runs).count {
                val tables = List(3) {
                    val part = random.nextDouble() * 0.3
                    val target = random.nextInt(40)
                    val old = random.nextInt(200)
                    StratumTable(bad(random, target, part), target.toLong(), bad(random, old, part), old.toLong())
                }
                StratifiedTest.probability(tables) <= level
            }
            assertTrue(rejected <= runs * level * 1.3, "$rejected of $runs at $level")
        }
    }

    private fun bad(random: Random, all: Int, part: Double) = (1..all).count { random.nextDouble() < part }.toLong()
}
