/**
 * Decides which suspects explain the crashes of replicas. Answers the load of an input that ends each worker that
 * takes it, among sound ones that share parts with it and run beside it.
 *
 * The suspect with the most evidence is held if that suffices, and the crashes that it explains do not count for
 * others, until no suspect is left whose evidence suffices. A suspect is held together with those that were in all the
 * same requests, as nothing tells them apart: only requests with all of them are refused. Suspects that were answered
 * before need more evidence, and are not held together with those that were not.
 */
package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.time.MonotonicTime

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

        /** A part needs more evidence among that many other crashes for each of its own. */
        private const val CROWD = 2

        private val strongestFirst = compareByDescending<CrashRow> { it.weight }.thenBy { it.wasAnswered }

        /** Returns which suspects explain the crashes of [rows], the strongest first. */
        fun of(rows: Collection<CrashRow>): List<Suspicion> {
            val all = ArrayList<Suspicion>()
            var left = rows.toList()
            while (true) {
                val times = left.flatMap { it.crashes }.associate { it.incarnation to it.at }
                val sufficient = left.filter { it.weight >= SUFFICIENT_WEIGHT }
                    .filter { it.weight >= neededFor(it, times) }
                val strongest = sufficient.minWithOrNull(strongestFirst) ?: return all
                val equal = sufficient.filter { strongestFirst.compare(it, strongest) == 0 }
                all += suspicions(equal, left)
                val explained = equal.flatMap { it.incarnations }.toSet()
                left = left.mapNotNull { it.without(explained) }
            }
        }

        private fun suspicions(equal: List<CrashRow>, rows: List<CrashRow>): List<Suspicion> {
            val together = equal.groupBy { row ->
                rows.filter { it.requests.containsAll(row.requests) && (row.wasAnswered || !it.wasAnswered) }
                    .map { it.suspect }.toSet()
            }
            return together.map { (suspects, ofThem) ->
                val others = (together - setOf(suspects)).values.flatten()
                val row = ofThem.first()
                Suspicion(suspects, row, others.any { other -> other.incarnations.any { it in row.incarnations } })
            }
        }

        /** @param times when the incarnations ended whose crashes are not explained yet */
        private fun neededFor(row: CrashRow, times: Map<ReplicaIncarnation, MonotonicTime>): Int = when (row.suspect) {
            is RequestKey -> SUFFICIENT_WEIGHT
            is PartKey -> {
                val span = row.crashes.first().at..row.newestAt
                val others = times.count { (incarnation, at) -> at in span && incarnation !in row.incarnations }
                SUFFICIENT_WEIGHT + (if (row.wasAnswered) 1 else 0) + (if (others >= CROWD * row.depth) 1 else 0)
            }
        }
    }
}
