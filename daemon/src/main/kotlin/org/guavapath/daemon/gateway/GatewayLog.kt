package org.guavapath.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineExceptionHandler
import org.guavapath.core.fleet.FleetRequest
import org.guavapath.core.fleet.FleetVersion
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.placement.PlacementResult
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quota.BucketReading
import org.guavapath.core.throttling.PermitDecision
import org.guavapath.core.throttling.RequestRate
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.TargetWeights
import org.guavapath.daemon.pipeline.Refusal

/** The token bucket of [workspace] when it refused a request of [cost]. */
internal class ExceededLimit(val workspace: WorkspaceName, val cost: Long, val bucket: BucketReading)

/**
 * An attempt whose connection closed at [at], with the requests of this VM that still ran on the replica.
 *
 * The connections of a crashed replica close one after the other, so that the first of its attempts has most others.
 */
internal class CutOffAttempt(val attempt: Attempt, val at: MonotonicTime, val othersRunning: Int)

/**
 * Logs one JSON line for each decision on a request and each change of this VM's state.
 *
 * Lines never contain keys or prompts. The appender drops lines rather than block.
 */
internal class GatewayLog {
    private val logger = KotlinLogging.logger("org.guavapath.gateway")

    /** Logs a request that was refused before admission. */
    fun refused(id: RequestId?, refusal: Refusal, version: FleetVersion?, route: String?, limit: ExceededLimit?) =
        write(
            "refused",
            "requestId" to id?.text,
            "code" to refusal.code.number,
            "result" to refusal.code.label,
            "detail" to refusal.detail,
            "retryAfterMs" to refusal.retryAfter?.inWholeMilliseconds,
            "route" to route,
            "configuration" to version?.number,
            "workspace" to limit?.workspace?.text,
            "cost" to limit?.cost,
            "tokensLeft" to limit?.bucket?.level,
            "burst" to limit?.bucket?.burst,
            "ratePerSecond" to limit?.bucket?.ratePerSecond,
            "rateShare" to limit?.bucket?.share,
        )

    /** Logs the replica chosen for a request, the rate that it has named, and how its weights compare to the target. */
    fun dispatched(
        admitted: AdmittedRequest,
        result: PlacementResult.Chosen,
        send: Int,
        namedRate: RequestRate?,
        targets: TargetWeights,
    ) {
        val chosen = result.chosen
        val now = MonotonicTime.now()
        val load = chosen.record.load(now)
        val model = admitted.request.prompt?.model
        write(
            "dispatched",
            "requestId" to admitted.request.id.text,
            "send" to send,
            "route" to admitted.route.name,
            "workspace" to admitted.workspace?.name?.text,
            "replica" to chosen.record.entry.id.text,
            "candidates" to result.candidates,
            "costMs" to chosen.cost.inWholeMilliseconds,
            "promptTokens" to admitted.request.prompt?.promptTokens,
            "sharedParts" to admitted.request.prompt?.parts?.dropLast(1)?.map { it.id },
            "heldTokens" to chosen.heldTokens,
            "fetchFrom" to chosen.source?.address,
            "fetchTokens" to chosen.source?.tokens,
            "queuedTokens" to load.promptTokens,
            "running" to load.requests,
            "weights" to chosen.weights?.number,
            "targetWeights" to model?.let { targets.newest(it)?.number },
            "staleness" to model?.let { name -> chosen.weights?.let { targets.staleness(name, it, now).toString() } },
            "namedRate" to namedRate?.perSecond,
        )
    }

    /** Logs that a request is not sent to [replica], whose rate is used up, until [denied] says. */
    fun permitDenied(admitted: AdmittedRequest, replica: ReplicaId, rate: RequestRate?, denied: PermitDecision.Denied) =
        write(
            "permit denied",
            "requestId" to admitted.request.id.text,
            "replica" to replica.text,
            "namedRate" to rate?.perSecond,
            "nextPermitMs" to denied.retryAfter.inWholeMilliseconds,
        )

    /** Logs an attempt without a complete response that could be relayed. */
    fun attemptEnded(admitted: AdmittedRequest, attempt: Attempt, reason: String) = write(
        "attempt ended",
        "requestId" to admitted.request.id.text,
        "replica" to attempt.choice.record.entry.id.text,
        "afterMs" to (MonotonicTime.now() - attempt.startedAt).inWholeMilliseconds,
        "headMs" to attempt.progress.headAt?.let { (it - attempt.startedAt).inWholeMilliseconds },
        "firstBytesMs" to attempt.progress.firstBytesAt?.let { (it - attempt.startedAt).inWholeMilliseconds },
        "connection" to attempt.port,
        "connectionRequests" to attempt.carried,
        "bodyBytes" to attempt.progress.bodyBytes,
        "failureShare" to attempt.choice.record.health.recentFailures,
        "reason" to reason,
    )

    /** Logs an attempt that ended with the crash of its replica. The line may follow the end of the request. */
    fun cutOff(admitted: AdmittedRequest, cutOff: CutOffAttempt, report: CrashReport) {
        val attempt = cutOff.attempt
        val replica = attempt.choice.record.entry
        write(
            "attempt cut off by crash",
            "suspectId" to admitted.request.id.text,
            "requestDigest" to admitted.key.toString(),
            "requestBytes" to admitted.incoming.bodySize,
            "route" to admitted.route.name,
            "workspace" to admitted.workspace?.name?.text,
            "replica" to replica.id.text,
            "incarnation" to replica.startedAt,
            "afterMs" to (cutOff.at - attempt.startedAt).inWholeMilliseconds,
            "sinceHeadMs" to attempt.progress.headAt?.let { (cutOff.at - it).inWholeMilliseconds },
            "sinceFirstBytesMs" to attempt.progress.firstBytesAt?.let { (cutOff.at - it).inWholeMilliseconds },
            "othersRunning" to cutOff.othersRunning,
            "promptTokens" to admitted.request.prompt?.promptTokens,
            "parts" to admitted.request.prompt?.parts?.map { it.id },
            "partKeys" to CrashReportCodec.partsIn(report.suspects),
            "isStalled" to report.isStalled,
            "answeredBefore" to report.answeredBefore.map { it.toString() },
            "answeredSince" to report.answeredSince.map { it.toString() },
        )
    }

    /** Logs the end of an admitted request. */
    fun ended(admitted: AdmittedRequest, result: ExchangeResult, sends: Int, firstEventAt: MonotonicTime?) = write(
        "ended",
        "requestId" to admitted.request.id.text,
        "route" to admitted.route.name,
        "workspace" to admitted.workspace?.name?.text,
        "code" to result.code.number,
        "result" to result.code.label,
        "status" to result.status,
        "detail" to result.detail,
        "sends" to sends,
        "replica" to result.attempt?.choice?.record?.entry?.id?.text,
        "connection" to result.attempt?.port,
        "connectionRequests" to result.attempt?.carried,
        "firstEventMs" to firstEventAt?.let { since(admitted.request, it) },
        "milliseconds" to since(admitted.request, MonotonicTime.now()),
    )

    /** Logs a change of this VM's state, or a dependency that was lost or regained. */
    fun stateChange(message: String, vararg fields: Pair<String, Any?>) = write(message, *fields)

    /** Returns a handler that logs the failure of a task; other tasks go on. */
    fun taskFailures(): CoroutineExceptionHandler = CoroutineExceptionHandler { _, failure ->
        logger.error(failure) { "a task failed" }
    }

    private fun since(request: FleetRequest, time: MonotonicTime) = (time - request.receivedAt).inWholeMilliseconds

    private fun write(message: String, vararg fields: Pair<String, Any?>) {
        logger.atInfo {
            this.message = message
            payload = fields.filter { it.second != null }.toMap()
        }
    }
}

/** The log and the metrics; both record the end of each request. */
internal class GatewayTelemetry(val log: GatewayLog, val metrics: GatewayMetrics) {
    /** Records an attempt that ended with the crash of its replica. */
    fun cutOff(admitted: AdmittedRequest, cutOff: CutOffAttempt, report: CrashReport) {
        log.cutOff(admitted, cutOff, report)
        metrics.cutOff(cutOff.attempt.progress)
    }

    /** Records that no crash was found behind an attempt that was cut off. The line may follow the request's end. */
    fun outlived(admitted: AdmittedRequest, cutOff: CutOffAttempt, survival: Survival) {
        val attempt = cutOff.attempt
        val replica = attempt.choice.record.entry
        log.stateChange(
            "replica outlived cut-off attempt",
            "requestId" to admitted.request.id.text,
            "replica" to replica.id.text,
            "incarnation" to replica.startedAt,
            "afterMs" to (cutOff.at - attempt.startedAt).inWholeMilliseconds,
            "sinceCutOffMs" to (MonotonicTime.now() - cutOff.at).inWholeMilliseconds,
            "connections" to survival.connections,
            "isAccepting" to survival.isAccepting,
            "isListed" to survival.isListed,
            "isLeaving" to survival.isLeaving,
        )
    }

    /** Records a response of [replica] that belongs to another request than the pending one, or to none. */
    fun stray(replica: ReplicaId, stray: StrayResponse) {
        log.stateChange(
            "stray response",
            "kind" to stray.kind.label,
            "requestId" to stray.expected?.text,
            "receivedId" to stray.head?.request?.text,
            "receivedStatus" to stray.head?.status,
            "isSigned" to stray.head?.isSigned,
            "replica" to replica.text,
            "connection" to stray.port,
            "connectionRequests" to stray.carried,
            "detail" to stray.detail,
        )
        metrics.count("guavapath.gateway.stray.responses", "kind", stray.kind.label)
    }

    /** Records the end of an admitted request. */
    fun ended(admitted: AdmittedRequest, result: ExchangeResult, sends: Int, firstEventAt: MonotonicTime?) {
        log.ended(admitted, result, sends, firstEventAt)
        metrics.ended(result.code, admitted, firstEventAt)
    }
}
