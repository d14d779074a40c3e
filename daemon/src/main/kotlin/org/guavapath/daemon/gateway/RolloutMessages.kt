package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.placement.ReplicaRecord
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
        record.recordWeights(ModelName(message.model), WeightsNumber(message.number))
        fleet.directory.forget(record.entry.id)
        log.stateChange(
            "replica weights told",
            "replica" to message.replica,
            "incarnation" to record.entry.startedAt,
            "from" to from?.text,
            "weights" to message.number,
        )
    }
}
