package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quarantine.PartKey
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds

/** Converts crash reports for other gateways and the store, whose clocks differ; the age of a report is the same. */
internal object CrashReportCodec {
    /** Encodes [report] as of [now]. */
    fun encode(report: CrashReport, now: MonotonicTime) = PeerMessage.SharedCrash(
        report.replica.text,
        report.startedAt,
        report.request,
        (now - report.at).inWholeMilliseconds,
        report.stage,
        report.parts.map { it.bits },
        report.answeredBefore.map { it.bits },
        report.answeredSince.map { it.bits },
        report.trials,
    )

    /** Decodes [shared], whose age is as of [now]. */
    fun decode(shared: PeerMessage.SharedCrash, now: MonotonicTime) = CrashReport(
        ReplicaId(shared.replica),
        shared.startedAt,
        shared.request,
        now + (-shared.ageMilliseconds).milliseconds,
        shared.stage,
        shared.parts.keys(),
        shared.answeredBefore.keys(),
        shared.answeredSince.keys(),
        shared.trials,
    )

    private fun List<Long>.keys() = map { PartKey(it) }.toSet()
}
