package org.guavapath.core.store

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** At which times responses of the store showed which revision, so that revisions can be dated. */
public class RevisionTimes {
    private class Sample(val revision: Revision, val at: MonotonicTime)

    private val samples = ArrayDeque<Sample>()

    /** Records that a call which began at [calledAt] showed [revision] as the newest one. */
    public fun record(revision: Revision, calledAt: MonotonicTime) {
        val last = samples.lastOrNull()
        if (last != null && (revision < last.revision || calledAt - last.at < MIN_INTERVAL)) return
        samples.addLast(Sample(revision, calledAt))
        if (samples.size > MAX_SAMPLES) samples.removeFirst()
    }

    /** Returns a time at which [revision] was not written yet, as late as is known; null if unknown. */
    public fun notBefore(revision: Revision): MonotonicTime? = samples.lastOrNull { it.revision < revision }?.at

    private companion object {
        val MIN_INTERVAL: Duration = 100.milliseconds
        const val MAX_SAMPLES = 128
    }
}
