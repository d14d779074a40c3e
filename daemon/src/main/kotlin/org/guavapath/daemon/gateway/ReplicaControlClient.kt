package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.guavapath.core.fleet.Replica
import org.guavapath.core.time.MonotonicTime
import org.guavapath.platform.wire.ReplicaCodec
import org.guavapath.platform.wire.ReplicaResponseHead
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A replica's response to a control call. */
internal class CallResponse(val status: Int, val body: String)

/** Why a call got no response. */
internal sealed class CallFailure {
    abstract val reason: String

    /** The call was not sent to the replica. */
    data class NotSent(override val reason: String) : CallFailure()

    /** The replica may have received the call. */
    data class NoAnswer(override val reason: String) : CallFailure()
}

/**
 * Makes the gateway's own calls to replicas: report queries and orders to load weights.
 *
 * Responses to calls name no request. Each order therefore has a connection of its own, so that no late response to
 * another call passes for that to the order; a late response to a query tells what the replica has reported before.
 *
 * A replica that leaves, or has named a time before which it takes nothing of this gateway, gets none of them.
 */
internal class ReplicaControlClient(
    private val pool: ReplicaPool,
    private val availability: AvailabilityTask,
    private val namedRates: NamedRateTask,
    private val permits: PermitTask,
) {
    suspend fun report(replica: Replica, timeout: Duration): Result<CallResponse, CallFailure> =
        call(replica, HttpMethod.GET, ReplicaCodec.REPORT_PATH, body = null, timeout)

    suspend fun order(replica: Replica, body: String, timeout: Duration): Result<CallResponse, CallFailure> =
        call(replica, HttpMethod.POST, ReplicaCodec.ORDER_PATH, body, timeout)

    private suspend fun call(
        replica: Replica,
        method: HttpMethod,
        path: String,
        body: String?,
        timeout: Duration,
    ): Result<CallResponse, CallFailure> {
        availability.refusal(replica)?.let { return Err(CallFailure.NotSent(it)) }
        val response = CompletableDeferred<Result<CallResponse, CallFailure>>()
        val headers = DefaultHttpHeaders().set("Host", replica.address)
        ReplicaCodec.callHeaders(replica.id).forEach { (name, value) -> headers.set(name, value) }
        val http = ReplicaRequests.call(method, path, headers, body?.toByteArray())
        permits.count(replica)
        val sentAt = MonotonicTime.now()
        val receiver = Receiver(response) { namedRates.responded(replica, it, sentAt) }
        val connection = if (method == HttpMethod.POST) ConnectionChoice.New else ConnectionChoice.Pooled(MAX_IDLE)
        val request =
            ReplicaRequest(replica, http, id = null, connection, MAX_CONNECTIONS) { availability.refusal(replica) }
        val call = pool.send(request, receiver)
        val result = withTimeoutOrNull(timeout) { response.await() }
            ?: Err(CallFailure.NoAnswer("no response within $timeout")).also { call.reportSilence() }
        if (result.isErr) call.cancel()
        return result
    }

    private class Receiver(
        private val result: CompletableDeferred<Result<CallResponse, CallFailure>>,
        private val onHead: (ReplicaResponseHead) -> Unit,
    ) : ReplicaResponseListener {
        private val body = BodyBuffer(MAX_BODY_BYTES)
        private var status = 0

        override fun notSent(reason: String, isOwnDecision: Boolean) {
            result.complete(Err(CallFailure.NotSent(reason)))
        }

        override fun head(head: ReplicaResponseHead, headers: HttpHeaders) {
            status = head.status
            onHead(head)
        }

        override fun body(bytes: ByteArray) {
            if (!body.append(bytes)) failed(body.overflow)
        }

        override fun complete() {
            result.complete(Ok(CallResponse(status, body.bytes().toString(Charsets.UTF_8))))
        }

        override fun failed(reason: String) {
            result.complete(Err(CallFailure.NoAnswer(reason)))
        }
    }

    private companion object {
        val MAX_IDLE = 2.seconds

        /** Longer than any report with the runs of a replica. */
        const val MAX_BODY_BYTES = 262_144

        /** Calls are few, so they may open connections in addition to those of callers' requests. */
        const val MAX_CONNECTIONS = 64
    }
}
