package org.guavapath.daemon.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.Rollout
import org.guavapath.core.weights.RolloutReplica
import org.guavapath.core.weights.WeightsOrder
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The rollout's access to the other gateways. */
internal interface RolloutPeers {
    /** Whether this gateway should hold the rollout lease. */
    fun isRolloutCandidate(): Boolean

    fun broadcast(message: PeerMessage)
}

/** Brings replicas to the target weights while this gateway holds the rollout lease. */
internal class RolloutTask(
    private val fleet: FleetState,
    private val lease: RolloutLease,
    private val loader: WeightsLoader,
    private val peers: RolloutPeers,
    private val telemetry: GatewayTelemetry,
) {
    private val rollout = Rollout(fleet.replacedWeights.usableFor)

    suspend fun run(scope: CoroutineScope) {
        var wasCandidate = false
        while (true) {
            val isCandidate = peers.isRolloutCandidate()
            if (isCandidate != wasCandidate) logCandidate(isCandidate)
            wasCandidate = isCandidate
            if (isCandidate) fleet.weights.newestOfAll().keys.forEach { step(scope, it) }
            delay(if (isCandidate) TICK else IDLE_TICK)
        }
    }

    /** Applies a message of the gateway that holds the lease. */
    fun received(from: VmId, message: PeerMessage.OfRollout) = when (message) {
        is PeerMessage.ReplicaLoading -> loading(message)
        is PeerMessage.ReplicaLoaded -> loaded(message, from)
    }

    /** Records that a replica is loading weights, ordered by this gateway or another. */
    private fun loading(message: PeerMessage.ReplicaLoading) {
        val record = fleet.replicas[ReplicaId(message.replica)] ?: return
        record.loadingUntil = MonotonicTime.now() + message.milliseconds.milliseconds
    }

    /** Records that a replica has new weights and an empty cache. */
    private fun loaded(message: PeerMessage.ReplicaLoaded, from: VmId?) {
        val record = fleet.replicas[ReplicaId(message.replica)] ?: return
        val model = ModelName(message.model)
        val before = record.weights(model)
        record.loadingUntil = MonotonicTime.ZERO
        record.recordWeights(model, WeightsNumber(message.number))
        fleet.directory.forget(record.entry.id)
        telemetry.log.stateChange(
            "replica weights told",
            "replica" to message.replica,
            "incarnation" to record.entry.startedAt,
            "from" to from?.text,
            "weights" to message.number,
            "before" to before?.number,
            "listed" to record.entry.weights[model]?.number,
        )
    }

    private fun logCandidate(isCandidate: Boolean) = telemetry.log.stateChange(
        "rollout candidate",
        "isCandidate" to isCandidate,
        "holder" to lease.knownHolder?.vm?.text,
        "token" to lease.knownHolder?.fencingToken,
    )

    private suspend fun step(scope: CoroutineScope, model: ModelName) {
        val now = MonotonicTime.now()
        val serving = fleet.replicas.all.filter { it.weights(model) != null }.map { it.entry.service }.toSet()
        val replicas = fleet.replicas.all.filter { !it.entry.isDraining && it.entry.service in serving }
            .map { RolloutReplica(it.entry.id, it.weights(model), it.load(now).requests, it.loadingUntil > now) }
        val orders = rollout.next(model, fleet.weights, replicas, now)
        if (orders.isEmpty()) return
        val token = lease.confirmedToken()
        orders.forEach { order ->
            if (token == null) ended(order, LoadOutcome.FAILED) else scope.launch { execute(order, token) }
        }
    }

    private suspend fun execute(order: WeightsOrder, token: Long) {
        val replica = fleet.replicas[order.replica]?.entry
        var isAnnounced = false
        val outcome = if (replica == null) {
            LoadOutcome.FAILED
        } else {
            loader.load(order, replica, token) {
                isAnnounced = true
                announce(order, WeightsLoader.LOADING_PERIOD)
            }
        }
        // A replica that does not load takes requests again.
        if (isAnnounced && outcome != LoadOutcome.DONE) announce(order, Duration.ZERO)
        ended(order, outcome)
    }

    private fun announce(order: WeightsOrder, duration: Duration) {
        val message = PeerMessage.ReplicaLoading(order.replica.text, duration.inWholeMilliseconds)
        loading(message)
        peers.broadcast(message)
    }

    private fun ended(order: WeightsOrder, outcome: LoadOutcome) {
        rollout.ended(order.replica, outcome == LoadOutcome.DONE, MonotonicTime.now())
        telemetry.metrics.weightsOrdered(outcome)
        when (outcome) {
            LoadOutcome.DONE -> {
                val message = PeerMessage.ReplicaLoaded(order.replica.text, order.model.text, order.target.number)
                loaded(message, from = null)
                peers.broadcast(message)
            }
            LoadOutcome.FENCED -> lease.fenced()
            LoadOutcome.FAILED -> Unit
        }
    }

    private companion object {
        val TICK = 100.milliseconds
        val IDLE_TICK = 250.milliseconds
    }
}
