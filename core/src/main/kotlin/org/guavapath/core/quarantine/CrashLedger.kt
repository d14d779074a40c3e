package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime

/** The crash reports of all VMs, and the parts that they point to. */
internal class CrashLedger {
    private val answered = AnsweredParts()
    private val byId = LinkedHashMap<Triple<ReplicaId, Long, RequestId>, CrashReport>()

    /** Sets of incarnations that one whole request has crashed in a row. */
    var explanations: Set<Set<ReplicaIncarnation>> = emptySet()

    /** All reports that may still matter, oldest first. */
    val reports: Collection<CrashReport> get() = byId.values

    operator fun contains(report: CrashReport): Boolean = report.id in byId

    /** Records that a prompt with [parts] was answered completely; returns whether a report has changed. */
    fun answered(parts: Set<PartKey>, now: MonotonicTime): Boolean {
        answered.record(parts, now)
        return add(byId.values.filter { report -> report.suspects.any { it in parts } }, now).isNotEmpty()
    }

    /**
     * Merges [reports] with what this VM knows; returns those that are new or have changed, as merged.
     *
     * If there are too many, the weakest and oldest ones are dropped, on all VMs alike.
     */
    fun add(reports: Collection<CrashReport>, now: MonotonicTime): List<CrashReport> {
        val changed = reports.filter { it.isLive(now) }.mapNotNull { merge(it) }
        while (byId.size > MAX_REPORTS) byId.remove(byId.values.minWith(leastRelevantFirst).id)
        return changed.filter { it.id in byId }
    }

    /** Removes reports that are too old to matter at [now]; returns whether there were any. */
    fun expire(now: MonotonicTime): Boolean = byId.values.removeIf { !it.isLive(now) }

    /**
     * Returns the parts of [report] that are suspected together; empty if the evidence is too weak.
     *
     * A part that was answered before more likely shares a prompt with the cause, so it takes twice the evidence, and
     * none if one whole request explains all of it.
     */
    fun suspectedIn(report: CrashReport): Set<PartKey> {
        val weights = report.suspects.filterNot { wasAnswered(it) && isExplained(it) }.associateWith { weightOf(it) }
            .filter { (part, weight) -> weight >= if (wasAnswered(part)) 2 * SUFFICIENT_WEIGHT else SUFFICIENT_WEIGHT }
        val largest = weights.values.maxOrNull() ?: return emptySet()
        return weights.filterValues { it == largest }.keys
    }

    /** Returns the weight of the crashes on prompts with [part] since one was answered, each incarnation once. */
    fun weightOf(part: PartKey): Int = byId.values.filter { part in it.suspects }
        .groupBy { it.incarnation }
        .values.sumOf { reports -> reports.maxOf { it.stage.weight } }

    private fun merge(report: CrashReport): CrashReport? {
        val known = byId[report.id]
        val at = known?.at ?: report.at
        val (since, before) = report.parts.filter { answered[it] != null }.partition { checkNotNull(answered[it]) > at }
        val observed = report.copy(
            answeredBefore = report.answeredBefore + before,
            answeredSince = report.answeredSince + since,
        )
        val merged = known?.merge(observed) ?: observed
        if (merged == known) return null
        byId[report.id] = merged
        return merged
    }

    private fun isExplained(part: PartKey): Boolean {
        val crashed = byId.values.filter { part in it.suspects }.map { it.incarnation }
        return explanations.any { it.containsAll(crashed) }
    }

    private fun wasAnswered(part: PartKey) = byId.values.any { part in it.answeredBefore }

    companion object {
        /** One crash right before the first event, or two right after the response has begun. */
        const val SUFFICIENT_WEIGHT = 2
        const val MAX_REPORTS: Int = 128
        private val leastRelevantFirst = compareBy<CrashReport> { it.stage.weight }.thenBy { it.at }
    }
}
