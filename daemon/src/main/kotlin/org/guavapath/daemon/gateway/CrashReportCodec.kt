package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quarantine.PartKey
import org.guavapath.core.quarantine.RequestKey
import org.guavapath.core.quarantine.Suspect
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds

/** Converts crash reports for other gateways and the store, whose clocks differ; the age of a report is the same. */
internal object CrashReportCodec {
    /** The build before reports requests for which the head of the response came within that time before the crash. */
    private val TIME_SINCE_HEAD = 250.milliseconds

    /** Encodes [report] as of [now]. */
    fun encode(report: CrashReport, now: MonotonicTime) = PeerMessage.SharedCrashReport(
        report.incarnation.id.text,
        report.incarnation.startedAt,
        report.request,
        (now - report.sentAt).inWholeMilliseconds,
        (now - report.at).inWholeMilliseconds,
        encode(report.suspects),
        report.isStalled,
        encode(report.answeredBefore),
        encode(report.answeredSince),
        encode(report.outlived),
        report.trials,
    )

    /** Decodes [shared], whose age is as of [now]. */
    fun decode(shared: PeerMessage.SharedCrashReport, now: MonotonicTime) = CrashReport(
        ReplicaIncarnation(ReplicaId(shared.replica), shared.startedAt),
        shared.request,
        now + (-maxOf(shared.sentMillisecondsAgo, shared.ageMilliseconds)).milliseconds,
        now + (-shared.ageMilliseconds).milliseconds,
        decode(shared.suspects),
        shared.isStalled,
        decode(shared.answeredBefore),
        decode(shared.answeredSince),
        decode(shared.outlived),
        shared.trials,
    )

    /** Decodes a report of the build before, which does not say when the request was sent. */
    fun decode(shared: PeerMessage.SharedCrash, now: MonotonicTime): CrashReport {
        val at = now + (-shared.ageMilliseconds).milliseconds
        return CrashReport(
            ReplicaIncarnation(ReplicaId(shared.replica), shared.startedAt),
            shared.request,
            sentAt = at + -TIME_SINCE_HEAD,
            at,
            parts(shared.parts),
            isStalled = shared.stage == PeerMessage.CrashStage.BEFORE_FIRST_EVENT,
            parts(shared.answeredBefore),
            parts(shared.answeredSince),
            trials = shared.trials,
        )
    }

    /** Decodes a crash with a whole request, as the build before reports it. */
    fun decode(shared: PeerMessage.SharedRequestCrash, now: MonotonicTime): CrashReport {
        val at = now + (-shared.ageMilliseconds).milliseconds
        val incarnation = ReplicaIncarnation(ReplicaId(shared.replica), shared.startedAt)
        return CrashReport(incarnation, shared.request, sentAt = at, at, setOf(RequestKey(shared.key)))
    }

    /** Returns the parts of prompts among [suspects] as logs name them. */
    fun partsIn(suspects: Set<Suspect>): List<String> = suspects.filterIsInstance<PartKey>().map { it.toString() }

    /** Returns the whole request among [suspects] as logs name it, null if there is none. */
    fun requestIn(suspects: Set<Suspect>): String? =
        suspects.filterIsInstance<RequestKey>().firstOrNull()?.toString()

    /** Returns [report] as logs and operators name it. */
    fun describe(report: CrashReport): String =
        "${report.incarnation.id} ${report.incarnation.startedAt} with ${report.request}"

    private fun encode(suspects: Set<Suspect>) = PeerMessage.SharedSuspects(
        suspects.filterIsInstance<PartKey>().map { it.bits },
        suspects.filterIsInstance<RequestKey>().map { it.bits },
    )

    private fun decode(shared: PeerMessage.SharedSuspects): Set<Suspect> =
        parts(shared.parts) + shared.requests.map { RequestKey(it) }

    private fun parts(keys: List<Long>): Set<Suspect> = keys.map { PartKey(it) }.toSet()
}
