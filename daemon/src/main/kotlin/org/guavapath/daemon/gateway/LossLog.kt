/** Log lines about requests that may end without a whole answer. */
package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.FleetVersion
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime

/** Logs a failure of this program that ends a request. */
internal fun GatewayLog.requestFailed(cause: Throwable) =
    stateChange("request failed", "error" to cause.stackTraceToString())

/** Logs a [write] that was not made as it does not fit the [state] of the response to the request [id]. */
internal fun GatewayLog.misplacedWrite(id: RequestId?, write: String, state: ResponseState) =
    stateChange("response write refused", "requestId" to id?.text, "write" to write, "state" to state.name)

/** Logs an attempt on which nothing arrives, and whether the request may be sent to another replica. */
internal fun GatewayLog.attemptSilent(
    admitted: AdmittedRequest,
    attempt: Attempt,
    hasBegun: Boolean,
    mayRetry: Boolean,
) = stateChange(
    "attempt silent",
    "requestId" to admitted.request.id.text,
    "replica" to attempt.choice.record.entry.id.text,
    "afterMs" to (MonotonicTime.now() - attempt.startedAt).inWholeMilliseconds,
    "headMs" to attempt.progress.headAt?.let { (it - attempt.startedAt).inWholeMilliseconds },
    "bodyBytes" to attempt.progress.bodyBytes,
    "hasBegun" to hasBegun,
    "mayRetry" to mayRetry,
    "timeLeftMs" to (admitted.dueAt - MonotonicTime.now()).inWholeMilliseconds,
)

/**
 * Logs requests that were read and whose callers have no whole response as their connection ends.
 *
 * @param ids the callers' attempts, in order; null where a request names none
 * @param version the configuration in force since [configuredAt]
 */
internal fun GatewayLog.unanswered(
    unanswered: UnansweredRequests,
    ids: List<String?>,
    version: FleetVersion?,
    configuredAt: MonotonicTime,
) = stateChange(
    "requests unanswered",
    "requestIds" to ids.map { it.orEmpty() },
    "end" to unanswered.end.name,
    "pendingBytes" to unanswered.pendingBytes,
    "sends" to unanswered.progress?.sends,
    "replica" to unanswered.progress?.replica,
    "hasBegun" to unanswered.progress?.hasBegun,
    "receivedMs" to unanswered.requests.map { (MonotonicTime.now() - it.receivedAt).inWholeMilliseconds },
    "configuration" to version?.number,
    "configurationAgeMs" to (MonotonicTime.now() - configuredAt).inWholeMilliseconds,
)
