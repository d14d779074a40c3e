package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** The crash reports of all VMs, and the crashes in a row that follow from them. */
internal class CrashLedger {
    private val answered = AnsweredSuspects()
    private val byId = LinkedHashMap<Pair<ReplicaIncarnation, RequestId>, CrashReport>()

    private var derivedRows: Map<Suspect, CrashRow>? = emptyMap()

    /** The crashes of each suspect that may be a cause. */
    val rows: Map<Suspect, CrashRow> get() = derivedRows ?: CrashRow.of(byId.values).also { derivedRows = it }

    /** All reports that may still matter, oldest first. */
    val reports: Collection<CrashReport> get() = byId.values

    /** Returns what is known of the same request and incarnation as [report] is of, null if nothing is. */
    operator fun get(report: CrashReport): CrashReport? = byId[report.id]

    operator fun contains(report: CrashReport): Boolean = report.id in byId

    /** Records a complete answer to a request with [suspects] that was sent at [sentAt]; returns changed reports. */
    fun answered(suspects: Set<Suspect>, sentAt: MonotonicTime, now: MonotonicTime): List<CrashReport> {
        answered.record(suspects, sentAt)
        if (suspects.none { it in rows }) return emptyList()
        return add(byId.values.filter { report -> report.suspects.any { it in suspects } }, now)
    }

    /**
     * Merges [reports] with what this VM knows, also of requests that it has [running]; returns those that are new or
     * have changed, as merged.
     *
     * If there are too many, those of the shortest rows are dropped, the oldest first, on all VMs alike.
     */
    fun add(
        reports: Collection<CrashReport>,
        now: MonotonicTime,
        running: Collection<RunningRequest> = emptyList(),
    ): List<CrashReport> {
        val runningSuspects = RunningSuspects(withoutEnded(running, reports), reports)
        val changed = reports.filter { now - it.at <= LONGEST_RETENTION }.mapNotNull { merge(it, runningSuspects) }
        if (changed.isEmpty()) return changed
        derivedRows = null
        if (byId.size >= MAX_REPORTS + MAX_SURPLUS) dropLeastRelevant()
        return changed.filter { it.id in byId }
    }

    /** Removes reports that are too old to matter at [now], but for those in [kept]; returns whether there were any. */
    fun expire(now: MonotonicTime, kept: Set<Pair<ReplicaIncarnation, RequestId>>): Boolean {
        val hasExpired = byId.values.removeIf { report ->
            if (report.id in kept && !report.isSettled) {
                now - report.at > LONGEST_RETENTION
            } else {
                isExpired(report, now)
            }
        }
        if (hasExpired) derivedRows = null
        return hasExpired
    }

    /** Returns whether [report] is too old to matter at [now], unless suspects are held for it. */
    fun isExpired(report: CrashReport, now: MonotonicTime): Boolean =
        now - report.at > if (report.isSettled) SETTLED_RETENTION else RETENTION

    /** Returns those [running] requests whose replicas have not ended by what is known and by [reports]. */
    private fun withoutEnded(
        running: Collection<RunningRequest>,
        reports: Collection<CrashReport>,
    ): Collection<RunningRequest> {
        if (running.isEmpty()) return running
        val ended = (byId.values + reports).mapTo(HashSet()) { it.incarnation }
        return running.filter { it.incarnation !in ended }
    }

    private fun merge(report: CrashReport, running: RunningSuspects): CrashReport? {
        val known = byId[report.id]
        val merged = answered.observe(known?.merge(report) ?: running.observe(report))
        if (merged == known) return null
        byId[report.id] = merged
        return merged
    }

    private fun dropLeastRelevant() {
        val depth = { report: CrashReport -> report.suspects.maxOf { rows[it]?.depth ?: 0 } }
        val dropped = byId.values.map { it to depth(it) }
            .sortedWith(compareBy({ it.second }, { it.first.at }))
            .take(byId.size - MAX_REPORTS)
        dropped.forEach { (report, _) -> byId.remove(report.id) }
        derivedRows = null
    }

    companion object {
        /** Bounds memory to about 1 MB and messages to some hundred kB. */
        const val MAX_REPORTS: Int = 1_024

        /** How many more are kept for a while, as finding the least relevant ones takes time. */
        const val MAX_SURPLUS: Int = 128

        /** Callers repeat a request that has failed, and go on with a session, within minutes. */
        private val RETENTION = 10.minutes
        private val LONGEST_RETENTION = 24.hours

        /** Longer than VMs need to hear that no suspect is left. */
        private val SETTLED_RETENTION = 10.seconds
    }
}
