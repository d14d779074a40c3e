package org.guavapath.core.store

import org.guavapath.core.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class RevisionTimesTest {
    private fun at(milliseconds: Int) = MonotonicTime.ZERO + milliseconds.milliseconds

    /** Guards against dating a revision later than it was written, also across eras of the store. */
    @Test
    fun revisionsAreNotDatedLaterThanTheyWereWritten() {
        val times = RevisionTimes()
        times.record(Revision(5, StoreEra(1)), at(1_000))
        times.record(Revision(9, StoreEra(1)), at(2_000))
        times.record(Revision(9, StoreEra(1)), at(2_050))
        times.record(Revision(7, StoreEra(1)), at(3_000))
        times.record(Revision(6, StoreEra(2)), at(4_000))
        val cases = listOf(
            Triple("before all", Revision(4, StoreEra(1)), null),
            Triple("the first", Revision(5, StoreEra(1)), null),
            Triple("between", Revision(8, StoreEra(1)), 1_000),
            Triple("after the last of the era", Revision(12, StoreEra(1)), 2_000),
            Triple("the first of the next era", Revision(6, StoreEra(2)), 2_000),
            Triple("after all", Revision(7, StoreEra(2)), 4_000),
        )
        cases.forEach { (name, revision, expected) ->
            assertEquals(expected?.let { at(it) }, times.notBefore(revision), name)
        }
    }
}
