package org.guavapath.daemon.gateway

import io.netty.handler.codec.http.HttpHeaders
import org.guavapath.core.fleet.Repeatability
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.placement.PlacementRequest
import org.guavapath.core.placement.PlacementResult
import org.guavapath.core.results.DispatchCode
import org.guavapath.core.results.ResultCode
import org.guavapath.core.results.Served
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal
import org.guavapath.platform.wire.ReplyCodec
import org.guavapath.platform.wire.ReplyHead
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One admitted request from its first dispatch to its answer.
 *
 * A request goes to another replica only if the one before certainly did not run it, or if it may run
 * again. "Not run" is answered only if no replica can have run it. When the caller's time or the route's
 * is over, the answer goes out at once.
 */
internal class Exchange(
    private val context: ExchangeContext,
    private val admitted: AdmittedRequest,
    private val sink: AnswerSink,
) : RunningExchange, AttemptOwner {
    private val request = admitted.request
    private val route = admitted.route
    private val tried = HashSet<ReplicaId>()
    private val endAt = minOf(request.deadline, request.receivedAt + route.timeout)
    private val timer = context.loop.schedule({ timeIsUp() }, millisecondsLeft(), TimeUnit.MILLISECONDS)
    private val stream = (route.repeatability as? Repeatability.Stream)?.let { StreamRelay(sink, request.resumeAfter) }
    private var current: Attempt? = null
    private var sends = 0

    /** Replicas that may have run the request, or a part of it. */
    private var runs = 0
    private var hasEnded = false
    private var body = WholeBody()

    /** Sends the request to its first replica. */
    fun start() {
        context.budget(admitted.service.name).countFirst(MonotonicTime.now())
        place()
    }

    override fun callerLeft() {
        if (hasEnded) return
        current?.cancel()
        ended(DispatchCode.AnswerIncomplete, "the caller left", status = 0)
    }

    override fun writable() {
        current?.setReading(true)
    }

    private fun place() {
        val wanted = PlacementRequest(
            admitted.service.name,
            request.prompt,
            admitted.workspace?.takeIf { it.isIsolated }?.name,
            tried,
        )
        when (val result = context.placement.choose(wanted, MonotonicTime.now())) {
            is PlacementResult.NoReplica -> giveUp(DispatchCode.NoEndpoint, result.reason)
            is PlacementResult.Chosen -> send(result)
        }
    }

    private fun send(result: PlacementResult.Chosen) {
        val chosen = result.chosen
        sends += 1
        tried.add(chosen.record.entry.id)
        context.log.dispatched(admitted, result, sends)
        body = WholeBody()
        val attempt = Attempt(context, admitted, chosen, stream?.resumeAfter, this)
        current = attempt
        attempt.start(endAt - MonotonicTime.now(), saveTo = null)
    }

    override fun notSent(attempt: Attempt, reason: String) {
        context.log.attemptEnded(admitted, attempt, "not sent: $reason")
        if (sends < MOST_SENDS) place() else giveUp(DispatchCode.EndpointUnreachable, reason)
    }

    override fun head(attempt: Attempt, head: ReplyHead, headers: HttpHeaders) {
        if (head.isNotRun) return
        countRun(attempt)
        stream?.takeIf { head.isSuccess && head.isSigned }?.offerHead(answerHead(head, headers))
    }

    override fun body(attempt: Attempt, bytes: ByteArray) {
        val head = attempt.head ?: return
        if (stream == null || !head.isSuccess || !head.isSigned) {
            body.append(bytes)
            return
        }
        if (!stream.relay(bytes)) {
            attempt.cancel()
            broken(attempt, "the events are out of order")
        } else if (!sink.isWritable) {
            attempt.setReading(false)
        }
    }

    override fun complete(attempt: Attempt) {
        val head = checkNotNull(attempt.head)
        when {
            head.isNotRun -> refused(attempt, head)
            !head.isSuccess -> failed(attempt, head)
            !head.isSigned -> broken(attempt, "a success without a signature")
            stream == null -> answer(head, attempt.headers)
            stream.end() -> ended(Served, "stream of ${stream.events} events", head.status)
            else -> broken(attempt, "the stream ended within an event")
        }
    }

    /** The replica did not run the request; its weights, its identity or its load forbade it. */
    private fun refused(attempt: Attempt, head: ReplyHead) {
        context.log.attemptEnded(admitted, attempt, "refused with ${head.status}, not run")
        if (head.isMisdirected) misdirected(attempt, head)
        if (isRepeatable(mayRun = false)) place() else giveUp(DispatchCode.EndpointsBusy, "refused with ${head.status}")
    }

    private fun misdirected(attempt: Attempt, head: ReplyHead) {
        val record = attempt.choice.record
        val model = request.prompt?.model
        if (head.replica != null && head.replica != record.entry.id) {
            record.loadingUntil = MonotonicTime.now() + WRONG_ADDRESS_PAUSE
        } else if (model != null) {
            context.weights.newest(model)?.let { record.sawWeights(model, it) }
        }
    }

    /** The replica ran the request and failed. Its answer is passed on unless another replica may try. */
    private fun failed(attempt: Attempt, head: ReplyHead) {
        context.log.attemptEnded(admitted, attempt, "failed with ${head.status}")
        when {
            head.status >= FIRST_FAULT_STATUS && isRepeatable(mayRun = true) -> place()
            head.status in NOT_RUN_STATUSES -> giveUp(
                DispatchCode.OutcomeUnknown,
                "the endpoint answered ${head.status}"
            )
            else -> answer(head, attempt.headers)
        }
    }

    override fun broken(attempt: Attempt, reason: String) {
        if (hasEnded) return
        countRun(attempt)
        context.log.attemptEnded(admitted, attempt, reason)
        stream?.dropPartialEvent()
        if (isRepeatable(mayRun = true)) place() else giveUp(DispatchCode.OutcomeUnknown, reason)
    }

    override fun silent(attempt: Attempt) {
        if (!route.repeatability.mayRunAgain || hasEnded) return
        countRun(attempt)
        if (!isRepeatable(mayRun = true)) return
        attempt.cancel()
        context.log.attemptEnded(admitted, attempt, "silent for too long")
        stream?.dropPartialEvent()
        place()
    }

    private fun countRun(attempt: Attempt) {
        if (!attempt.isCountedAsRun) runs += 1
        attempt.isCountedAsRun = true
    }

    /** Takes a repeat from the budget if the request may be sent again. */
    private fun isRepeatable(mayRun: Boolean): Boolean {
        val now = MonotonicTime.now()
        val isAllowed = !mayRun && runs == 0 || route.repeatability.mayRunAgain && runs < route.replicaLimit
        return isAllowed && sends < MOST_SENDS && endAt - now > LEAST_TIME_FOR_REPEAT &&
            context.budget(admitted.service.name).takeRepeat(context.repeatSlack, now)
    }

    private fun timeIsUp() {
        if (hasEnded) return
        val wasSent = current != null && sends > 0
        current?.cancel()
        giveUp(if (wasSent) DispatchCode.EndpointTimeout else DispatchCode.DeadlinePassed, "the time is over")
    }

    /** Ends the request without an answer of a replica; [code] says "not run" only if that is certain. */
    private fun giveUp(code: DispatchCode, detail: String) {
        if (stream?.hasBegun == true) {
            sink.abort()
            ended(DispatchCode.AnswerIncomplete, detail, status = 0)
            return
        }
        val isSureNotRun = runs == 0 && (code != DispatchCode.EndpointTimeout)
        val told = if (code.status.number == UNAVAILABLE && !isSureNotRun) DispatchCode.OutcomeUnknown else code
        val retryAfter = if (told.status.number == UNAVAILABLE) RETRY_AFTER else null
        if (isSureNotRun) admitted.workspace?.let { context.quota.refund(it.name, admitted.charged) }
        sink.refuse(Refusal(told, detail, retryAfter), request.id)
        ended(told, detail, told.status.number)
    }

    private fun answer(head: ReplyHead, headers: HttpHeaders) {
        sink.whole(answerHead(head, headers), body.bytes())
        ended(Served, "answered ${head.status}", head.status)
    }

    private fun answerHead(head: ReplyHead, headers: HttpHeaders) =
        AnswerHead(head.status, ReplyCodec.forCaller(headers))

    private fun ended(code: ResultCode, detail: String, status: Int) {
        hasEnded = true
        timer.cancel(false)
        context.log.ended(admitted, Ending(code, detail, status), sends, stream?.firstEventAt)
        context.metrics.ended(code, admitted, stream?.firstEventAt)
    }

    private fun millisecondsLeft() = maxOf(1, (endAt - MonotonicTime.now()).inWholeMilliseconds)

    private companion object {
        const val UNAVAILABLE = 503
        const val FIRST_FAULT_STATUS = 500

        /** Statuses that tell a caller that its request has not run. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
        const val MOST_SENDS = 4
        val LEAST_TIME_FOR_REPEAT = 50.milliseconds

        /** A refused request finds a place within about the time of one answer. */
        val RETRY_AFTER: Duration = 300.milliseconds

        /** The list tells within two seconds who is at an address now. */
        val WRONG_ADDRESS_PAUSE = 2000.milliseconds
    }
}

/** Collects the body of an answer that is passed on whole. */
internal class WholeBody {
    private val collected = java.io.ByteArrayOutputStream()

    fun append(bytes: ByteArray) = collected.write(bytes)

    fun bytes(): ByteArray = collected.toByteArray()
}
