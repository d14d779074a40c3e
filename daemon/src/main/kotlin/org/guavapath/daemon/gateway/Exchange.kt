package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.RetryPolicy
import org.guavapath.core.results.DispatchCode
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal
import java.util.concurrent.TimeUnit

/**
 * Handles one admitted request from its first dispatch to its response.
 *
 * Responds at the latest when the caller's deadline or the route's timeout expires, whichever is first.
 */
internal class Exchange(
    private val context: ExchangeContext,
    private val admitted: AdmittedRequest,
    private val sink: ResponseSink,
) : RunningExchange {
    private val relay = when (admitted.route.retryPolicy) {
        is RetryPolicy.Stream -> StreamRelay(sink, admitted.request.resumeAfter)
        RetryPolicy.Idempotent, RetryPolicy.AtMostOnce -> BufferedRelay(sink)
    }
    private val misdirections = Misdirections(context, admitted)
    private val completion = ExchangeCompletion(context, admitted, sink, relay)
    private val attempts: ExchangeAttempts =
        ExchangeAttempts(context, admitted, relay, ::onAttemptEvent) { completion.fail(it, attempts) }

    override val progress: ExchangeProgress
        get() = ExchangeProgress(attempts.sends, attempts.current?.choice?.record?.entry?.id?.text, relay.hasBegun)

    /** Sends the request to its first replica. */
    fun start() {
        val remaining = maxOf(1, (admitted.dueAt - MonotonicTime.now()).inWholeMilliseconds)
        val timer = context.loop.schedule({ onTimeout() }, remaining, TimeUnit.MILLISECONDS)
        completion.onEnd = {
            timer.cancel(false)
            attempts.isOver = true
            context.running.remove(this)
        }
        context.running.add(this)
        context.recordFirstSend(admitted.service)
        attempts.sendNext()
    }

    override fun callerDisconnected() {
        if (completion.hasEnded) return
        attempts.current?.cancel()
        completion.callerDisconnected(attempts.sends)
    }

    override fun callerWritable() {
        attempts.current?.setReading(true)
    }

    /** Ends the request if it, or its prompt, has been quarantined since it was sent and no event has arrived. */
    fun endIfQuarantined() {
        val isWaiting = !completion.hasEnded && !relay.hasBegun && !attempts.isTrial
        val refusal = (if (isWaiting) attempts.refusalSinceSent else null) ?: return
        attempts.current?.let {
            attempts.countPossibleRun(it)
            it.cancel()
            context.telemetry.log.attemptEnded(admitted, it, "it is quarantined")
        }
        completion.fail(refusal, attempts)
    }

    private fun onAttemptEvent(attempt: Attempt, event: AttemptEvent) {
        if (completion.hasEnded) return
        when (event) {
            is AttemptEvent.NotSent ->
                retryOrFail(attempt, DispatchCode.NoEndpoint, event.reason, hasArrived = false)
            is AttemptEvent.NotRun -> {
                misdirections.record(attempt, event.head)
                retryOrFail(attempt, DispatchCode.EndpointsBusy, "refused with ${event.head.status}, not run")
            }
            is AttemptEvent.HeadReceived -> {
                attempts.countPossibleRun(attempt)
                relay.offerHead(event.head)
            }
            is AttemptEvent.BytesReceived -> when (val result = relay.write(event.bytes)) {
                RelayResult.Partial -> Unit
                RelayResult.Advanced -> attempt.setReading(sink.isWritable)
                is RelayResult.Invalid -> retryOrFail(attempt, DispatchCode.OutcomeUnknown, result.reason)
            }
            is AttemptEvent.Complete -> complete(attempt, event)
            is AttemptEvent.Failed -> {
                attempts.countPossibleRun(attempt)
                context.crashes.examine(attempt, admitted) {
                    retryOrFail(attempt, DispatchCode.OutcomeUnknown, event.reason)
                }
            }
            AttemptEvent.TimedOut -> {
                attempts.countPossibleRun(attempt)
                val mayRetry = attempts.mayRetry(hasArrived = true)
                context.telemetry.log.attemptSilent(admitted, attempt, relay.hasBegun, mayRetry)
                if (mayRetry) retry(attempt, "no data within the time limit")
            }
            AttemptEvent.Outdated -> {
                attempts.countPossibleRun(attempt)
                retryOrFail(attempt, DispatchCode.OutcomeUnknown, "it has not begun on weights that were replaced")
            }
        }
    }

    private fun complete(attempt: Attempt, event: AttemptEvent.Complete) {
        attempts.countPossibleRun(attempt)
        when {
            !event.head.isSuccess -> handleFailure(attempt, event)
            relay.end() -> {
                context.requestQuarantine.answered(admitted.key)
                admitted.request.prompt?.let { context.quarantine.answered(it) }
                completion.succeed(event.head.status, attempts.sends)
            }
            else -> retryOrFail(attempt, DispatchCode.OutcomeUnknown, "the stream ended within an event")
        }
    }

    /** Handles the failure of a replica that ran the request: retries if allowed, otherwise relays its response. */
    private fun handleFailure(attempt: Attempt, event: AttemptEvent.Complete) {
        val status = event.head.status
        val reason = "the endpoint answered $status"
        when {
            event.head.isServerError && attempts.mayRetry(hasArrived = true) -> retry(attempt, reason)
            relay.hasBegun || status in NOT_RUN_STATUSES -> completion.fail(
                Refusal(DispatchCode.OutcomeUnknown, reason),
                attempts
            )
            else -> completion.forwardFailure(event, attempts.sends)
        }
    }

    private fun retryOrFail(attempt: Attempt, code: DispatchCode, reason: String, hasArrived: Boolean = true) {
        if (completion.hasEnded) return
        if (attempts.mayRetry(hasArrived)) return retry(attempt, reason)
        attempt.cancel()
        context.telemetry.log.attemptEnded(admitted, attempt, reason)
        completion.fail(Refusal(code, reason), attempts)
    }

    /** Cancels [attempt] if it is still running and sends the request to another replica. */
    private fun retry(attempt: Attempt, reason: String) {
        attempt.cancel()
        context.telemetry.log.attemptEnded(admitted, attempt, reason)
        attempts.sendNext()
    }

    private fun onTimeout() {
        val attempt = attempts.current
        attempt?.cancel()
        attempt?.let { attempts.countPossibleRun(it) }
        val code = if (attempt == null) DispatchCode.DeadlinePassed else DispatchCode.EndpointTimeout
        completion.fail(Refusal(code, "the time is over"), attempts)
    }

    private companion object {
        /** Statuses from which a caller concludes that its request was not run. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
