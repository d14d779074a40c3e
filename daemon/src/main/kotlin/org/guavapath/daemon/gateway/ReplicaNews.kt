package org.guavapath.daemon.gateway

import org.guavapath.core.identity.VmId
import org.guavapath.daemon.peers.PeerMessage

/** What gateways tell each other at once of replicas: crashes, and that one leaves. */
internal class ReplicaNews(
    private val quarantine: QuarantineTask,
    private val availability: AvailabilityTask,
) {
    /** Tells [peer], with which this gateway is linked now, what is known here. */
    fun linked(peer: VmId) {
        quarantine.exchange.linked(peer)
        availability.linked(peer)
    }

    /** Applies [message] of [from] if it is such news. */
    fun received(from: VmId, message: PeerMessage) = when (message) {
        is PeerMessage.OfCrashes -> quarantine.received(from, message)
        is PeerMessage.ReplicasLeaving -> availability.received(from, message)
        else -> Unit
    }
}
