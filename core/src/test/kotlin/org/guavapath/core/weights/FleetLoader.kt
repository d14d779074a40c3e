package org.guavapath.core.weights

import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The calls of one gateway to replicas. */
internal interface FleetReplicaCalls {
    /** Asks for a report; no answer if the replica does not respond. */
    fun report(replica: Replica, answer: (FleetReport) -> Unit)

    /** Sends an order; no answer if it is lost, late, or the replica does not respond. */
    fun order(replica: Replica, order: FleetOrder, answer: (OrderAnswer) -> Unit)
}

/** Orders a replica to load weights and waits for the load to end: the daemon's `WeightsLoader`. */
internal class FleetLoader(
    private val lease: FleetLease,
    private val calls: FleetReplicaCalls,
    private val process: FleetProcess,
    private val areOrdersFenced: Boolean,
    private val onReport: (Replica, FleetReport) -> Unit,
    private val onEvent: (WeightsOrder, String) -> Unit,
) {
    private val now: MonotonicTime get() = process.clock.now

    suspend fun load(
        order: WeightsOrder,
        replica: Replica,
        targets: () -> Map<ModelName, WeightsNumber>,
        onLoading: () -> Unit,
    ): FleetOutcome {
        val before = report(replica, REPORT_TIMEOUT)
        val isLoaded = before != null && !before.isLoading && hasTarget(before, order)
        val isNeeded = before != null && !before.isLoading && !isLoaded
        val token = if (isNeeded) lease.confirmedToken(targets(), mayTake = false) else null
        val isOutdated = targets()[order.model] != order.target
        return when {
            isLoaded -> FleetOutcome.CONFIRMED
            before == null || token == null || isOutdated -> {
                onEvent(order, "is not ordered: ${reasonNotToOrder(before)}")
                if (before == null) FleetOutcome.WITHOUT_EFFECT else FleetOutcome.FAILED
            }
            else -> {
                onLoading()
                val sent = FleetOrder(order, token.number, before.acceptedOrders.takeUnless { areOrdersFenced })
                val reply = process.call(ORDER_TIMEOUT) { answer -> calls.order(replica, sent, answer) }
                awaitOutcome(reply, order, replica, onLoading).also { onEvent(order, "order answered $reply ends $it") }
            }
        }
    }

    /** Asks [replica] for a report, null if there is none within [timeout]. */
    suspend fun report(replica: Replica, timeout: Duration): FleetReport? =
        process.call(timeout) { answer -> calls.report(replica, answer) }?.also { onReport(replica, it) }

    private fun reasonNotToOrder(before: FleetReport?): String = when {
        before == null -> "no report"
        before.isLoading -> "another order is in progress"
        else -> "the lease is not confirmed"
    }

    private suspend fun awaitOutcome(
        reply: OrderAnswer?,
        order: WeightsOrder,
        replica: Replica,
        onLoading: () -> Unit,
    ): FleetOutcome = when (reply) {
        OrderAnswer.DONE -> FleetOutcome.DONE
        OrderAnswer.ACCEPTED -> awaitTarget(order, replica, MAX_LOAD_TIME, onLoading)
        null -> awaitTarget(order, replica, LOADING_PERIOD, onLoading)
        OrderAnswer.FENCED -> FleetOutcome.FENCED
        OrderAnswer.BUSY -> FleetOutcome.FAILED
        OrderAnswer.REFUSED -> FleetOutcome.WITHOUT_EFFECT
    }

    private suspend fun awaitTarget(
        order: WeightsOrder,
        replica: Replica,
        timeout: Duration,
        onLoading: () -> Unit,
    ): FleetOutcome {
        val end = now + timeout
        var announcedAt = now
        var reportedAt = now
        var idleReports = 0
        var isLoaded = false
        var isGivenUp = false
        while (!isLoaded && !isGivenUp && now < end) {
            process.delay(minOf(POLL_INTERVAL, end - now))
            val report = if (now < end) report(replica, minOf(REPORT_TIMEOUT, end - now)) else null
            isLoaded = report != null && hasTarget(report, order) && !report.isLoading
            if (report != null) {
                reportedAt = now
                idleReports = if (report.isLoading) 0 else idleReports + 1
            }
            isGivenUp = idleReports > MAX_IDLE_REPORTS || (report == null && now - reportedAt > LOADING_PERIOD)
            if (report?.isLoading == true && now - announcedAt > LOADING_PERIOD / 2) {
                announcedAt = now
                onLoading()
            }
        }
        return outcome(isLoaded, isGivenUp)
    }

    private fun outcome(isLoaded: Boolean, isGivenUp: Boolean) = when {
        isLoaded -> FleetOutcome.DONE
        isGivenUp -> FleetOutcome.WITHOUT_EFFECT
        else -> FleetOutcome.FAILED
    }

    private fun hasTarget(report: FleetReport, order: WeightsOrder) =
        report.weights[order.model]?.let { it >= order.target } ?: false

    companion object {
        val REPORT_TIMEOUT = 500.milliseconds
        val ORDER_TIMEOUT = 200.milliseconds
        val POLL_INTERVAL = 120.milliseconds
        val LOADING_PERIOD = 2.seconds
        val MAX_LOAD_TIME = 12.seconds
        const val MAX_IDLE_REPORTS = 1
    }
}
