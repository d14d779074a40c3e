package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.SoftwareVersion
import org.guavapath.core.versions.AnswerSource
import org.guavapath.core.versions.RouteName
import org.guavapath.core.versions.SourceCounts
import org.guavapath.core.versions.Stratum
import org.guavapath.core.versions.VersionGrant
import org.guavapath.core.versions.VersionOrder
import org.guavapath.core.versions.VersionPhase
import org.guavapath.core.versions.VersionProgress
import org.guavapath.core.versions.VersionReport
import org.guavapath.daemon.peers.SharedAnswers
import org.guavapath.daemon.peers.SharedOrder
import org.guavapath.daemon.peers.SharedPhase
import org.guavapath.daemon.peers.SharedPhaseName
import org.guavapath.daemon.peers.SharedRouteUse
import org.guavapath.daemon.peers.SharedVersionGrant
import org.guavapath.daemon.peers.SharedVersionReport
import org.guavapath.daemon.peers.VersionProgressRecord
import kotlin.time.Duration.Companion.milliseconds

/** Converts what gateways tell each other, and the store, about a move to another version. */
internal object VersionMessageCodec {
    fun encode(report: VersionReport) = SharedVersionReport(
        order(report.order),
        report.incarnation,
        report.number,
        report.age.inWholeMilliseconds,
        report.token,
        report.heard,
        report.ceiling,
        report.formerCeiling,
        phase(report.phase),
        (report.requests.keys + report.sent.keys + report.returned.keys).associate { route ->
            val use = SharedRouteUse(
                report.requests[route] ?: 0,
                report.sent[route] ?: 0,
                report.returned[route] ?: 0,
            )
            route.text to use
        },
        report.answers.map { (source, counts) -> answers(source, counts) },
        report.runningOnOld,
    )

    fun decode(shared: SharedVersionReport) = VersionReport(
        order(shared.order),
        shared.incarnation,
        shared.number,
        shared.ageMilliseconds.milliseconds,
        shared.token,
        shared.heard,
        shared.ceiling,
        shared.formerCeiling,
        phase(shared.phase),
        shared.routes.entries.associate { RouteName(it.key) to it.value.requests },
        shared.routes.entries.associate { RouteName(it.key) to it.value.sent },
        shared.routes.entries.associate { RouteName(it.key) to it.value.returned },
        shared.answers.associate { it.source to SourceCounts(it.answers, it.failures, it.times) },
        shared.runningOnOld,
    )

    fun encode(grant: VersionGrant) = SharedVersionGrant(
        order(grant.order),
        grant.incarnation,
        grant.number,
        grant.answered,
        grant.token,
        grant.age.inWholeMilliseconds,
        phase(grant.phase),
        grant.ceiling,
        grant.granted.mapKeys { it.key.text },
    )

    fun decode(shared: SharedVersionGrant) = VersionGrant(
        order(shared.order),
        shared.incarnation,
        shared.number,
        shared.answered,
        shared.token,
        shared.ageMilliseconds.milliseconds,
        phase(shared.phase),
        shared.ceiling,
        shared.granted.mapKeys { RouteName(it.key) },
    )

    fun encode(progress: VersionProgress) = VersionProgressRecord(
        order(progress.order),
        progress.ceiling,
        progress.requests,
        progress.age.inWholeMilliseconds,
        phase(progress.phase),
    )

    fun decode(record: VersionProgressRecord) = VersionProgress(
        order(record.order),
        record.ceiling,
        record.requests,
        record.ageMilliseconds.milliseconds,
        phase(record.phase),
    )

    private fun order(order: VersionOrder) =
        SharedOrder(order.service.text, order.target.text, order.duration.inWholeMilliseconds, order.createdAt)

    private fun order(shared: SharedOrder) = VersionOrder(
        ServiceName(shared.service),
        SoftwareVersion(shared.target),
        shared.durationMilliseconds.milliseconds,
        shared.createdAt,
    )

    private fun answers(source: AnswerSource, counts: SourceCounts): SharedAnswers {
        val stratum = source.stratum
        return SharedAnswers(
            stratum.route.text,
            stratum.load,
            stratum.reading,
            source.replica?.text,
            counts.answers,
            counts.failures,
            counts.times,
        )
    }
}

private val SharedAnswers.source: AnswerSource
    get() = AnswerSource(Stratum(RouteName(route), load, reading), replica?.let { ReplicaId(it) })

private fun phase(phase: VersionPhase) = when (phase) {
    VersionPhase.Trial -> SharedPhase(SharedPhaseName.TRIAL, "")
    VersionPhase.Move -> SharedPhase(SharedPhaseName.MOVE, "")
    VersionPhase.Done -> SharedPhase(SharedPhaseName.DONE, "")
    is VersionPhase.RolledBack -> SharedPhase(SharedPhaseName.ROLLED_BACK, phase.reason)
}

private fun phase(shared: SharedPhase) = when (shared.name) {
    SharedPhaseName.TRIAL -> VersionPhase.Trial
    SharedPhaseName.MOVE -> VersionPhase.Move
    SharedPhaseName.DONE -> VersionPhase.Done
    SharedPhaseName.ROLLED_BACK -> VersionPhase.RolledBack(shared.reason)
}
