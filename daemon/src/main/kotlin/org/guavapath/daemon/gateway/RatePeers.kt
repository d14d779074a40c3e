package org.guavapath.daemon.gateway

import org.guavapath.core.identity.VmId
import org.guavapath.daemon.peers.PeerMessage

/** Access to the other gateways for messages about the rates that replicas name. */
internal interface RatePeers {
    /** This gateway. */
    val self: VmId

    /** Whether this gateway has its permits from a hub and votes for no arbiter. */
    val isMember: Boolean

    /** The hub that this gateway follows, null if it follows none. */
    val upstream: VmId?

    /** Number of gateways that have their permits through this one, itself included. */
    val voters: Int

    /** Whether [vm] has its permits through this gateway. */
    fun isOwnMember(vm: VmId): Boolean

    /** Sends [message] to the linked equals and members. */
    fun broadcast(message: PeerMessage)

    fun send(to: VmId, message: PeerMessage)
}

/** The gateways that [topology] links with [self]. */
internal class LinkedRatePeers(
    override val self: VmId,
    private val topology: PeerTopology,
    private val exchange: PeerExchange,
) : RatePeers {
    override val isMember: Boolean get() = topology.isMember

    override val upstream: VmId? get() = topology.upstream

    override val voters: Int get() = topology.vmsReportedToEquals

    override fun isOwnMember(vm: VmId): Boolean = topology.isOwnMember(vm)

    override fun broadcast(message: PeerMessage) = exchange.broadcast(message)

    override fun send(to: VmId, message: PeerMessage) = exchange.send(to, message)
}
