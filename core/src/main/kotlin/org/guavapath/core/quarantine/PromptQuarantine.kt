/**
 * Finds parts of prompts that crash the replicas which begin to answer them, and keeps requests with such parts away
 * from replicas.
 *
 * The evidence are crash reports of all VMs. A part is suspected if replicas crashed on prompts with it and none with
 * it was answered since. Requests share most of their parts with sound ones, which clear these: by an earlier answer,
 * unless replicas crash repeatedly, or by a later one. Of the parts of a prompt that remain, those with the most
 * crashes are suspected together, and a request is affected only if its prompt has all of them. Parts that were
 * answered before are not suspected while one whole request explains all crashes on prompts with them.
 */
package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One VM's view of the quarantined parts. */
public class PromptQuarantine {
    /** Parts that are quarantined together until [until]. */
    private class Entry(val parts: Set<PartKey>, val until: MonotonicTime)

    private val ledger = CrashLedger()
    private val trialEnds = HashMap<Set<PartKey>, MonotonicTime>()
    private var entries = emptyList<Entry>()

    /** All reports that may still matter, oldest first. */
    public val reports: Collection<CrashReport> get() = ledger.reports

    /** Sets of parts that are quarantined, each together. */
    public val quarantined: Set<Set<PartKey>> get() = entries.map { it.parts }.toSet()

    /** Returns whether a report on the same request and replica as [report] is known. */
    public operator fun contains(report: CrashReport): Boolean = report in ledger

    /** Records that a prompt with [parts] was answered completely at [now]; returns whether a report has changed. */
    public fun answered(parts: Set<PartKey>, now: MonotonicTime): Boolean =
        ledger.answered(parts, now).also { if (it) rebuild() }

    /** Adds [reports] of this VM or another one; returns whether they contain anything new. */
    public fun add(reports: Collection<CrashReport>, now: MonotonicTime): Boolean {
        val trialsBefore = ledger.reports.associate { it.id to it.trials }
        val changed = ledger.add(reports, now)
        if (changed.isEmpty()) return false
        changed.filter { report -> trialsBefore[report.id].let { it != null && report.trials > it } }
            .forEach { trialEnds[ledger.suspectedIn(it)] = now + TRIAL_TIMEOUT }
        rebuild()
        return true
    }

    /** Sets which incarnations whole requests have crashed in a row; returns whether that is news. */
    public fun explain(crashed: Set<Set<ReplicaIncarnation>>): Boolean {
        val isNews = crashed != ledger.explanations
        ledger.explanations = crashed
        if (isNews) rebuild()
        return isNews
    }

    /** Returns whether a request with [parts] may be sent at [now]. */
    public fun verdict(parts: Set<PartKey>, now: MonotonicTime): QuarantineVerdict {
        val until = entries.filter { parts.containsAll(it.parts) }
            .maxOfOrNull { maxOf(it.until, trialEnds[it.parts] ?: it.until) }
        return when {
            until == null -> QuarantineVerdict.Allowed
            until <= now -> QuarantineVerdict.Trial
            else -> QuarantineVerdict.Quarantined(until - now)
        }
    }

    /** Records that a request with [parts] is sent as a trial, so that no other is sent until its outcome is known. */
    public fun trialStarted(parts: Set<PartKey>, now: MonotonicTime) {
        val tried = entries.filter { parts.containsAll(it.parts) }.map { it.parts }
        val reports = ledger.reports.filter { report -> tried.any { report.suspects.containsAll(it) } }
        add(reports.map { it.copy(trials = it.trials + 1) }, now)
    }

    /** Removes reports that are too old to matter at [now]. */
    public fun expire(now: MonotonicTime) {
        if (ledger.expire(now)) rebuild()
    }

    private fun rebuild() {
        val suspectSets = ledger.reports.map { ledger.suspectedIn(it) }.filter { it.isNotEmpty() }.toSet()
        entries = suspectSets.map { parts ->
            val newest = ledger.reports.filter { it.suspects.containsAll(parts) }.maxOf { it.at }
            Entry(parts, newest + duration(parts.minOf { ledger.weightOf(it) }))
        }
        trialEnds.keys.retainAll(suspectSets)
    }

    private fun duration(weight: Int): Duration {
        val doublings = (weight / CrashLedger.SUFFICIENT_WEIGHT - 1).coerceIn(0, MAX_DOUBLINGS)
        return FIRST_DURATION * (1 shl doublings)
    }

    private companion object {
        /** Each wrong quarantine refuses sound requests, each trial with a cause crashes a replica. */
        val FIRST_DURATION: Duration = 30.seconds

        /** The longest quarantine ends before its reports expire. */
        const val MAX_DOUBLINGS = 4

        /** Replicas crash within a second or two of a request, and sound responses are complete by then. */
        val TRIAL_TIMEOUT: Duration = 5.seconds
    }
}
