package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.time.MonotonicTime

/**
 * A request whose response has begun and goes on.
 *
 * @property incarnation the run of the replica that responds
 * @property suspects all parts of the prompt, and the whole request
 * @property sentAt when the request was sent to the replica
 */
public data class RunningRequest(
    public val incarnation: ReplicaIncarnation,
    public val suspects: Set<Suspect>,
    public val sentAt: MonotonicTime,
)

/**
 * The suspects of some reports in requests that one VM has running.
 *
 * A cause that ends whichever replica runs it would have ended those first whose requests were sent first.
 */
internal class RunningSuspects(running: Collection<RunningRequest>, reports: Collection<CrashReport>) {
    /** The earliest requests with each suspect, to two different replicas: one of them is not the one that ended. */
    private val earliest = HashMap<Suspect, MutableList<RunningRequest>>()

    init {
        val suspected = if (running.isEmpty()) emptySet() else reports.flatMapTo(HashSet()) { it.suspects }
        running.sortedBy { it.sentAt }.forEach { request ->
            request.suspects.filter { it in suspected }.forEach { suspect ->
                val known = earliest.getOrPut(suspect) { ArrayList(2) }
                if (known.size < 2 && known.none { it.incarnation.id == request.incarnation.id }) known += request
            }
        }
    }

    /** Returns [report] with those of its suspects that are in requests which other replicas were sent earlier. */
    fun observe(report: CrashReport): CrashReport {
        val outlived = report.suspects.filter { suspect ->
            earliest[suspect].orEmpty().any {
                it.incarnation.id != report.incarnation.id && it.sentAt < report.sentAt
            }
        }
        return if (outlived.isEmpty()) report else report.copy(outlived = report.outlived + outlived)
    }
}
