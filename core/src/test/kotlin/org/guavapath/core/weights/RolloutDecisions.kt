/**
 * The decisions of a simulated gateway that a design of the rollout makes: what is believed of a replica, when a belief
 * is checked, and when the holder of the lease gives way. Another design is simulated by another [RolloutDecisions];
 * calls, messages and troubles stay the same.
 */
package org.guavapath.core.weights

import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.placement.ReplicaRegistry
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration

/** Outcomes of an order. */
internal enum class FleetOutcome { DONE, FAILED, FENCED }

/** What a gateway announces of a replica. */
internal sealed class RolloutMessage {
    /** [replica] loads for [period] at most. */
    data class Loading(val replica: ReplicaId, val period: Duration) : RolloutMessage()

    /** [replica], which was started at [startedAt], has loaded [number]. */
    data class Loaded(
        val replica: ReplicaId,
        val startedAt: Long,
        val model: ModelName,
        val number: WeightsNumber,
    ) : RolloutMessage()
}

/** Decisions of one process of a gateway. */
internal interface RolloutDecisions {
    /** Applies the list of replicas. */
    fun listed(entries: List<Replica>, now: MonotonicTime)

    /** Applies a message of this gateway or another. */
    fun received(message: RolloutMessage, now: MonotonicTime)

    /** Applies the weights that a response to a caller's request states, which was sent to [replica]. */
    fun responded(replica: ReplicaIncarnation, model: ModelName, number: WeightsNumber, now: MonotonicTime)

    /** Applies a report that [replica] has sent. */
    fun reported(replica: Replica, report: FleetReport, now: MonotonicTime)

    /** Returns the replicas to ask for a report now, although no order goes to them. */
    fun replicasToAsk(now: MonotonicTime): List<Replica>

    /** Returns the entry of [replica], null if it is not listed. */
    fun entry(replica: ReplicaId): Replica?

    /** Returns the orders to send now. */
    fun orders(targets: TargetWeights, model: ModelName, now: MonotonicTime): List<WeightsOrder>

    /** Records the outcome of an order. */
    fun ended(order: WeightsOrder, outcome: FleetOutcome, now: MonotonicTime)

    /** Returns whether this gateway should hold the lease. */
    fun isCandidate(holder: VmId?, others: Map<VmId, HolderState>, isSettled: Boolean, now: MonotonicTime): Boolean

    /** Returns what is believed of [replica], for traces. */
    fun describe(replica: ReplicaId, model: ModelName, now: MonotonicTime): String
}

/** The decisions of the daemon: `RolloutTask` and `PeerExchange`. */
internal class DaemonDecisions(self: VmId) : RolloutDecisions {
    private val replicas = ReplicaRegistry()
    private val rollout = Rollout()
    private val candidacy = RolloutCandidacy(self)

    override fun listed(entries: List<Replica>, now: MonotonicTime) {
        replicas.update(entries)
    }

    override fun received(message: RolloutMessage, now: MonotonicTime) {
        when (message) {
            is RolloutMessage.Loading -> replicas[message.replica]?.let { it.loadingUntil = now + message.period }
            is RolloutMessage.Loaded -> replicas[message.replica]?.let {
                it.loadingUntil = MonotonicTime.ZERO
                it.recordWeights(message.model, message.number)
            }
        }
    }

    override fun responded(
        replica: ReplicaIncarnation,
        model: ModelName,
        number: WeightsNumber,
        now: MonotonicTime,
    ) {
        replicas[replica.id]?.takeIf { it.entry.incarnation == replica }?.recordWeights(model, number)
    }

    override fun reported(replica: Replica, report: FleetReport, now: MonotonicTime) = Unit

    override fun replicasToAsk(now: MonotonicTime): List<Replica> = emptyList()

    override fun entry(replica: ReplicaId): Replica? = replicas[replica]?.entry

    override fun orders(targets: TargetWeights, model: ModelName, now: MonotonicTime): List<WeightsOrder> {
        val serving = replicas.all.filter { it.weights(model) != null }.map { it.entry.service }.toSet()
        val states = replicas.all.filter { !it.entry.isDraining && it.entry.service in serving }
            .map { RolloutReplica(it.entry.id, it.weights(model), it.load(now).requests, it.loadingUntil > now) }
        return rollout.next(model, targets, states, now)
    }

    override fun ended(order: WeightsOrder, outcome: FleetOutcome, now: MonotonicTime) =
        rollout.ended(order.replica, outcome == FleetOutcome.DONE, now)

    override fun isCandidate(
        holder: VmId?,
        others: Map<VmId, HolderState>,
        isSettled: Boolean,
        now: MonotonicTime,
    ): Boolean = candidacy.isCandidate(holder, others, isSettled, now)

    override fun describe(replica: ReplicaId, model: ModelName, now: MonotonicTime): String {
        val record = replicas[replica] ?: return "not listed"
        return "${record.weights(model)} (listed ${record.entry.weights[model]} of ${record.entry.startedAt})" +
            (if (record.loadingUntil > now) ", loading" else "") +
            (if (replica in rollout.orderedReplicas) ", ordered" else "")
    }
}
