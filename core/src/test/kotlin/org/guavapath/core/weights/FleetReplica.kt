package org.guavapath.core.weights

import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.ModelName
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a replica states about itself. */
internal data class FleetReport(
    val weights: Map<ModelName, WeightsNumber>,
    val isLoading: Boolean,
    val acceptedOrders: Long,
)

/** An order as sent; the number of accepted orders that it expects, null for any. */
internal data class FleetOrder(val order: WeightsOrder, val token: Long, val expected: Long?)

/** Answers of a replica to an order. */
internal enum class OrderAnswer { ACCEPTED, DONE, BUSY, FENCED, REFUSED }

/** Moments in an order at which a replica may crash. */
internal enum class OrderStep { RECEIVED, ACCEPTED, WAITING, LOADING, LOADED }

/**
 * One replica.
 *
 * A restart clears the accepted orders and the fence, and keeps the weights that were loaded last.
 *
 * @property reportAge age of the state that a report shows
 * @property requestsEnd time that a load waits for running requests
 */
internal class FleetReplica(
    val id: ReplicaId,
    private val service: ServiceName,
    initial: Map<ModelName, WeightsNumber>,
    private val clock: FleetClock,
    private val reportAge: Duration,
    private val requestsEnd: () -> Duration,
) {
    private class Snapshot(val at: MonotonicTime, val report: FleetReport)

    private val history = ArrayList<Snapshot>()
    private var incarnation = 0
    private var acceptedOrders = 0L
    private var fence = 0L
    private var load: FleetOrder? = null
    private var loadsAt = MonotonicTime.ZERO

    var weights = initial
        private set
    var isUp = true
        private set
    var startedAt = clock.now
        private set

    /** When it last loaded older weights than it had. */
    var wentBackAt = MonotonicTime.ZERO
        private set

    /** The step of an order at which it crashes, and what then happens. */
    var crashAt: OrderStep? = null
    var onCrash: () -> Unit = {}

    /** Called after each change, with what happened. */
    var onEvent: (String) -> Unit = {}

    init {
        record()
    }

    /** The entry that it writes into the store's list. */
    val entry: Replica
        get() = Replica(
            id, startedAt.microseconds + 1, service, "127.0.0.1:1", FailureDomainName("zone"),
            slots = 8, isDraining = false, warmUpLeft = Duration.ZERO, weights = weights,
        )

    fun report(): FleetReport {
        val at = clock.now + (-reportAge)
        return (history.lastOrNull { it.at <= at } ?: history.first()).report
    }

    fun receive(order: FleetOrder): OrderAnswer? {
        if (isCrashing(OrderStep.RECEIVED)) return null
        val answer = answer(order)
        if (answer == OrderAnswer.ACCEPTED) accept(order)
        onEvent("gets ${order.order.target} expected ${order.expected} token ${order.token}: $answer")
        return if (isCrashing(OrderStep.ACCEPTED)) null else answer
    }

    private fun answer(order: FleetOrder): OrderAnswer = when {
        order.token < fence -> OrderAnswer.FENCED
        load == null && weights[order.order.model] == order.order.target -> OrderAnswer.DONE
        load != null || order.expected != null && order.expected != acceptedOrders -> OrderAnswer.BUSY
        else -> OrderAnswer.ACCEPTED
    }

    private fun accept(order: FleetOrder) {
        acceptedOrders += 1
        fence = order.token
        load = order
        loadsAt = when (order.order.time) {
            LoadTime.AfterRequests -> clock.now + requestsEnd()
            LoadTime.AtOnce -> clock.now
        }
        record()
        await(incarnation)
    }

    /** Ends the wait for running requests after [most] at the latest. */
    fun shortenWait(most: Duration) {
        loadsAt = minOf(loadsAt, clock.now + most)
    }

    private fun await(run: Int) {
        clock.schedule(minOf(loadsAt, clock.now + WAIT_CHECK)) {
            if (run == incarnation && isUp && !isCrashing(OrderStep.WAITING)) {
                if (clock.now < loadsAt) await(run) else clock.schedule(clock.now + LOAD_TIME) { loaded(run) }
            }
        }
    }

    private fun loaded(run: Int) {
        val order = load?.order
        if (run != incarnation || order == null || isCrashing(OrderStep.LOADING)) return
        if (weights.getValue(order.model) > order.target) wentBackAt = clock.now
        weights = weights + (order.model to order.target)
        load = null
        record()
        onEvent("has loaded ${order.target}")
        isCrashing(OrderStep.LOADED)
    }

    private fun isCrashing(step: OrderStep): Boolean {
        if (crashAt != step) return false
        crashAt = null
        crash()
        onCrash()
        return true
    }

    fun crash() {
        isUp = false
        incarnation += 1
        load = null
        onEvent("crashes")
    }

    /** Starts it again under the same id. */
    fun restart() {
        isUp = true
        startedAt = clock.now
        acceptedOrders = 0
        fence = 0
        history.clear()
        record()
        onEvent("restarts with $weights")
    }

    private fun record() {
        history.add(Snapshot(clock.now, FleetReport(weights, load != null, acceptedOrders)))
        if (history.size > MAX_HISTORY) history.removeAt(0)
    }

    private companion object {
        val LOAD_TIME = 210.milliseconds
        val WAIT_CHECK = 200.milliseconds
        const val MAX_HISTORY = 16
    }
}
