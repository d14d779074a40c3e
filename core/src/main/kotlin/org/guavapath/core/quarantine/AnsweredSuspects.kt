package org.guavapath.core.quarantine

import org.guavapath.core.time.MonotonicTime

private const val INITIAL_CAPACITY = 1_024
private const val LOAD_FACTOR = 0.75f

/** Bounds memory to about 1 MB, at about 100 bytes per suspect. */
private const val MAX_SUSPECTS = 10_000

/** When the latest request with a suspect was sent that was answered completely; the least recently used go first. */
internal class AnsweredSuspects {
    private val times = object : LinkedHashMap<Suspect, MonotonicTime>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Suspect, MonotonicTime>): Boolean =
            size > MAX_SUSPECTS
    }

    /** Records that a request with [suspects] that was sent at [sentAt] was answered completely. */
    fun record(suspects: Set<Suspect>, sentAt: MonotonicTime) = suspects.forEach { suspect ->
        times.merge(suspect, sentAt) { known, added -> maxOf(known, added) }
    }

    /** Returns [report] with what is known of answers to requests with its suspects. */
    fun observe(report: CrashReport): CrashReport {
        val (since, before) = report.suspects.filter { times[it] != null }
            .partition { checkNotNull(times[it]) > report.sentAt }
        return report.copy(
            answeredBefore = report.answeredBefore + before,
            answeredSince = report.answeredSince + since,
        )
    }
}
