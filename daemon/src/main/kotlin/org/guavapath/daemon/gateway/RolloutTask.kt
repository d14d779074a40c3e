package org.guavapath.daemon.gateway

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.placement.PromptDirectory
import org.guavapath.core.placement.ReplicaBook
import org.guavapath.core.placement.ReplicaRecord
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.NamedWeights
import org.guavapath.core.weights.Rollout
import org.guavapath.core.weights.RolloutReplica
import org.guavapath.core.weights.WeightsOrder
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.platform.wire.OrderReply
import org.guavapath.platform.wire.ReplicaCodec
import org.guavapath.platform.wire.ReplicaReport
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How an order to a replica went. */
private enum class OrderOutcome { DONE, FAILED }

/** Brings replicas to the named weights while this gateway holds the rollout lease. */
internal class RolloutTask(
    private val self: VmId,
    private val lease: RolloutLease,
    private val book: ReplicaBook,
    private val weights: NamedWeights,
    private val directory: PromptDirectory,
    private val calls: ReplicaCalls,
    private val log: GatewayLog,
    private val tellPeers: (PeerMessage) -> Unit,
    private val isCandidate: () -> Boolean,
) {
    private val rollout = Rollout()

    suspend fun run(scope: CoroutineScope) {
        while (true) {
            delay(TICK)
            weights.newestOfAll().keys.forEach { step(scope, it) }
        }
    }

    /** A replica loads weights, by order of this gateway or of another. */
    fun loading(message: PeerMessage.ReplicaLoading) {
        record(message.replica)?.loadingUntil = MonotonicTime.now() + message.milliseconds.milliseconds
    }

    /** A replica has new weights and an empty memory. */
    fun loaded(message: PeerMessage.ReplicaLoaded) {
        val record = record(message.replica) ?: return
        record.loadingUntil = MonotonicTime.ZERO
        record.sawWeights(ModelName(message.model), WeightsNumber(message.number))
        directory.forget(record.entry.id)
    }

    private fun record(replica: String): ReplicaRecord? = book.all.firstOrNull { it.entry.id.text == replica }

    private suspend fun step(scope: CoroutineScope, model: ModelName) {
        if (!isCandidate()) return
        val now = MonotonicTime.now()
        val replicas = book.all.filter { !it.entry.isDraining }.mapNotNull { record ->
            record.weights(model)?.let { RolloutReplica(record.entry.id, it, record.load(now).requests) }
        }
        val orders = rollout.next(model, weights, replicas, now)
        if (orders.isEmpty()) return
        val token = lease.confirmed()
        orders.forEach { order ->
            if (token == null) {
                rollout.ended(order.replica, isDone = false, MonotonicTime.now())
            } else {
                scope.launch { carryOut(order, token) }
            }
        }
    }

    private suspend fun carryOut(order: WeightsOrder, token: Long) {
        val record = book[order.replica]
        val outcome = if (record == null) OrderOutcome.FAILED else give(order, record, token)
        rollout.ended(order.replica, outcome == OrderOutcome.DONE, MonotonicTime.now())
        if (outcome == OrderOutcome.DONE) {
            val message = PeerMessage.ReplicaLoaded(order.replica.text, order.model.text, order.target.number)
            loaded(message)
            tellPeers(message)
        }
    }

    private suspend fun give(order: WeightsOrder, record: ReplicaRecord, token: Long): OrderOutcome {
        val before = report(record) ?: return failed(order, "no report")
        if (hasTarget(before, order)) return OrderOutcome.DONE
        if (before.isLoading) return failed(order, "another order is in progress")
        if (!lease.isFresh()) return failed(order, "the lease was not confirmed lately")
        val loading = PeerMessage.ReplicaLoading(order.replica.text, LOAD_LIMIT.inWholeMilliseconds)
        loading(loading)
        tellPeers(loading)
        val body = ReplicaCodec.orderBody(order, self.text, token, before.acceptedOrders)
        val answer = calls.order(record.entry, body, ORDER_LIMIT).get()
        val reply = answer?.let { ReplicaCodec.orderReply(it.status) }
        log.belief(
            "weights ordered",
            "replica" to order.replica.text,
            "weights" to order.target.number,
            "token" to token,
            "acceptedOrders" to before.acceptedOrders,
            "reply" to (reply?.name ?: "none"),
        )
        return when (reply) {
            OrderReply.DONE -> OrderOutcome.DONE
            OrderReply.ACCEPTED, null -> awaitTarget(order, record)
            OrderReply.FENCED -> {
                lease.lost()
                OrderOutcome.FAILED
            }
            OrderReply.BUSY, OrderReply.REFUSED -> OrderOutcome.FAILED
        }
    }

    private suspend fun awaitTarget(order: WeightsOrder, record: ReplicaRecord): OrderOutcome {
        val startedAt = MonotonicTime.now()
        var idleReports = 0
        while (MonotonicTime.now() - startedAt < LOAD_LIMIT) {
            delay(POLL_INTERVAL)
            val report = report(record) ?: continue
            if (hasTarget(report, order) && !report.isLoading) return OrderOutcome.DONE
            idleReports = if (report.isLoading) 0 else idleReports + 1
            if (idleReports > MOST_IDLE_REPORTS) return failed(order, "the replica does not load")
        }
        return failed(order, "not loaded within $LOAD_LIMIT")
    }

    private suspend fun report(record: ReplicaRecord): ReplicaReport? {
        val answer = calls.report(record.entry, REPORT_LIMIT).get() ?: return null
        return ReplicaCodec.report(answer.body).getOrElse {
            log.belief("report not readable", "replica" to record.entry.id.text, "error" to it)
            null
        }
    }

    private fun hasTarget(report: ReplicaReport, order: WeightsOrder) =
        report.weights[order.model]?.let { it >= order.target } ?: false

    private fun failed(order: WeightsOrder, reason: String): OrderOutcome {
        log.belief(
            "weights not loaded",
            "replica" to order.replica.text,
            "weights" to order.target.number,
            "reason" to reason
        )
        return OrderOutcome.FAILED
    }

    private companion object {
        val TICK = 100.milliseconds
        val REPORT_LIMIT = 500.milliseconds
        val ORDER_LIMIT = 600.milliseconds

        /** Reports lag by 100 ms; a load takes 210 ms after the last run has ended. */
        val POLL_INTERVAL = 120.milliseconds
        val LOAD_LIMIT = 2.seconds
        const val MOST_IDLE_REPORTS = 3
    }
}
