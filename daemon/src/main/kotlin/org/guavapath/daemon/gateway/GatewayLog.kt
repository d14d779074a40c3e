package org.guavapath.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineExceptionHandler
import org.guavapath.core.fleet.FleetRequest
import org.guavapath.core.fleet.FleetVersion
import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.placement.PlacementResult
import org.guavapath.core.quota.BucketReading
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal

/** What decided that [workspace] may not send a request that counts as [cost]. */
internal class LimitInputs(val workspace: WorkspaceName, val cost: Long, val bucket: BucketReading)

/**
 * One JSON line for each decision that touches a request or changes what this VM believes.
 *
 * Keys and prompts are never part of a line. The appender drops lines rather than block.
 */
internal class GatewayLog {
    private val logger = KotlinLogging.logger("org.guavapath.gateway")

    /** A request was refused before it was admitted. */
    fun refused(id: RequestId?, refusal: Refusal, version: FleetVersion?, route: String?, limit: LimitInputs?) =
        line(
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

    /** A replica was chosen for a request. */
    fun dispatched(admitted: AdmittedRequest, result: PlacementResult.Chosen, send: Int) {
        val chosen = result.chosen
        val load = chosen.record.load(MonotonicTime.now())
        line(
            "dispatched",
            "requestId" to admitted.request.id.text,
            "send" to send,
            "route" to admitted.route.name,
            "workspace" to admitted.workspace?.name?.text,
            "replica" to chosen.record.entry.id.text,
            "candidates" to result.candidates,
            "costMs" to chosen.cost.inWholeMilliseconds,
            "promptTokens" to admitted.request.prompt?.promptTokens,
            "heldTokens" to chosen.heldTokens,
            "fetchFrom" to chosen.source?.address,
            "fetchTokens" to chosen.source?.tokens,
            "queuedTokens" to load.promptTokens,
            "running" to load.requests,
            "weights" to chosen.weights?.number,
        )
    }

    /** A request to a replica gave no answer that could be passed on. */
    fun attemptEnded(admitted: AdmittedRequest, attempt: Attempt, reason: String) = line(
        "attempt ended",
        "requestId" to admitted.request.id.text,
        "replica" to attempt.choice.record.entry.id.text,
        "afterMs" to (MonotonicTime.now() - attempt.startedAt).inWholeMilliseconds,
        "failureShare" to attempt.choice.record.health.recentFailures,
        "reason" to reason,
    )

    /** A request ended. */
    fun ended(admitted: AdmittedRequest, ending: Ending, sends: Int, firstEventAt: MonotonicTime?) = line(
        "ended",
        "requestId" to admitted.request.id.text,
        "route" to admitted.route.name,
        "workspace" to admitted.workspace?.name?.text,
        "code" to ending.code.number,
        "result" to ending.code.label,
        "status" to ending.status,
        "detail" to ending.detail,
        "sends" to sends,
        "firstEventMs" to firstEventAt?.let { since(admitted.request, it) },
        "milliseconds" to since(admitted.request, MonotonicTime.now()),
    )

    /** What this VM believes has changed, or a dependency was lost or regained. */
    fun belief(message: String, vararg fields: Pair<String, Any?>) = line(message, *fields)

    /** Returns a handler that logs the failure of a task, which ends that task alone. */
    fun taskFailures(): CoroutineExceptionHandler = CoroutineExceptionHandler { _, failure ->
        logger.error(failure) { "a task failed" }
    }

    private fun since(request: FleetRequest, time: MonotonicTime) = (time - request.receivedAt).inWholeMilliseconds

    private fun line(message: String, vararg fields: Pair<String, Any?>) {
        logger.atInfo {
            this.message = message
            payload = fields.filter { it.second != null }.toMap()
        }
    }
}

/** The log and the metrics, which tell of the same endings. */
internal class GatewayRecords(val log: GatewayLog, val metrics: GatewayMetrics) {
    /** An admitted request ended. */
    fun ended(admitted: AdmittedRequest, ending: Ending, sends: Int, firstEventAt: MonotonicTime?) {
        log.ended(admitted, ending, sends, firstEventAt)
        metrics.ended(ending.code, admitted, firstEventAt)
    }
}
