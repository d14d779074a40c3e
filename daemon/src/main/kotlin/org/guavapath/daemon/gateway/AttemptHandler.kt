package org.guavapath.daemon.gateway

import org.guavapath.core.results.DispatchCode
import org.guavapath.daemon.pipeline.Refusal

/** Handles what happens on the attempts of one request: relays responses, has the request sent again, or ends it. */
internal class AttemptHandler(
    private val context: ExchangeContext,
    private val admitted: AdmittedRequest,
    private val sink: ResponseSink,
    private val relay: ResponseRelay,
    private val completion: ExchangeCompletion,
) {
    private val misdirections = Misdirections(context, admitted)

    /** The attempts. */
    val attempts: ExchangeAttempts = ExchangeAttempts(context, admitted, relay, ::onEvent, ::fallBackOrFail)
    private val running get() = attempts.running

    private fun onEvent(attempt: Attempt, event: AttemptEvent) {
        if (completion.hasEnded) return
        when (event) {
            is AttemptEvent.NotSent ->
                retryOrFail(attempt, DispatchCode.NoEndpoint, event.reason, hasArrived = false)
            is AttemptEvent.Held -> {
                running.end(attempt, event.refusal.code.label)
                fallBackOrFail(event.refusal)
            }
            is AttemptEvent.NotRun -> {
                misdirections.record(attempt, event.head)
                retryOrFail(attempt, DispatchCode.EndpointsBusy, "refused with ${event.head.status}, not run")
            }
            is AttemptEvent.HeadReceived -> {
                attempts.countPossibleRun(attempt)
                attempt.part.offerHead(event.head)
                if (running.isReplacing) attempt.silence.awaitFirstEvent()
            }
            is AttemptEvent.BytesReceived -> relayBytes(attempt, event.bytes)
            AttemptEvent.Ended -> context.crashes.ended(attempt, admitted)
            is AttemptEvent.Complete -> complete(attempt, event)
            is AttemptEvent.Failed -> {
                attempts.countPossibleRun(attempt)
                context.crashes.examine(attempt, admitted) {
                    retryOrFail(attempt, DispatchCode.OutcomeUnknown, event.reason)
                }
            }
            AttemptEvent.TimedOut -> onSilence(attempt)
            AttemptEvent.Outdated -> {
                attempts.countPossibleRun(attempt)
                retryOrFail(attempt, DispatchCode.OutcomeUnknown, "it has not begun on weights that were replaced")
            }
        }
    }

    private fun relayBytes(attempt: Attempt, bytes: ByteArray) = when (val result = attempt.part.write(bytes)) {
        RelayResult.Partial -> Unit
        RelayResult.Advanced -> {
            attempts.advanced(attempt)
            attempt.setReading(sink.isWritable)
        }
        is RelayResult.Invalid -> retryOrFail(attempt, DispatchCode.OutcomeUnknown, result.reason)
    }

    private fun complete(attempt: Attempt, event: AttemptEvent.Complete) {
        attempts.countPossibleRun(attempt)
        when {
            !event.head.isSuccess -> handleFailure(attempt, event)
            attempt.part.end() -> {
                attempts.advanced(attempt)
                context.crashes.answered(attempt, admitted, event.isFramed)
                completion.succeed(attempt, event.head.status, attempts.sends)
            }
            event.isFramed -> retryOrFail(attempt, DispatchCode.OutcomeUnknown, CUT_OFF_EVENT)
            else -> context.crashes.examine(attempt, admitted) {
                retryOrFail(attempt, DispatchCode.OutcomeUnknown, CUT_OFF_EVENT)
            }
        }
    }

    /** Handles the failure of a replica that ran the request: retries if allowed, otherwise relays its response. */
    private fun handleFailure(attempt: Attempt, event: AttemptEvent.Complete) {
        val status = event.head.status
        val reason = "the endpoint answered $status"
        val canBeRelayed = !relay.hasBegun && status !in NOT_RUN_STATUSES
        when {
            event.head.isServerError && attempt === running.silent -> running.end(attempt, reason)
            event.head.isServerError && attempts.mayRetry(hasArrived = true) -> sendNext(attempt, reason)
            canBeRelayed -> completion.forwardFailure(attempt, event, attempts.sends)
            else -> {
                running.end(attempt, reason)
                fallBackOrFail(Refusal(DispatchCode.OutcomeUnknown, reason))
            }
        }
    }

    /** Has the request sent to another replica, if allowed, when nothing arrives on [attempt]. */
    private fun onSilence(attempt: Attempt) {
        attempts.countPossibleRun(attempt)
        val mayRetry = attempts.mayRetry(hasArrived = true)
        context.telemetry.log.attemptSilent(admitted, attempt, relay.hasBegun, mayRetry)
        when {
            running.isReplacing -> onSilentReplacement(attempt, mayRetry)
            mayRetry && attempt.part.isWithinFirstEvent ->
                sendNext(attempt, "bytes but no event within the time limit")
            mayRetry -> {
                running.fellSilent(attempt)
                attempts.sendNext()
            }
            attempts.allowsAnotherSend -> attempt.silence.awaitMore()
        }
    }

    /** A replacement that has begun to run must not run on beside the attempt that it replaces. */
    private fun onSilentReplacement(attempt: Attempt, mayRetry: Boolean) {
        val reason = "no data within the time limit"
        when {
            mayRetry -> sendNext(attempt, reason)
            attempt.progress.headAt == null -> attempt.silence.awaitMore()
            else -> {
                running.giveUp(attempt, reason)
                running.fallBack()
            }
        }
    }

    /** Ends [attempt], which gives no whole response, and sends the request to another replica if that is allowed. */
    private fun retryOrFail(attempt: Attempt, code: DispatchCode, reason: String, hasArrived: Boolean = true) {
        if (completion.hasEnded || attempt !in running) return
        when {
            attempt === running.silent -> running.end(attempt, reason)
            attempts.mayRetry(hasArrived) -> sendNext(attempt, reason)
            else -> {
                running.end(attempt, reason)
                fallBackOrFail(Refusal(code, reason))
            }
        }
    }

    private fun sendNext(former: Attempt, reason: String) {
        running.end(former, reason)
        attempts.sendNext()
    }

    /** Waits for the silent attempt if there is one, which may go on; otherwise ends the request. */
    private fun fallBackOrFail(refusal: Refusal) {
        if (!running.fallBack()) completion.fail(refusal, attempts)
    }

    private companion object {
        const val CUT_OFF_EVENT = "the stream ended within an event"

        /** Statuses from which a caller concludes that its request was not run. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
