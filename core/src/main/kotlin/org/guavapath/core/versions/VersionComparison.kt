package org.guavapath.core.versions

import org.guavapath.core.fleet.ReplicaId
import kotlin.math.ceil

/** In which way answers are bad. */
public enum class BadAnswers {
    /** They are failures. */
    FAILED,

    /** They took several times as long as those of the old version to requests like them. */
    SLOW,
}

/**
 * Evidence against the target.
 *
 * @property kind in which way its answers are bad
 * @property route the route on which they are, null for all together
 * @property isRecent whether it rests on the newest answers alone
 * @property targetBad bad answers of the target
 * @property target all answers of the target that were compared
 * @property oldBad bad answers of the old version
 * @property old all answers of the old version that were compared
 * @property probability of as many bad answers of the target if both versions are alike
 */
public data class VersionEvidence(
    public val kind: BadAnswers,
    public val route: RouteName?,
    public val isRecent: Boolean,
    public val targetBad: Long,
    public val target: Long,
    public val oldBad: Long,
    public val old: Long,
    public val probability: Double,
) {
    override fun toString(): String =
        "$targetBad of $target answers ${kind.name.lowercase()}, $oldBad of $old of the old version" +
            (if (route == null) "" else ", on route $route") + (if (isRecent) ", lately" else "")
}

/**
 * Compares the answers of the target with those of the old version, again and again.
 *
 * The levels of all looks sum up to a bound, so that a good version is rolled back with less than that probability,
 * however often they are compared. Each look splits its level among all that it tests.
 */
public class VersionComparison {
    private val snapshots = ArrayDeque<AnswerCounts>()
    private var looks = 0L
    private var lastLooks = 0L

    /** Returns the evidence against the target in [counts], null if there is none. */
    public fun look(counts: AnswerCounts): VersionEvidence? {
        looks += 1
        return evidence(counts, ALPHA / (looks * (looks + 1)))
    }

    /** Returns the evidence in [counts] in a look of those before the decision; these have a level of their own. */
    public fun lastLook(counts: AnswerCounts): VersionEvidence? {
        lastLooks += 1
        return evidence(counts, LAST_ALPHA / (lastLooks * (lastLooks + 1)))
    }

    private fun evidence(counts: AnswerCounts, level: Double): VersionEvidence? {
        val recent = snapshots.firstOrNull()?.let { counts.since(it) }
        snapshots.addLast(counts.mapValues { it.value.copy() })
        if (snapshots.size > RECENT_LOOKS) snapshots.removeFirst()
        val routes = counts.keys.filter { it.replica != null }.map { it.stratum.route }.distinct()
        val subsets = listOf(null) + routes.takeIf { it.size > 1 }.orEmpty()
        val test = LevelTest(slownessThresholds(counts), level / (HYPOTHESES_PER_SUBSET * (1 + routes.size)))
        return subsets.firstNotNullOfOrNull { route ->
            BadAnswers.entries.firstNotNullOfOrNull { kind ->
                test.evidence(counts, kind, route)
                    ?: recent?.let { test.evidence(it, kind, route)?.copy(isRecent = true) }
            }
        }
    }

    /** Tests each hypothesis at [level], with the classes of time above which answers are slow. */
    private inner class LevelTest(private val thresholds: Map<Stratum, Int>, private val level: Double) {
        fun evidence(counts: AnswerCounts, kind: BadAnswers, route: RouteName?): VersionEvidence? {
            val chosen = if (route == null) counts else counts.filterKeys { it.stratum.route == route }
            val answers = chosen.mapNotNull { (source, count) -> judged(source, count, kind) }
            val tables = tables(answers)
            val probability = StratifiedTest.probability(tables)
            if (probability > level || !holdsWithoutWorst(answers)) return null
            return VersionEvidence(
                kind,
                route,
                isRecent = false,
                tables.sumOf { it.targetBad },
                tables.sumOf { it.target },
                tables.sumOf { it.oldBad },
                tables.sumOf { it.old },
                probability,
            )
        }

        private fun judged(source: AnswerSource, counts: SourceCounts, kind: BadAnswers): Judged? = when (kind) {
            BadAnswers.FAILED -> Judged(source.stratum, source.replica, counts.failures, counts.answers)
            BadAnswers.SLOW -> thresholds[source.stratum]?.let { threshold ->
                val slow = counts.times.entries.sumOf { (timeClass, count) -> if (timeClass > threshold) count else 0 }
                Judged(source.stratum, source.replica, slow, counts.times.values.sum())
            }
        }
    }

    /** Whether not a single one of several replicas gives the bad answers, which then is no fault of the version. */
    private fun holdsWithoutWorst(answers: List<Judged>): Boolean {
        val byReplica = answers.filter { it.replica != null }.groupBy { it.replica }
        if (byReplica.size < MIN_REPLICAS) return true
        val worst = byReplica.maxBy { (_, judged) -> judged.sumOf { it.bad } }.key
        return StratifiedTest.probability(tables(answers.filter { it.replica != worst })) <= LEVEL_WITHOUT_WORST
    }

    private class Judged(val stratum: Stratum, val replica: ReplicaId?, val bad: Long, val all: Long)

    private fun tables(answers: List<Judged>): List<StratumTable> =
        answers.groupBy { it.stratum }.values.map { ofStratum ->
            val (old, target) = ofStratum.partition { it.replica == null }
            StratumTable(target.sumOf { it.bad }, target.sumOf { it.all }, old.sumOf { it.bad }, old.sumOf { it.all })
        }

    /** Returns by stratum the class of time above which answers are slow. */
    private fun slownessThresholds(counts: AnswerCounts): Map<Stratum, Int> =
        counts.entries.filter { it.key.replica == null }.mapNotNull { (source, count) ->
            val all = count.times.values.sum()
            if (all < MIN_TIMES) return@mapNotNull null
            var left = ceil(all * USUAL_PART).toLong()
            val usual = count.times.entries.sortedBy { it.key }.first { (_, ofClass) ->
                left -= ofClass
                left <= 0
            }
            source.stratum to usual.key + SLOWER_CLASSES
        }.toMap()

    private companion object {
        const val ALPHA = 0.004
        const val LAST_ALPHA = 0.002

        /** Failed and slow answers, of all time and lately. */
        const val HYPOTHESES_PER_SUBSET = 4
        const val RECENT_LOOKS = 2

        /** With fewer replicas it cannot be told whether one of them or the version is at fault. */
        const val MIN_REPLICAS = 3
        const val LEVEL_WITHOUT_WORST = 0.01

        /** With fewer, the usual time of the old version is not known. */
        const val MIN_TIMES = 10
        const val USUAL_PART = 0.9

        /** Two half doublings are twice as long. */
        const val SLOWER_CLASSES = 2
    }
}
