package org.guavapath.daemon.gateway

import org.guavapath.core.identity.VmId
import org.guavapath.daemon.peers.PeerMessage

/** Sends messages to the other gateways; one that cannot be reached gets none. */
internal interface GatewayPeers {
    /** Sends [message] to all gateways that are linked as equals or members. */
    fun broadcast(message: PeerMessage)

    fun send(to: VmId, message: PeerMessage)
}
