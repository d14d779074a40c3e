package org.guavapath.daemon.gateway

import org.guavapath.core.results.DispatchCode
import org.guavapath.core.results.ResultCode
import org.guavapath.core.results.Served
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Completes one request exactly once: writes the final response, the log line and the metrics. */
internal class ExchangeCompletion(
    private val context: ExchangeContext,
    private val admitted: AdmittedRequest,
    private val sink: ResponseSink,
    private val relay: ResponseRelay,
) {
    /** Whether the request has ended. */
    var hasEnded = false
        private set

    /** Called once when the request has ended. */
    var onEnd: () -> Unit = {}

    /** Records that the whole response was relayed, whose last part was that of [attempt]. */
    fun succeed(attempt: Attempt, status: Int, sends: Int) =
        finish(ExchangeResult(Served, relay.summary(), status, attempt), sends)

    /** Relays a replica's unsuccessful response to [attempt]. */
    fun forwardFailure(attempt: Attempt, event: AttemptEvent.Complete, sends: Int) {
        sink.writeFull(event.response, event.rejection)
        finish(ExchangeResult(Served, "relayed ${event.head.status}", event.head.status, attempt), sends)
    }

    /** Records that the caller closed its connection. */
    fun callerDisconnected(sends: Int) =
        finish(ExchangeResult(DispatchCode.AnswerIncomplete, "the caller disconnected", status = 0), sends)

    /** Ends the request without a replica's response; "not run" is reported only if that is certain. */
    fun fail(refusal: Refusal, attempts: ExchangeAttempts) {
        if (attempts.isKnownNotRun) admitted.workspace?.let { context.fleet.quota.refund(it.name, admitted.cost) }
        if (relay.hasBegun) {
            sink.abort()
            finish(ExchangeResult(DispatchCode.AnswerIncomplete, refusal.detail, status = 0), attempts.sends)
            return
        }
        val code = reportableCode(refusal.code, attempts)
        val retryAfter = if (code.status.number == UNAVAILABLE) refusal.retryAfter ?: defaultRetryAfter() else null
        sink.refuse(Refusal(code, refusal.detail, retryAfter), admitted.request.id)
        finish(ExchangeResult(code, refusal.detail, code.status.number), attempts.sends)
    }

    private fun defaultRetryAfter(): Duration {
        val pauseEnd = context.fleet.replicas.firstPauseEnd(admitted.service.name, MonotonicTime.now())
        return pauseEnd?.let { context.timeToReturn(admitted.service, it) } ?: RETRY_AFTER
    }

    private fun reportableCode(code: ResultCode, attempts: ExchangeAttempts): ResultCode {
        val promisesNotRun = code.status.number == UNAVAILABLE
        return if (promisesNotRun && !attempts.isKnownNotRun) DispatchCode.OutcomeUnknown else code
    }

    private fun finish(result: ExchangeResult, sends: Int) {
        hasEnded = true
        onEnd()
        context.telemetry.ended(admitted, result, sends, relay.firstEventAt)
    }

    private companion object {
        const val UNAVAILABLE = 503

        /** Capacity usually frees up within the duration of one response. */
        val RETRY_AFTER: Duration = 300.milliseconds
    }
}
