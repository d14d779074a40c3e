package org.guavapath.core.memory

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val KILOBYTE = 1_024L
private const val MEGABYTE = 1_024 * KILOBYTE

/** Drives the budget with uploads on a clock of ticks. */
class BodyBudgetTest {
    /**
     * [count] uploads, one on each connection, that begin at [at].
     *
     * @property perTick bytes that arrive in a tick
     * @property isLengthKnown whether all bytes are asked for at the first part, otherwise with each part
     * @property abandonedAfter ticks after which the connection closes, null if it does not
     */
    private class Uploads(
        val count: Int,
        val bytes: Long,
        val perTick: Long,
        val at: Int = 0,
        val isLengthKnown: Boolean = true,
        val abandonedAfter: Int? = null,
    )

    private enum class End { SERVED, REFUSED, ABANDONED }

    private class Upload(val uploads: Uploads, budget: BodyBudget) {
        private val account = budget.openAccount()
        private val reservation = account.reservation { isWaiting = false }
        private var isWaiting = false
        private var waitedTicks = 0
        private var arrived = 0L
        private var serviceLeft = SERVICE_TICKS
        var end: End? = null
        var ticks = 0

        fun tick() {
            ticks += 1
            when {
                ticks == uploads.abandonedAfter -> end(End.ABANDONED)
                isWaiting && ++waitedTicks > PATIENCE_TICKS -> end(End.REFUSED)
                isWaiting -> Unit
                arrived < uploads.bytes -> receive()
                --serviceLeft <= 0 -> end(End.SERVED)
            }
        }

        private fun receive() {
            val part = minOf(uploads.perTick, uploads.bytes - arrived)
            val missing = (if (uploads.isLengthKnown) uploads.bytes else arrived + part) - reservation.held
            when (if (missing > 0) reservation.grow(missing) else Room.Granted) {
                Room.Granted -> {
                    arrived += part
                    waitedTicks = 0
                }
                Room.Awaited -> isWaiting = true
                Room.Refused -> end(End.REFUSED)
            }
        }

        private fun end(how: End) {
            end = how
            if (how == End.ABANDONED) account.close() else reservation.close()
        }

        private companion object {
            const val PATIENCE_TICKS = 10

            /** For how long a body is held when it is whole. */
            const val SERVICE_TICKS = 3
        }
    }

    private class Case(
        val name: String,
        val uploads: List<Uploads>,
        val expected: List<Map<End, Int>>,
        val smallAreAtOnce: Boolean = true,
    )

    private val small = Uploads(count = 40, bytes = 600, perTick = 600, at = 5)

    private val cases = listOf(
        Case(
            "many small",
            listOf(Uploads(2_000, bytes = 8 * KILOBYTE, perTick = 8 * KILOBYTE)),
            listOf(mapOf(End.SERVED to 2_000)),
        ),
        Case(
            "few large, and small ones between",
            listOf(Uploads(16, bytes = 4 * MEGABYTE, perTick = 4 * MEGABYTE), small),
            listOf(mapOf(End.SERVED to 16), mapOf(End.SERVED to 40)),
        ),
        Case(
            "more large ones than can wait: those are refused at once",
            listOf(Uploads(40, bytes = 4 * MEGABYTE, perTick = 4 * MEGABYTE), small),
            listOf(mapOf(End.SERVED to 22, End.REFUSED to 18), mapOf(End.SERVED to 40)),
        ),
        Case(
            "slow large ones, and small ones at full budget",
            listOf(Uploads(16, bytes = 4 * MEGABYTE, perTick = 10 * KILOBYTE), small),
            listOf(mapOf(End.SERVED to 10, End.REFUSED to 6), mapOf(End.SERVED to 40)),
        ),
        Case(
            "large ones that are abandoned, some of them while they wait",
            listOf(Uploads(20, bytes = 4 * MEGABYTE, perTick = 10 * KILOBYTE, abandonedAfter = 7), small),
            listOf(mapOf(End.ABANDONED to 20), mapOf(End.SERVED to 40)),
        ),
        Case(
            "large ones after abandoned ones",
            listOf(
                Uploads(10, bytes = 4 * MEGABYTE, perTick = 10 * KILOBYTE, abandonedAfter = 8),
                Uploads(10, bytes = 4 * MEGABYTE, perTick = 4 * MEGABYTE, at = 1),
            ),
            listOf(mapOf(End.ABANDONED to 10), mapOf(End.SERVED to 10)),
        ),
        Case(
            "one connection cannot take the whole budget",
            listOf(Uploads(1, bytes = 30 * MEGABYTE, perTick = MEGABYTE), small),
            listOf(mapOf(End.REFUSED to 1), mapOf(End.SERVED to 40)),
        ),
    )

    private fun run(case: Case): List<Map<End, Int>> {
        val budget = BodyBudget(48 * MEGABYTE)
        val all = case.uploads.map { group -> List(group.count) { Upload(group, budget) } }
        for (tick in 0 until 1_000) {
            all.flatten().filter { it.uploads.at <= tick && it.end == null }.forEach { it.tick() }
            assertTrue(budget.held in 0..budget.bytes, "${case.name}: ${budget.held} bytes at $tick")
        }
        assertEquals(0, budget.held, case.name)
        assertEquals(0, budget.waitingBodies, case.name)
        all.flatten().filter { it.uploads === small }.forEach { assertEquals(4, it.ticks, "${case.name}: small") }
        return all.map { group -> group.groupingBy { checkNotNull(it.end) { case.name } }.eachCount() }
    }

    /** Guards against bytes that are lost or kept, and against large bodies that starve small ones. */
    @Test
    fun uploadsGetTheirRoomAndGiveItBack() = cases.forEach { case -> assertEquals(case.expected, run(case), case.name) }

    /** Guards against a dead end: bodies of unknown length that each hold a part and wait for the rest. */
    @Test
    fun bodiesOfUnknownLengthDoNotHoldEachOtherUpForGood() {
        val uploads = Uploads(16, bytes = 4 * MEGABYTE, perTick = MEGABYTE, isLengthKnown = false)
        val ends = run(Case("unknown length", listOf(uploads, small), emptyList()))
        assertTrue(ends[0].getValue(End.SERVED) >= 10, ends.toString())
        assertEquals(mapOf(End.SERVED to 40), ends[1])
    }

    @Test
    fun bodiesOfOneConnectionWaitForEachOtherAndNotForOthers() {
        val budget = BodyBudget(48 * MEGABYTE)
        val account = budget.openAccount()
        val granted = ArrayList<Int>()
        val own = List(6) { index -> account.reservation { granted += index } }
        assertEquals(List(5) { Room.Granted } + Room.Awaited, own.map { it.grow(4 * MEGABYTE) })
        assertTrue(own[5].isHeldUpByOwn)
        assertEquals(Room.Granted, budget.openAccount().reservation {}.grow(4 * MEGABYTE))
        own[0].close()
        own[0].close()
        assertEquals(listOf(5), granted)
        account.close()
        assertEquals(4 * MEGABYTE, budget.held)
    }

    @Test
    fun theBudgetIsDerivedFromTheHeap() = assertEquals(48 * MEGABYTE, BodyBudget.ofHeap(96 * MEGABYTE).bytes)
}
