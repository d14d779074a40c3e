package org.guavapath.core.quarantine

import org.guavapath.core.time.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * Plays generated histories of requests, crashes and gateways that hear of them.
 *
 * Other seeds: `mvn -pl core test -Dtest=QuarantineHistoryTest -Dquarantine.seed=N -Dquarantine.seeds=N`, also
 * `-Dquarantine.row=N` for one row of the table, and `-Dquarantine.trace=true` for all of its events.
 */
class QuarantineHistoryTest {
    private val firstSeed = Integer.getInteger("quarantine.seed", 1)
    private val seeds = Integer.getInteger("quarantine.seeds", 1)
    private val rows = Integer.getInteger("quarantine.row")?.let { listOf(it) } ?: HistoryCases.all.indices.toList()
    private val maxShown = if (java.lang.Boolean.getBoolean("quarantine.trace")) Int.MAX_VALUE else MAX_SHOWN

    /** Guards against sends to one replica after the other, and refusals of sound requests beside, whatever the row. */
    @Test
    fun atMostFiveCrashesByAPartInAllHistories() = checkRows(rows - ROWS_OF_ONE_MOMENT)

    /** Guards against sends after copies of a request have ended several replicas within a moment, which count once. */
    @Test
    fun crashesWithinOneMomentEndTheSendsToo() = checkRows(rows.filter { it in ROWS_OF_ONE_MOMENT })

    private fun checkRows(rows: List<Int>) {
        val results = rows.parallelStream().map { row ->
            val case = HistoryCases.all[row]
            row to (firstSeed until firstSeed + seeds).map { seed -> seed to HistoryPlay(case, seed).run() }
        }.toList()
        results.forEach { (row, plays) -> println("row $row: " + text(HistoryCases.all[row], plays.map { it.second })) }
        val failures = results.flatMap { (row, plays) ->
            plays.filter { it.second.breaches.isNotEmpty() }
                .map { (seed, record) -> Failure("row $row seed $seed", HistoryCases.all[row], seed, record) }
        }
        check(failures)
    }

    /** Guards against holding sound requests as replicas crash for other reasons. */
    @Test
    fun crashesWithoutACauseHoldNothing() {
        val failures = (firstSeed until firstSeed + DRAWS * seeds).toList().parallelStream().map { seed ->
            val case = withoutCause(Random(seed))
            Failure("draw $seed", case, seed, HistoryPlay(case, seed).run())
        }.toList().filter { it.record.breaches.isNotEmpty() }
        println("crashes without a cause: ${failures.size} of ${DRAWS * seeds} draws held")
        check(failures)
    }

    private class Failure(val name: String, val case: HistoryCase, val seed: Int, val record: HistoryRecord)

    private fun withoutCause(random: Random) = HistoryCase(
        others = listOf(1, 4, 12).random(random),
        replicas = listOf(6, 12).random(random),
        gateways = listOf(1, 2, 8).random(random),
        deadlyCallers = 0,
        isFirst = random.nextBoolean(),
        otherCrashes = (OtherCrashes.entries - OtherCrashes.NONE).random(random),
        hasStreams = random.nextBoolean(),
        isolation = Isolation.entries.random(random),
        hasAges = random.nextBoolean(),
        duration = 25.seconds,
    )

    private fun text(case: HistoryCase, records: List<HistoryRecord>) =
        "crashes ${records.joinToString { "${it.mostCrashes}" }}, sound refused " +
            "${records.joinToString { "${it.soundRefused}" }}: $case"

    private fun check(failures: List<Failure>) {
        val heads = failures.joinToString("\n") { "${it.name}: ${it.record.breaches.joinToString("; ")}" }
        assertEquals(0, failures.size, heads + "\n\n" + failures.take(MAX_TRACED).joinToString("\n\n") { trace(it) })
    }

    private fun trace(failure: Failure): String {
        val lines = ArrayList<String>()
        HistoryPlay(failure.case, failure.seed) { at, text ->
            lines.add("  ${(at - MonotonicTime.ZERO).inWholeMilliseconds} ms $text")
        }.run()
        val breach = lines.indexOfFirst { "BREACH" in it }
        val shown = if (breach < 0) lines else lines.take(breach + 1)
        return "${failure.name} ${failure.case}\n" + shown.takeLast(maxShown).joinToString("\n")
    }

    private companion object {
        /** Copies of a whole request from four callers, which end their replicas 300 ms after they were sent. */
        val ROWS_OF_ONE_MOMENT = setOf(181)

        const val DRAWS = 1_000
        const val MAX_SHOWN = 30
        const val MAX_TRACED = 5
    }
}
