package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quarantine.Suspect
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/**
 * An attempt that the gateway gave up, which the replica may have gone on with.
 *
 * @property givenUpAt when its connection was closed
 */
internal class GivenUpAttempt(
    val incarnation: ReplicaIncarnation,
    val request: RequestId,
    val suspects: Set<Suspect>,
    val sentAt: MonotonicTime,
    val givenUpAt: MonotonicTime,
)

/** The attempts that were given up recently: if their replica ends soon after, they may be the cause. */
internal class GivenUpAttempts {
    private val latest = ArrayDeque<GivenUpAttempt>()

    /** Records [attempt]; the oldest one is forgotten if there are too many. */
    fun add(attempt: GivenUpAttempt) {
        latest.addLast(attempt)
        if (latest.size > MAX_ATTEMPTS) latest.removeFirst()
    }

    /** Returns and forgets the reports of the attempts on [incarnation], which ended [at]. */
    fun reportsOf(incarnation: ReplicaIncarnation, at: MonotonicTime): List<CrashReport> {
        val ofIncarnation = latest.filter { it.incarnation == incarnation && it.sentAt <= at }
        latest.removeAll(ofIncarnation.toSet())
        return ofIncarnation.filter { at - it.givenUpAt <= TIME_TO_GO_ON }
            .map { CrashReport(incarnation, it.request, it.sentAt, at, it.suspects) }
    }

    private companion object {
        const val MAX_ATTEMPTS = 512

        /** A replica goes on until it next writes, and is listed with its next start some seconds after its end. */
        val TIME_TO_GO_ON = 10.seconds
    }
}
