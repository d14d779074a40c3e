/**
 * Finds parts of prompts, and whole requests, that crash the replicas which run them, and keeps requests with them away
 * from replicas.
 *
 * The evidence are crash reports of all VMs: what ran on each replica that ended, whatever the time since it was sent
 * or since its response began. What follows from them is derived anew from all reports, so that VMs that know the same
 * reports agree, in whichever order they came.
 */
package org.guavapath.core.quarantine

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** One VM's view of the suspects that are held. */
public class CrashQuarantine {
    private class Hold(val suspicion: Suspicion) {
        val suspects get() = suspicion.suspects
        val until: MonotonicTime get() = suspicion.row.newestAt + duration

        /** A wrong hold refuses sound requests, a trial with the cause crashes a replica. */
        private val duration: Duration get() {
            val crashes = suspicion.row.incarnations.size
            val (first, doublings) = when {
                isOfKnownRequest -> LONG_HOLD to suspicion.row.depth - Suspicion.SUFFICIENT_WEIGHT
                crashes >= Suspicion.MAX_WEIGHT -> LONG_HOLD to crashes - Suspicion.MAX_WEIGHT
                else -> SHORT_HOLD to crashes - Suspicion.SUFFICIENT_WEIGHT
            }
            return if (doublings >= MAX_DOUBLINGS) LONGEST_HOLD else first * (1 shl doublings.coerceAtLeast(0))
        }

        /** Whether it is certain enough that the whole request is the cause, and not only a part or another one. */
        private val isOfKnownRequest: Boolean get() = suspects.any { it is RequestKey } &&
            suspicion.row.depth >= Suspicion.SUFFICIENT_WEIGHT && !suspicion.isAmbiguous
    }

    private val ledger = CrashLedger()
    private val trialEnds = HashMap<Set<Suspect>, MonotonicTime>()
    private var derivedHolds: List<Hold>? = emptyList()
    private val holds get() = derivedHolds ?: derive()

    /** All reports that may still matter, oldest first. */
    public val reports: Collection<CrashReport> get() = ledger.reports

    /** Sets of suspects that are held, each together. */
    public val held: Set<Set<Suspect>> get() = holds.map { it.suspects }.toSet()

    /** Reports on crashes for which suspects are held. */
    public val reportsOfHeld: List<CrashReport> get() = holds.flatMap { it.suspicion.row.reports }.distinctBy { it.id }

    /** Returns what is known of the same request and incarnation as [report] is of, null if nothing is. */
    public operator fun get(report: CrashReport): CrashReport? = ledger[report]

    /**
     * Records that a request with [suspects] that was sent at [sentAt] was answered completely at [now].
     *
     * @return the reports that have changed
     */
    public fun answered(suspects: Set<Suspect>, sentAt: MonotonicTime, now: MonotonicTime): List<CrashReport> =
        ledger.answered(suspects, sentAt, now).also { if (it.isNotEmpty()) derivedHolds = null }

    /**
     * Adds [reports] of this VM or others; returns those that are new or have changed, as merged.
     *
     * @param running what this VM has running, needed if a report is new
     */
    public fun add(
        reports: Collection<CrashReport>,
        now: MonotonicTime,
        running: Collection<RunningRequest> = emptyList(),
    ): List<CrashReport> {
        val trialsBefore = reports.associate { it.id to ledger[it]?.trials }
        val changed = ledger.add(reports, now, running)
        if (changed.isEmpty()) return changed
        derivedHolds = null
        // VMs forget a report one after the other: as news to those that have, it would go round without end.
        if (changed.any { ledger.isExpired(it, now) }) expire(now)
        val remaining = changed.filter { it in ledger }
        val tried = remaining.filter { report -> trialsBefore[report.id].let { it != null && report.trials > it } }
            .map { it.id }
        if (tried.isNotEmpty()) {
            holds.filter { hold -> tried.any { it in hold.suspicion.row.requests } }
                .forEach { trialEnds[it.suspects] = now + TRIAL_TIMEOUT }
        }
        return remaining
    }

    /** Returns whether a request with [suspects] may be sent at [now]. */
    public fun verdict(suspects: Set<Suspect>, now: MonotonicTime): QuarantineVerdict {
        val longest = holds.filter { suspects.containsAll(it.suspects) }.maxByOrNull { endOf(it) }
        return when {
            longest == null -> QuarantineVerdict.Allowed
            endOf(longest) <= now -> QuarantineVerdict.Trial
            else -> {
                val crashes = longest.suspicion.row.firstOfEachDepth.map { it.reports.first() }
                QuarantineVerdict.Held(endOf(longest) - now, longest.suspects, crashes)
            }
        }
    }

    /**
     * Records that a request with [suspects] is sent as a trial, so that no other is sent until its outcome is known.
     *
     * @return the reports that have changed
     */
    public fun trialStarted(suspects: Set<Suspect>, now: MonotonicTime): List<CrashReport> {
        val tried = holds.filter { suspects.containsAll(it.suspects) }.flatMap { it.suspicion.row.reports }
            .distinctBy { it.id }
        return add(tried.map { it.copy(trials = it.trials + 1) }, now)
    }

    /** Returns the largest number of crashes in a row that one of [suspects] may have caused. */
    public fun crashesInARow(suspects: Set<Suspect>): Int =
        if (reports.isEmpty()) 0 else suspects.maxOfOrNull { ledger.rows[it]?.depth ?: 0 } ?: 0

    /** Removes reports that are too old to matter at [now]. */
    public fun expire(now: MonotonicTime) {
        val kept = holds.filter { now - endOf(it) <= KEPT_AFTER_END }.flatMap { it.suspicion.row.requests }.toSet()
        if (ledger.expire(now, kept)) derivedHolds = null
    }

    private fun endOf(hold: Hold) = maxOf(hold.until, trialEnds[hold.suspects] ?: hold.until)

    private fun derive(): List<Hold> {
        val derived = Suspicion.of(ledger.rows.values).map { Hold(it) }
        derivedHolds = derived
        trialEnds.keys.retainAll(held)
        return derived
    }

    private companion object {
        val SHORT_HOLD: Duration = 30.seconds
        val LONG_HOLD: Duration = 10.minutes
        val LONGEST_HOLD: Duration = 24.hours
        const val MAX_DOUBLINGS = 3

        /** Replicas crash within a second or two of a request, and sound responses are complete by then. */
        val TRIAL_TIMEOUT: Duration = 5.seconds

        /** Longer than it takes until a request comes that is the trial. */
        val KEPT_AFTER_END: Duration = 10.minutes
    }
}
