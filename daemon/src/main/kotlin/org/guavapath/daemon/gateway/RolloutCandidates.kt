package org.guavapath.daemon.gateway

import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.HolderState
import org.guavapath.core.weights.RolloutCandidacy
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerSender
import org.guavapath.platform.wire.StoreKinds

/** Decides from the statuses of the other gateways whether this one should hold the rollout lease. */
internal class RolloutCandidates(
    self: VmId,
    private val exchange: PeerExchange,
    private val views: ViewExchange,
    private val peers: PeerSender,
    private val topology: PeerTopology,
    private val liveness: PeerLiveness,
) : RolloutPeers {
    private val candidacy = RolloutCandidacy(self, MonotonicTime.now())

    override fun isRolloutCandidate(): Boolean {
        val isAlone = topology.plannedLinks.isEmpty()
        val holder = exchange.rolloutHolder?.vm
        val isCandidate = candidacy.isCandidate(holder, holderStates(), isAlone, MonotonicTime.now())
        return isCandidate && exchange.isStoreAvailable() && !topology.isMember
    }

    override fun inviteSuccessor(): VmId? {
        val successor = candidacy.successor(holderStates(), MonotonicTime.now())
        successor?.let { peers.send(it, PeerMessage.RolloutInvitation) }
        return successor
    }

    override fun invited() = candidacy.invited(MonotonicTime.now())

    override fun broadcast(message: PeerMessage) = exchange.broadcast(message)

    private fun holderStates() = exchange.statuses.mapValues { (vm, received) ->
        val status = received.status
        val isAvailable = liveness.isAlive(vm) && status.isHub && status.isServedByStore
        HolderState(isAvailable, views.isUpToDate(StoreKinds.WEIGHTS, status.views, received.era))
    }
}
