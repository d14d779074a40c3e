package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.placement.ReplicaRecord
import org.guavapath.core.placement.WeightsSource
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds

/** Applies what the gateway that orders loads, this one or another, tells about replicas. */
internal class RolloutMessages(private val fleet: FleetState, private val log: GatewayLog) {
    /** Applies [message] of [from], null for this gateway. */
    fun received(from: VmId?, message: PeerMessage.OfRollout) {
        when (message) {
            is PeerMessage.ReplicaLoading -> {
                val end = MonotonicTime.now() + message.milliseconds.milliseconds
                fleet.replicas[ReplicaId(message.replica)]?.let { it.loadingUntil = end }
            }
            is PeerMessage.ReplicaLoaded ->
                fleet.replicas[ReplicaId(message.replica)]?.let { loaded(it, from, message) }
            is PeerMessage.IncarnationLoaded -> fleet.replicas[ReplicaId(message.loaded.replica)]
                ?.takeIf { it.entry.startedAt == message.incarnation }
                ?.let { loaded(it, from, message.loaded) }
        }
    }

    /** Records that [record] has new weights and an empty cache. */
    private fun loaded(record: ReplicaRecord, from: VmId?, message: PeerMessage.ReplicaLoaded) {
        record.loadingUntil = MonotonicTime.ZERO
        val source = if (from == null) WeightsSource.Replica else WeightsSource.OrderedBy(from)
        if (log.recordWeights(record, ModelName(message.model), WeightsNumber(message.number), source)) {
            fleet.directory.forget(record.entry.id)
        }
    }
}

/** Records weights of [replica] and logs a change of what is known of them; returns whether there was one. */
internal fun GatewayLog.recordWeights(
    replica: ReplicaRecord,
    model: ModelName,
    number: WeightsNumber,
    source: WeightsSource,
): Boolean {
    val before = replica.modelWeights.known(model)
    val now = MonotonicTime.now()
    val isChanged = replica.modelWeights.record(model, number, source, now)
    if (isChanged) {
        stateChange(
            "replica weights known",
            "replica" to replica.entry.id.text,
            "incarnation" to replica.entry.startedAt,
            "weights" to number.number,
            "listed" to replica.entry.weights[model]?.number,
            "source" to when (source) {
                WeightsSource.Replica -> "replica"
                is WeightsSource.OrderedBy -> source.vm.text
            },
            "before" to before?.number?.number,
            "beforeAgeMs" to before?.let { (now - it.at).inWholeMilliseconds },
        )
    }
    return isChanged
}
