package org.guavapath.daemon.gateway

import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.guavapath.core.fleet.Replica
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.WeightsOrder
import org.guavapath.platform.wire.OrderReply
import org.guavapath.platform.wire.ReplicaCodec
import org.guavapath.platform.wire.ReplicaReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The outcome of an order to a replica. */
internal enum class LoadOutcome {
    /** The replica has the weights. */
    DONE,

    /** The replica does not have them; the order may be retried. */
    FAILED,

    /** The replica has accepted an order with a higher fencing token. */
    FENCED,
}

/** Orders a replica to load weights and waits for the load to end. */
internal class WeightsLoader(
    private val holder: String,
    private val lease: RolloutLease,
    private val client: ReplicaControlClient,
    private val log: GatewayLog,
) {
    /**
     * Sends [order] to [replica] with [fencingToken].
     *
     * @param onLoading called right before, and again while the replica loads, at least once in [LOADING_PERIOD]
     */
    suspend fun load(order: WeightsOrder, replica: Replica, fencingToken: Long, onLoading: () -> Unit): LoadOutcome {
        val askedAt = MonotonicTime.now()
        val before = report(replica)
        val reason = reasonNotToOrder(before)
        return when {
            before != null && hasTarget(before, order) -> LoadOutcome.DONE
            before == null || reason != null -> {
                log.stateChange(
                    "weights not ordered",
                    "replica" to replica.id.text,
                    "incarnation" to replica.startedAt,
                    "weights" to order.target.number,
                    "reason" to reason,
                    "reportMs" to (MonotonicTime.now() - askedAt).inWholeMilliseconds,
                    "confirmationAgeMs" to lease.confirmationAge?.inWholeMilliseconds,
                )
                LoadOutcome.FAILED
            }
            else -> {
                onLoading()
                val reply = sendOrder(order, replica, fencingToken, before.acceptedOrders)
                awaitOutcome(reply, order, replica, onLoading)
            }
        }
    }

    private fun reasonNotToOrder(before: ReplicaReport?): String? = when {
        before == null -> "no report"
        before.isLoading -> "another order is in progress"
        !lease.isConfirmed() -> "the lease confirmation has expired"
        else -> null
    }

    private suspend fun awaitOutcome(
        reply: OrderReply?,
        order: WeightsOrder,
        replica: Replica,
        onLoading: () -> Unit,
    ): LoadOutcome = when (reply) {
        OrderReply.DONE -> LoadOutcome.DONE
        OrderReply.ACCEPTED -> awaitTarget(order, replica, MAX_LOAD_TIME, onLoading)
        null -> awaitTarget(order, replica, LOADING_PERIOD, onLoading)
        OrderReply.FENCED -> LoadOutcome.FENCED
        OrderReply.BUSY, OrderReply.REFUSED -> LoadOutcome.FAILED
    }

    private suspend fun sendOrder(
        order: WeightsOrder,
        replica: Replica,
        token: Long,
        acceptedOrders: Long,
    ): OrderReply? {
        val body = ReplicaCodec.orderBody(order, holder, token, acceptedOrders)
        val result = client.order(replica, body, ORDER_TIMEOUT)
        val response = result.get()
        val reply = response?.let { ReplicaCodec.orderReply(it.status) }
        log.stateChange(
            "weights ordered",
            "replica" to replica.id.text,
            "incarnation" to replica.startedAt,
            "weights" to order.target.number,
            "token" to token,
            "acceptedOrders" to acceptedOrders,
            "reply" to (reply?.name ?: "none"),
            "status" to response?.status,
            "error" to result.getError()?.toString(),
        )
        return reply
    }

    private suspend fun awaitTarget(
        order: WeightsOrder,
        replica: Replica,
        timeout: Duration,
        onLoading: () -> Unit,
    ): LoadOutcome {
        val orderedAt = MonotonicTime.now()
        var announcedAt = orderedAt
        var reportedAt = orderedAt
        val isDone = withTimeoutOrNull(timeout) {
            var idleReports = 0
            var isLoaded = false
            while (!isLoaded && idleReports <= MAX_IDLE_REPORTS) {
                delay(POLL_INTERVAL)
                val report = report(replica)
                val now = MonotonicTime.now()
                isLoaded = report != null && hasTarget(report, order) && !report.isLoading
                if (report != null) {
                    reportedAt = now
                    idleReports = if (report.isLoading) 0 else idleReports + 1
                } else if (now - reportedAt > LOADING_PERIOD) {
                    break
                }
                if (report?.isLoading == true && now - announcedAt > LOADING_PERIOD / 2) {
                    announcedAt = now
                    onLoading()
                }
            }
            isLoaded
        }
        log.stateChange(
            if (isDone == true) "weights loaded" else "weights not loaded",
            "replica" to replica.id.text,
            "weights" to order.target.number,
            "afterMs" to (MonotonicTime.now() - orderedAt).inWholeMilliseconds,
            "reason" to if (isDone == null) "the load takes too long" else null,
        )
        return if (isDone == true) LoadOutcome.DONE else LoadOutcome.FAILED
    }

    private suspend fun report(replica: Replica): ReplicaReport? {
        val report = client.report(replica, REPORT_TIMEOUT).mapError { it.toString() }
            .andThen { ReplicaCodec.report(it.body) }
        return report.getOrElse {
            log.stateChange("no report", "replica" to replica.id.text, "error" to it)
            null
        }
    }

    private fun hasTarget(report: ReplicaReport, order: WeightsOrder) =
        report.weights[order.model]?.let { it >= order.target } ?: false

    companion object {
        private val REPORT_TIMEOUT = 500.milliseconds

        /** Replicas respond within milliseconds; an order without a response is retried if no load follows. */
        private val ORDER_TIMEOUT = 200.milliseconds

        /** Longer than the lag of reports (100 ms), shorter than a load (210 ms after the last request has ended). */
        private val POLL_INTERVAL = 120.milliseconds

        /** For how long a replica is taken to load weights after it was last known to. */
        val LOADING_PERIOD = 2.seconds

        /** A load waits for the running requests, at most for the callers' longest deadline. */
        private val MAX_LOAD_TIME = 12.seconds

        /** After more reports in a row without a load in progress, the order counts as failed. */
        private const val MAX_IDLE_REPORTS = 1
    }
}
