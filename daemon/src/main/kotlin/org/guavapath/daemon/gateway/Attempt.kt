package org.guavapath.daemon.gateway

import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import org.guavapath.core.fleet.RetryPolicy
import org.guavapath.core.placement.ReplicaOutcome
import org.guavapath.core.placement.ScoredReplica
import org.guavapath.core.placement.WeightsSource
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal
import org.guavapath.platform.wire.ReplicaInstructions
import org.guavapath.platform.wire.ReplicaResponseHead
import org.guavapath.platform.wire.ResponseCodec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Above the slowest response to a request without a prompt, which takes 315 ms; the average is 43 ms. */
private val PLAIN_FIRST_BYTE_TIMEOUT = 400.milliseconds
private const val EXPECTATION_FACTOR = 2
private val FIRST_BYTE_MARGIN = 300.milliseconds
private val MAX_FIRST_BYTE_TIMEOUT = 2.seconds

/** Progress or outcome of an [Attempt]. */
internal sealed class AttemptEvent {
    /** No byte reached the replica. */
    class NotSent(val reason: String) : AttemptEvent()

    /** The request was not sent, as replicas crash on requests like it. */
    class Held(val refusal: Refusal) : AttemptEvent()

    /** The replica states that it did not run the request. */
    class NotRun(val head: ReplicaResponseHead) : AttemptEvent()

    /** The head of a successful and signed response. */
    class HeadReceived(val head: ResponseHead) : AttemptEvent()

    /** The next bytes of a successful response. */
    class BytesReceived(val bytes: ByteArray) : AttemptEvent()

    /**
     * The replica has ended its side of the connection, and its response, which has no length, with it. It is not known
     * yet whether the response is whole.
     */
    data object Ended : AttemptEvent()

    /**
     * The response is complete; [rejection] is the body of an unsuccessful one. Unless it [isFramed], it has ended with
     * its connection.
     */
    class Complete(
        val head: ReplicaResponseHead,
        val response: ResponseHead,
        val rejection: ByteArray,
        val isFramed: Boolean,
    ) : AttemptEvent()

    /** The response was cut off or invalid; the replica may have run the request. */
    class Failed(val reason: String) : AttemptEvent()

    /** Nothing arrived within the time limit; the replica may still respond. */
    data object TimedOut : AttemptEvent()

    /** The request has not begun, and would begin too late on weights that have been replaced. */
    data object Outdated : AttemptEvent()
}

/**
 * One request to one replica.
 *
 * Updates the replica's load and health records. Reports a time-out if the first bytes take longer than expected, or if
 * the response stalls for longer than a healthy replica mostly pauses; it goes on until it ends or is cancelled.
 *
 * @property part where the bytes of the response go
 * @param holdNow returns how the request is refused if replicas crash on requests like it; asked once, right before the
 *   request is sent
 */
internal class Attempt(
    private val context: ExchangeContext,
    private val admitted: AdmittedRequest,
    val choice: ScoredReplica,
    val part: ResponsePart,
    private val holdNow: () -> Refusal?,
    private val onEvent: (Attempt, AttemptEvent) -> Unit,
) : ReplicaResponseListener {
    private val record = choice.record
    private val accounting = AttemptAccounting(record, choice.uncachedTokens(admitted.request.prompt))
    private val rejection = BodyBuffer()
    private var call: PooledCall? = null
    private var hasEnded = false

    /** Whether the replica has ended its side of the connection, and with it a response without a length. */
    private var hasReplicaEnded = false
    private var isKnownSilent = false
    private var hold: Refusal? = null

    /** Notices when nothing arrives. */
    val silence = SilenceTimer(context.loop) {
        if (!isKnownSilent) accounting.observe(ReplicaOutcome.UNRESPONSIVE)
        isKnownSilent = true
        if (progress.headAt == null) call?.reportSilence()
        onEvent(this, AttemptEvent.TimedOut)
    }
    private val beginningTimer = BeginningTimer(context, admitted.request.prompt?.model, choice) {
        onEvent(this, AttemptEvent.Outdated)
    }
    private var head: ReplicaResponseHead? = null
    private var headers: HttpHeaders = EmptyHttpHeaders.INSTANCE

    /** Whether it has neither ended nor been cancelled. */
    val isRunning: Boolean get() = !hasEnded

    /** Whether a successful response has begun and goes on. */
    val isResponding: Boolean
        get() = !hasEnded && !hasReplicaEnded && head?.isRelayed == true && progress.firstBytesAt != null

    /** The local port of its connection, null if it was not handed to one. */
    val port: Int? get() = call?.port

    /** Number of requests that its connection has carried, null if it was not handed to one. */
    val carried: Int? get() = call?.carried

    /** Whether the exchange has counted this attempt as possibly run. */
    var isCountedAsRun = false
    val startedAt = MonotonicTime.now()

    /** How much of the response has arrived. */
    val progress = AttemptProgress()

    /** Sends the request. */
    fun start(instructions: ReplicaInstructions) {
        choice.path?.let { context.fleet.directory.record(it, record.entry.id, startedAt) }
        silence.awaitBeginning(firstByteTimeout(admitted, choice))
        beginningTimer.start()
        val refusal = {
            val isLate = MonotonicTime.now() >= admitted.dueAt
            val reason = if (isLate) "no time is left" else context.availability.refusal(record.entry)
            // Asked last, as a trial then counts as sent.
            if (reason == null) hold = holdNow()
            reason ?: hold?.code?.label
        }
        val request = ReplicaRequest(
            record.entry,
            ReplicaRequests.forward(admitted.incoming, instructions),
            admitted.request.id,
            ConnectionChoice.Pooled(
                if (admitted.route.retryPolicy.mayRunAgain) RETRYABLE_MAX_IDLE else NON_RETRYABLE_MAX_IDLE,
            ),
            context.maxConnectionsFor(admitted.service),
            refusal,
        )
        call = context.pool.send(request, this)
        if (hasEnded) call?.cancel()
    }

    /** Ends the attempt and closes its connection, so that the replica stops working on the request. */
    fun cancel() = end(outcome = null) {
        call?.cancel()
        if (call?.isConnected == true) context.crashes.givenUp(this, admitted)
    }

    /** Reads on, or pauses while the caller does not keep up; a paused response is not stalled. */
    fun setReading(isReading: Boolean) {
        if (hasEnded) return
        call?.setReading(isReading)
        if (!isReading) silence.pause() else if (progress.bodyBytes > 0) silence.awaitMore()
    }

    override fun notSent(reason: String, isOwnDecision: Boolean) =
        end(ReplicaOutcome.UNRESPONSIVE.takeIf { !isOwnDecision }) {
            onEvent(this, hold?.let { AttemptEvent.Held(it) } ?: AttemptEvent.NotSent(reason))
        }

    override fun head(head: ReplicaResponseHead, headers: HttpHeaders) {
        if (hasEnded) return
        beginningTimer.stop()
        progress.headReceived(MonotonicTime.now())
        this.head = head
        this.headers = headers.copy()
        context.namedRates.responded(record.entry, head, startedAt)
        val model = admitted.request.prompt?.model
        if (model != null) {
            head.weights?.let {
                context.telemetry.log.recordWeights(record, model, it, WeightsSource.Replica)
            }
        }
        if (!head.isRelayed) return
        silence.headReceived()
        onEvent(this, AttemptEvent.HeadReceived(responseHead(head, this.headers)))
    }

    override fun body(bytes: ByteArray) {
        val response = head
        if (hasEnded || response == null) return
        progress.bytesReceived(bytes.size, MonotonicTime.now())
        isKnownSilent = false
        accounting.prefillEnded()
        if (response.isRelayed) {
            onEvent(this, AttemptEvent.BytesReceived(bytes))
        } else if (rejection.append(bytes)) {
            silence.awaitMore()
        } else {
            call?.cancel()
            failed(rejection.overflow)
        }
    }

    override fun ended() {
        if (hasEnded) return
        hasReplicaEnded = true
        silence.close()
        if (mayBeWhole) {
            // What happens to the replica until the response is known to be whole is newer than this.
            accounting.finish(outcome)
            onEvent(this, AttemptEvent.Ended)
        } else {
            call?.cancel()
            complete()
        }
    }

    /** Whether what has arrived is a response unless the connection is reset; a stream may end within an event. */
    private val mayBeWhole: Boolean
        get() {
            val response = head ?: return false
            val isStream = admitted.route.retryPolicy is RetryPolicy.Stream && response.isRelayed
            return !response.isNotRun && !(isStream && (progress.bodyBytes == 0L || part.isWithinEvent))
        }

    /** What a complete response says about the replica's health, null if nothing. */
    private val outcome: ReplicaOutcome?
        get() = when {
            head?.isNotRun != false -> null
            head?.isServerError == true -> ReplicaOutcome.FAILED
            else -> ReplicaOutcome.RESPONDED
        }

    override fun complete() {
        val response = checkNotNull(head)
        val isStream = admitted.route.retryPolicy is RetryPolicy.Stream && response.isRelayed
        if (isStream && progress.bodyBytes == 0L && !isFramed(headers)) {
            // A stream that breaks off before its first event would otherwise pass for a complete one.
            return failed("the connection was closed before the first event")
        }
        val event = when {
            response.isNotRun -> AttemptEvent.NotRun(response)
            response.isSuccess && !response.isSigned -> AttemptEvent.Failed("a success without a signature")
            else -> {
                val relayed = responseHead(response, headers)
                AttemptEvent.Complete(response, relayed, rejection.bytes(), isFramed = !hasReplicaEnded)
            }
        }
        end(outcome) { onEvent(this, event) }
    }

    override fun failed(reason: String) = end(ReplicaOutcome.FAILED) { onEvent(this, AttemptEvent.Failed(reason)) }

    private inline fun end(outcome: ReplicaOutcome?, then: () -> Unit) {
        if (hasEnded) return
        hasEnded = true
        silence.close()
        beginningTimer.stop()
        accounting.finish(outcome)
        then()
    }

    private companion object {
        val RETRYABLE_MAX_IDLE = 10.seconds

        /** Non-retryable requests use only connections that the replica certainly still holds open. */
        val NON_RETRYABLE_MAX_IDLE = 1.seconds
    }
}

private fun firstByteTimeout(admitted: AdmittedRequest, choice: ScoredReplica): Duration {
    if (admitted.request.prompt == null) return PLAIN_FIRST_BYTE_TIMEOUT
    val expected = choice.cost * EXPECTATION_FACTOR + FIRST_BYTE_MARGIN
    return expected.coerceIn(minOf(admitted.route.targetLatency, MAX_FIRST_BYTE_TIMEOUT), MAX_FIRST_BYTE_TIMEOUT)
}

private val ReplicaResponseHead.isRelayed: Boolean get() = isSuccess && isSigned

private fun responseHead(head: ReplicaResponseHead, headers: HttpHeaders) =
    ResponseHead(head.status, ResponseCodec.forCaller(headers))
