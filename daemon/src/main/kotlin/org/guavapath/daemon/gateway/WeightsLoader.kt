package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
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
    /** The replica has loaded the weights. */
    DONE,

    /** The replica has the weights already, so that no order was sent. */
    CONFIRMED,

    /** The replica does not have them, and may load them; the order may be retried. */
    FAILED,

    /** The replica does not respond to this gateway, or this gateway's order had no effect. */
    WITHOUT_EFFECT,

    /** The replica has accepted an order with a higher fencing token. */
    FENCED,
    ;

    /** Whether the replica has the weights. */
    val hasWeights: Boolean get() = this == DONE || this == CONFIRMED
}

/**
 * Orders a replica to load weights and waits for the load to end.
 *
 * An order without a response may be carried out seconds later. Where replicas check fencing tokens, each target has a
 * token of its own, so that a late order for an earlier target is rejected and any of several for the same target will
 * do. Elsewhere an order is valid only for the number of orders that the replica has accepted.
 *
 * @param areOrdersFenced whether replicas reject orders with a lower fencing token than they have seen
 */
internal class WeightsLoader(
    private val holder: String,
    private val lease: RolloutLease,
    private val client: ReplicaControlClient,
    private val areOrdersFenced: Boolean,
    private val log: GatewayLog,
) {
    /**
     * Sends [order] to [replica], with a token that is confirmed right before, unless it has the weights already.
     *
     * @param targets returns the newest target weights of all models
     * @param onLoading called right before, and again while the replica loads, at least once in [LOADING_PERIOD]
     */
    suspend fun load(
        order: WeightsOrder,
        replica: Replica,
        targets: () -> Map<ModelName, WeightsNumber>,
        onLoading: () -> Unit,
    ): LoadOutcome {
        val askedAt = MonotonicTime.now()
        val before = report(replica)
        val isLoaded = before != null && !before.isLoading && hasTarget(before, order)
        val isNeeded = before != null && !before.isLoading && !isLoaded
        // Confirmed after the report, which may take as long as a confirmation is valid.
        val token = if (isNeeded) lease.confirmedToken(targets(), mayTake = false) else null
        // The token of a newer target would let a late order for this one pass.
        val isOutdated = targets()[order.model] != order.target
        return when {
            isLoaded -> LoadOutcome.CONFIRMED
            before == null || token == null || isOutdated -> {
                log.stateChange(
                    "weights not ordered",
                    "replica" to replica.id.text,
                    "incarnation" to replica.startedAt,
                    "weights" to order.target.number,
                    "reason" to reasonNotToOrder(before),
                    "reportMs" to (MonotonicTime.now() - askedAt).inWholeMilliseconds,
                    "confirmationAgeMs" to lease.confirmationAge?.inWholeMilliseconds,
                )
                if (before == null) LoadOutcome.WITHOUT_EFFECT else LoadOutcome.FAILED
            }
            else -> {
                onLoading()
                val reply = sendOrder(order, replica, token, before.acceptedOrders)
                awaitOutcome(reply, order, replica, onLoading)
            }
        }
    }

    private fun reasonNotToOrder(before: ReplicaReport?): String = when {
        before == null -> "no report"
        before.isLoading -> "another order is in progress"
        else -> "the lease is not confirmed, or a newer target is named"
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
        OrderReply.BUSY -> LoadOutcome.FAILED
        OrderReply.REFUSED -> LoadOutcome.WITHOUT_EFFECT
    }

    private suspend fun sendOrder(
        order: WeightsOrder,
        replica: Replica,
        token: Long,
        acceptedOrders: Long,
    ): OrderReply? {
        val body = ReplicaCodec.orderBody(order, holder, token, acceptedOrders.takeUnless { areOrdersFenced })
        val result = client.order(replica, body, ORDER_TIMEOUT)
        val response = result.get()
        val reply = response?.let { ReplicaCodec.orderReply(it.status) }
        log.stateChange(
            "weights ordered",
            "replica" to replica.id.text,
            "incarnation" to replica.startedAt,
            "weights" to order.target.number,
            "loads" to order.time.toString(),
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
        return loadEnded(isDone, order, replica, orderedAt)
    }

    private fun loadEnded(
        isDone: Boolean?,
        order: WeightsOrder,
        replica: Replica,
        orderedAt: MonotonicTime,
    ): LoadOutcome {
        log.stateChange(
            if (isDone == true) "weights loaded" else "weights not loaded",
            "replica" to replica.id.text,
            "weights" to order.target.number,
            "afterMs" to (MonotonicTime.now() - orderedAt).inWholeMilliseconds,
            "reason" to if (isDone == null) "the load takes too long" else null,
        )
        return when (isDone) {
            true -> LoadOutcome.DONE
            // Loads without a report in progress did not begin, or were cut off.
            false -> LoadOutcome.WITHOUT_EFFECT
            null -> LoadOutcome.FAILED
        }
    }

    private suspend fun report(replica: Replica): ReplicaReport? {
        val report = client.report(replica, REPORT_TIMEOUT).mapError { it.toString() }
            .andThen { if (it.status == OK) ReplicaCodec.report(it.body) else Err("status ${it.status}") }
        return report.getOrElse {
            log.stateChange("no report", "replica" to replica.id.text, "error" to it)
            null
        }
    }

    private fun hasTarget(report: ReplicaReport, order: WeightsOrder) =
        report.weights[order.model]?.let { it >= order.target } ?: false

    companion object {
        private const val OK = 200
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
