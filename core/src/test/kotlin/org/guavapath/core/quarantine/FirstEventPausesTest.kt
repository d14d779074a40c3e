package org.guavapath.core.quarantine

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class FirstEventPausesTest {
    /** @property pauses those of sound responses, in milliseconds */
    private class Case(val name: String, val pauses: List<Int>, val pause: Int, val isOverdue: Boolean)

    private val cases = listOf(
        Case("nothing is known", emptyList(), 1_000, isOverdue = false),
        Case("too little is known", List(1) { 1 }, 1_000, isOverdue = false),
        Case("as long as others", List(100) { it }, 99, isOverdue = false),
        Case("longer than most others, by far", List(100) { 5 }, 20, isOverdue = true),
        Case("slow responses", List(100) { 500 }, 1_000, isOverdue = false),
        Case("a few others were as long", List(100) { if (it % 25 == 0) 2_000 else 5 }, 1_000, isOverdue = false),
        Case("others were as long a while ago", List(2_000) { if (it < 100) 2_000 else 5 }, 1_000, isOverdue = true),
    )

    /** Guards against bounds that hold for one service or machine only. */
    @Test
    fun overdueIsWhatIsLongerThanThePausesOfSoundResponses() = cases.forEach { case ->
        val pauses = FirstEventPauses().apply { case.pauses.forEach { record(it.milliseconds) } }
        assertEquals(case.isOverdue, pauses.isOverdue(case.pause.milliseconds), case.name)
    }
}
