package org.guavapath.core.weights

import org.guavapath.core.store.StoreEra
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FencingTokenTest {
    /** Guards against two holders with one token after the store has returned from an older copy. */
    @Test
    fun tokensRiseAcrossEras() {
        val first = FencingToken.NONE.next(StoreEra(1))
        val second = first.next(StoreEra(1))
        data class Case(val name: String, val stored: FencingToken, val era: Long, val highest: FencingToken)
        val cases = listOf(
            Case("the next holder", first, era = 1, highest = first),
            Case("no holder in the copy", FencingToken.NONE, era = 2, highest = second),
            Case("an earlier holder in the copy", first, era = 2, highest = second),
            Case("several eras later", first, era = 5, highest = second),
            Case("a holder of a build without eras", FencingToken(7), era = 1, highest = FencingToken(7)),
        )
        cases.forEach { case ->
            val next = case.stored.next(StoreEra(case.era))
            assertTrue(next > case.highest, "${case.name}: $next after ${case.highest}")
            assertEquals(StoreEra(case.era), next.era, case.name)
        }
    }

    @Test
    fun tokensOfAStoreWithoutErasAreCounted() {
        assertEquals(FencingToken(1), FencingToken.NONE.next(StoreEra.UNKNOWN))
        assertEquals(FencingToken(8), FencingToken(7).next(StoreEra.UNKNOWN))
    }
}
