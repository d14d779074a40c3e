package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * The crash of one incarnation that had requests with one suspect.
 *
 * @property sentAt when the first of these requests was sent
 * @property isStalled whether every stalled response of the incarnation, and at least one, was to such a request
 */
internal class SuspectedCrash(
    val incarnation: ReplicaIncarnation,
    val sentAt: MonotonicTime,
    val at: MonotonicTime,
    val reports: List<CrashReport>,
    val isStalled: Boolean,
)

/**
 * The crashes that one suspect may have caused, in the order of time: no complete answer to a request with it
 * contradicts them.
 *
 * For example, replicas A and B end 20 ms apart, and C a second later, each with a request that has a part: two moments
 * of three crashes, so that the part has a depth and a weight of 2. If C's response was stalled, the weight is 4.
 *
 * Replicas that are lost at one moment count once. A crash follows another one if it came later than that moment, or if
 * the request was sent after the other crash.
 */
internal class CrashRow(val suspect: Suspect, crashes: List<SuspectedCrash>) {
    /** The crashes, earliest first. */
    val crashes = crashes.sortedBy { it.at }

    /** The crashes of each depth. */
    private val moments: List<List<SuspectedCrash>> = depths().let { depths ->
        this.crashes.withIndex().groupBy({ depths[it.index] }, { it.value }).toSortedMap().values.toList()
    }

    /** Number of crashes in a row. */
    val depth: Int get() = moments.size

    /**
     * Evidence against the suspect: a crash with a stalled response is as much as [STALLED_WEIGHT] others. What is lost
     * at one moment is not lost again at another one.
     */
    val weight: Int = maxOf(
        moments.sumOf { moment -> if (suspect is PartKey && moment.any { it.isStalled }) STALLED_WEIGHT else 1 },
        if (moments.size > 1 && crashes.size >= Suspicion.MAX_WEIGHT) Suspicion.MAX_WEIGHT else 1,
    )
    val wasAnswered: Boolean = crashes.any { crash -> crash.reports.any { suspect in it.answeredBefore } }

    /** Whether requests with the suspect went on elsewhere that had been sent before one which a replica ended with. */
    val wasOutlived: Boolean = crashes.any { crash -> crash.reports.any { suspect in it.outlived } }
    val reports: List<CrashReport> get() = crashes.flatMap { it.reports }

    /** Identities of the requests with the suspect that the crashed incarnations had. */
    val requests: Set<Pair<ReplicaIncarnation, RequestId>> by lazy { reports.map { it.id }.toSet() }
    val incarnations: Set<ReplicaIncarnation> = crashes.map { it.incarnation }.toSet()

    /** Whether the crashes were on requests that differ, and not on repeats of one. */
    val hasDifferentRequests: Boolean
        get() = suspect is PartKey &&
            reports.flatMap { report -> report.suspects.filterIsInstance<RequestKey>() }.distinct().size > 1
    val newestAt: MonotonicTime get() = crashes.last().at

    /** The first crash of each depth. */
    val firstOfEachDepth: List<SuspectedCrash> get() = moments.map { it.first() }

    private fun depths(): IntArray {
        val depths = IntArray(crashes.size)
        // The largest depth among the first crashes, by their number.
        val largest = IntArray(crashes.size + 1)
        crashes.forEachIndexed { index, crash ->
            val earliestNext = maxOf(crash.at + -ONE_MOMENT, crash.sentAt)
            val found = crashes.binarySearch(toIndex = index) { if (it.at <= earliestNext) -1 else 1 }
            depths[index] = largest[-found - 1] + 1
            largest[index + 1] = maxOf(largest[index], depths[index])
        }
        return depths
    }

    companion object {
        /** A sound response is hardly ever stalled at the moment of a crash. */
        const val STALLED_WEIGHT = 3

        /** Replicas that are lost together are found to have ended within that time. */
        private val ONE_MOMENT = 100.milliseconds

        /**
         * For how long the port of a replica that has ended may accept connections, which it then closes. What was sent
         * later has reached the next run of the replica, which was not listed yet.
         */
        private val TIME_TO_CLOSE_PORT = 250.milliseconds

        /** Returns the row of each suspect in [reports]. */
        fun of(reports: Collection<CrashReport>): Map<Suspect, CrashRow> {
            val crashes = HashMap<Suspect, MutableList<SuspectedCrash>>()
            reports.groupBy { it.incarnation }.forEach { (listed, ofListed) ->
                runsIn(ofListed).forEachIndexed { index, ofRun ->
                    addCrashes(listed.copy(startedAt = listed.startedAt + index), ofRun, crashes)
                }
            }
            return crashes.mapValues { (suspect, ofSuspect) -> CrashRow(suspect, ofSuspect) }
        }

        /** Splits the reports on one listed incarnation by the runs that have ended, the earliest first. */
        private fun runsIn(reports: List<CrashReport>): List<List<CrashReport>> {
            val runs = ArrayList<MutableList<CrashReport>>()
            reports.sortedBy { it.at }.forEach { report ->
                val isOfNext = runs.isEmpty() || report.sentAt > runs.last().first().at + TIME_TO_CLOSE_PORT
                if (isOfNext) runs += mutableListOf(report) else runs.last() += report
            }
            return runs
        }

        private fun addCrashes(
            incarnation: ReplicaIncarnation,
            reports: List<CrashReport>,
            crashes: MutableMap<Suspect, MutableList<SuspectedCrash>>,
        ) {
            val stalled = reports.filter { it.isStalled }
            val bySuspect = HashMap<Suspect, MutableList<CrashReport>>()
            reports.forEach { report -> report.suspects.forEach { bySuspect.getOrPut(it, ::ArrayList) += report } }
            bySuspect.filter { (suspect, having) -> having.none { suspect in it.answeredSince } }
                .forEach { (suspect, having) ->
                    crashes.getOrPut(suspect, ::ArrayList) += SuspectedCrash(
                        incarnation,
                        sentAt = having.minOf { it.sentAt },
                        at = having.minOf { it.at },
                        having,
                        isStalled = stalled.isNotEmpty() && having.containsAll(stalled),
                    )
                }
        }
    }
}
