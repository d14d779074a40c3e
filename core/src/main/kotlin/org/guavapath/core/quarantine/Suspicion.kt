/**
 * Decides which suspects explain the crashes of replicas. Answers the load of an input that ends each worker that
 * takes it, among sound ones that share parts with it and run beside it.
 *
 * A suspect is held if its evidence suffices, unless others that are held explain each of its crashes. Suspects that
 * were answered before need more evidence, and so do all while many crashes have no explanation. A suspect is held
 * together with those that were in all the same requests, as nothing tells them apart: only requests with all of them
 * are refused. One crash holds nothing but repeats of a request.
 */
package org.guavapath.core.quarantine

import kotlin.time.Duration.Companion.seconds

/**
 * Suspects that are held together.
 *
 * @property row the crashes that they explain
 * @property isAmbiguous whether other suspects explain some of the crashes as well
 */
internal class Suspicion(val suspects: Set<Suspect>, val row: CrashRow, val isAmbiguous: Boolean) {
    companion object {
        /** Two crashes in a row may have other causes. */
        const val SUFFICIENT_WEIGHT = 3

        /** No request with the cause may be sent after that many crashes. */
        const val MAX_WEIGHT = 5

        /** Replicas that are lost one after the other, for a cause of their own, follow each other within that time. */
        private val SERIES_PAUSE = 10.seconds

        /** Those that were answered before, and those with least evidence, are explained by others first. */
        private val weakestFirst = compareByDescending<CrashRow> { it.wasAnswered }.thenBy { it.weight }

        /** Returns which suspects explain the crashes of [rows]. */
        fun of(rows: Collection<CrashRow>): List<Suspicion> {
            val likely = rows.filter { it.weight >= sufficientWeight(it) }
            if (likely.isEmpty()) return emptyList()
            val sufficient = likely.filter { it.weight >= minOf(MAX_WEIGHT, neededFor(it, likely, rows)) }
            val narrow = sufficient.filterNot { isWider(it, sufficient) || isExplainedByNew(it, sufficient) }
            val causes = withoutExplained(narrow)
            val together = causes.groupBy { cause -> inAllRequestsOf(cause, rows) }
                .filter { (suspects, ofThem) -> ofThem.first().depth > 1 || suspects.any { it is RequestKey } }
            return together.map { (suspects, ofThem) ->
                val others = (together - setOf(suspects)).values.flatten()
                val row = ofThem.first()
                Suspicion(suspects, row, others.any { other -> other.incarnations.any { it in row.incarnations } })
            }
        }

        private fun sufficientWeight(row: CrashRow) = when {
            row.wasOutlived -> MAX_WEIGHT
            row.suspect is PartKey && row.wasAnswered -> SUFFICIENT_WEIGHT + 1
            else -> SUFFICIENT_WEIGHT
        }

        /** One more crash is needed for each time that as many others are unexplained while they happened. */
        private fun neededFor(row: CrashRow, likely: List<CrashRow>, rows: Collection<CrashRow>): Int {
            val explained = likely.filter { it !== row }.flatMapTo(HashSet()) { it.incarnations } + row.incarnations
            val span = row.crashes.first().at + -SERIES_PAUSE..row.newestAt
            val others = rows.flatMap { it.crashes }.filter { it.at in span && it.incarnation !in explained }
            return sufficientWeight(row) + others.map { it.incarnation }.toSet().size / row.depth
        }

        /**
         * Returns whether another suspect was in some of the requests with the one of [row], on each replica that
         * crashed: if it is not the cause, the next crash on a request without it shows that.
         */
        private fun isWider(row: CrashRow, rows: List<CrashRow>) = rows.any { other ->
            other.requests.size < row.requests.size && other.incarnations == row.incarnations &&
                (row.wasAnswered || !other.wasAnswered) && row.requests.containsAll(other.requests)
        }

        /**
         * Returns whether suspects that were never answered, and were in different requests, explain all crashes of
         * [row] but one, whose cause may have been given up before, while its own suspect was answered before.
         */
        private fun isExplainedByNew(row: CrashRow, rows: List<CrashRow>): Boolean {
            if (!row.wasAnswered) return false
            val explained = rows.filter { !it.wasAnswered && it.hasDifferentRequests }
                .flatMapTo(HashSet()) { it.incarnations }
            return row.incarnations.any { it in explained } && row.incarnations.count { it !in explained } <= 1
        }

        /** Returns [rows] without those that have no crash of their own; those with the same crashes are kept. */
        private fun withoutExplained(rows: List<CrashRow>): List<CrashRow> {
            var left = rows
            rows.sortedWith(weakestFirst).forEach { row ->
                val others = left.filter { it.incarnations != row.incarnations || weakestFirst.compare(it, row) != 0 }
                val explained = others.flatMapTo(HashSet()) { it.incarnations }
                if (explained.containsAll(row.incarnations)) left = left - row
            }
            return left
        }

        /** Returns the suspects that were in each request of [cause], not answered before unless it was. */
        private fun inAllRequestsOf(cause: CrashRow, rows: Collection<CrashRow>): Set<Suspect> =
            rows.filter { it.requests.containsAll(cause.requests) && (cause.wasAnswered || !it.wasAnswered) }
                .map { it.suspect }.toSet()
    }
}
