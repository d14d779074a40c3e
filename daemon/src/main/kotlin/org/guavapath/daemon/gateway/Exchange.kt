package org.guavapath.daemon.gateway

import io.netty.util.concurrent.ScheduledFuture
import org.guavapath.core.fleet.RetryPolicy
import org.guavapath.core.quarantine.RunningRequest
import org.guavapath.core.results.DispatchCode
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal
import java.util.concurrent.TimeUnit

/**
 * Handles one admitted request from its first dispatch to its response.
 *
 * Responds at the latest when the route's timeout expires, or so soon before the caller's deadline that the caller
 * still hears of it; a response that has begun may go on until the deadline.
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
    private val completion = ExchangeCompletion(context, admitted, sink, relay)
    private val attempts = AttemptHandler(context, admitted, sink, relay, completion).attempts
    private val running get() = attempts.running
    private var timer: ScheduledFuture<*>? = null

    /** What its replica has, if the response has begun and goes on. */
    val responding: RunningRequest?
        get() = running.responding?.let {
            RunningRequest(it.choice.record.entry.incarnation, admitted.suspects, it.startedAt)
        }

    override val progress: ExchangeProgress
        get() = ExchangeProgress(attempts.sends, running.current?.choice?.record?.entry?.id?.text, relay.hasBegun)

    /** Sends the request to its first replica. */
    fun start() {
        startTimer(admitted.refuseAt)
        completion.onEnd = {
            timer?.cancel(false)
            attempts.isOver = true
            context.running.remove(this)
        }
        context.running.add(this)
        context.recordFirstSend(admitted.service)
        attempts.sendNext()
    }

    override fun callerDisconnected() {
        if (completion.hasEnded) return
        running.cancel()
        completion.callerDisconnected(attempts.sends)
    }

    override fun callerWritable() {
        running.current?.setReading(true)
    }

    /** Ends the request if it, or a part of it, is held since it was sent and no event has arrived. */
    fun endIfQuarantined() {
        val isWaiting = !completion.hasEnded && !relay.hasBegun && !attempts.isTrial
        val refusal = (if (isWaiting) attempts.refusalSinceSent else null) ?: return
        running.current?.let {
            attempts.countPossibleRun(it)
            running.giveUp(it, "it is quarantined")
        }
        completion.fail(refusal, attempts)
    }

    /** Ends the request as the process stops: refuses it, or breaks off its response if that has begun. */
    fun endForStop() = end(Refusal(DispatchCode.Draining, "the gateway has stopped"))

    private fun startTimer(at: MonotonicTime) {
        val remaining = maxOf(1, (at - MonotonicTime.now()).inWholeMilliseconds)
        timer = context.loop.schedule({ onTimeout() }, remaining, TimeUnit.MILLISECONDS)
    }

    private fun onTimeout() {
        if (relay.hasBegun && MonotonicTime.now() < admitted.dueAt) return startTimer(admitted.dueAt)
        val code = if (running.current != null) DispatchCode.EndpointTimeout else DispatchCode.DeadlinePassed
        end(Refusal(code, "the time is over"))
    }

    private fun end(refusal: Refusal) {
        running.cancel { attempts.countPossibleRun(it) }
        completion.fail(refusal, attempts)
    }
}
