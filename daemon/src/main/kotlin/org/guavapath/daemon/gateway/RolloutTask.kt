package org.guavapath.daemon.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.HolderFitness
import org.guavapath.core.weights.Rollout
import org.guavapath.core.weights.RolloutProgress
import org.guavapath.core.weights.RolloutReplica
import org.guavapath.core.weights.WeightsOrder
import org.guavapath.daemon.keepRunning
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The rollout's access to the other gateways. */
internal interface RolloutPeers {
    /** Whether this gateway should hold the rollout lease. */
    fun isRolloutCandidate(): Boolean

    /** Invites another gateway to take the lease; returns it, null if there is none. */
    fun inviteSuccessor(): VmId?

    /** Records that the holder has invited this gateway. */
    fun invited()

    fun broadcast(message: PeerMessage)
}

/**
 * Brings replicas to the target weights while this gateway holds the rollout lease.
 *
 * It invites another gateway to take the lease if a replica does not respond to this one, or if it is slow itself.
 */
internal class RolloutTask(
    private val fleet: FleetState,
    private val lease: RolloutLease,
    private val loader: WeightsLoader,
    private val messages: RolloutMessages,
    private val peers: RolloutPeers,
    private val telemetry: GatewayTelemetry,
) {
    private val rollout = Rollout(fleet.replacedWeights.usableFor)
    private val fitness = HolderFitness()

    /** Services of which a replica has stated weights of a model. */
    private val services = HashMap<ModelName, MutableSet<ServiceName>>()

    /** Orders replicas to load weights until [scope] is cancelled. */
    fun run(scope: CoroutineScope) {
        scope.keepRunning("lag of the loop") { measureLag() }
        scope.keepRunning("rollout") {
            lease.learnHolder()
            var wasCandidate = false
            while (true) {
                val isCandidate = peers.isRolloutCandidate()
                if (isCandidate != wasCandidate) logCandidate(isCandidate)
                wasCandidate = isCandidate
                if (isCandidate) {
                    inviteIfUnfit()
                    fleet.weights.newestOfAll().keys.forEach { step(scope, it) }
                }
                delay(if (isCandidate) TICK else IDLE_TICK)
            }
        }
    }

    /** Records that the holder of the lease has invited this gateway to take it. */
    fun invited() {
        fitness.invited(MonotonicTime.now())
        peers.invited()
    }

    private suspend fun measureLag() {
        while (true) {
            val pausedAt = MonotonicTime.now()
            delay(IDLE_TICK)
            fitness.ticked(MonotonicTime.now() - pausedAt - IDLE_TICK)
        }
    }

    /** Invites another gateway to take the lease if this one does not bring all replicas to their targets. */
    private fun inviteIfUnfit() {
        if (!lease.isHeld) fitness.notHolding()
        val isBehind = RolloutProgress.of(fleet.weights, fleet.replicas.all, MonotonicTime.now()).behind > 0
        val complaint = (if (isBehind) fitness.complaint(MonotonicTime.now()) else null) ?: return
        telemetry.log.stateChange(
            "rollout holder unfit",
            "reason" to complaint.toString(),
            "invited" to peers.inviteSuccessor()?.text,
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
        val serving = services.getOrPut(model) { HashSet() }
        serving += fleet.replicas.all.filter { it.weights(model) != null }.map { it.entry.service }
        val replicas = fleet.replicas.all.filter { !it.isWithdrawn && it.entry.service in serving }
        fitness.retain(fleet.replicas.all.map { it.entry.id }.toSet())
        val states = replicas.map {
            val weights = it.modelWeights.confirmed(model, now)
            RolloutReplica(it.entry.id, weights, it.load(now).requests, it.loadingUntil > now)
        }
        val orders = rollout.next(model, fleet.weights, states, now)
        if (orders.isEmpty()) return
        if (lease.confirmedToken(fleet.weights.newestOfAll()) == null) {
            orders.forEach { rollout.notSent(it.replica, hasWeights = false) }
        } else {
            orders.forEach { order -> scope.launch { execute(order) } }
        }
    }

    private suspend fun execute(order: WeightsOrder) {
        var outcome = LoadOutcome.FAILED
        try {
            val replica = fleet.replicas[order.replica]?.entry ?: return
            var isAnnounced = false
            outcome = loader.load(order, replica, fleet.weights::newestOfAll) {
                isAnnounced = true
                announce(order, WeightsLoader.LOADING_PERIOD)
            }
            // A replica that does not load takes requests again.
            if (isAnnounced && outcome != LoadOutcome.DONE) announce(order, Duration.ZERO)
            if (outcome.hasWeights) tellLoaded(order, replica)
        } finally {
            ended(order, outcome)
        }
    }

    private fun announce(order: WeightsOrder, duration: Duration) {
        val message = PeerMessage.ReplicaLoading(order.replica.text, duration.inWholeMilliseconds)
        messages.received(from = null, message)
        peers.broadcast(message)
    }

    private fun tellLoaded(order: WeightsOrder, replica: Replica) {
        val loaded = PeerMessage.ReplicaLoaded(order.replica.text, order.model.text, order.target.number)
        val message = PeerMessage.IncarnationLoaded(replica.startedAt, loaded)
        messages.received(from = null, message)
        peers.broadcast(message)
    }

    private fun ended(order: WeightsOrder, outcome: LoadOutcome) {
        val now = MonotonicTime.now()
        telemetry.metrics.count("guavapath.gateway.weights.orders", "outcome", outcome.name.lowercase())
        when (outcome) {
            LoadOutcome.DONE -> rollout.ended(order.replica, isDone = true, now)
            LoadOutcome.CONFIRMED -> rollout.notSent(order.replica, hasWeights = true)
            LoadOutcome.WITHOUT_EFFECT -> rollout.ended(order.replica, isDone = false, now)
            LoadOutcome.FAILED -> rollout.ended(order.replica, isDone = false, now, wasSent = false)
            LoadOutcome.FENCED -> {
                rollout.ended(order.replica, isDone = false, now)
                lease.fenced()
            }
        }
        when (outcome) {
            LoadOutcome.DONE, LoadOutcome.CONFIRMED -> fitness.succeeded(order.replica)
            LoadOutcome.WITHOUT_EFFECT -> fitness.failed(order.replica, now)
            LoadOutcome.FAILED, LoadOutcome.FENCED -> Unit
        }
    }

    private companion object {
        val TICK = 100.milliseconds
        val IDLE_TICK = 250.milliseconds
    }
}
