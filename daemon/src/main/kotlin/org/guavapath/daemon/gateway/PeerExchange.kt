package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.placement.PromptDirectory
import org.guavapath.core.placement.ReplicaLoad
import org.guavapath.core.quota.UsageReport
import org.guavapath.core.routing.BlockHash
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerSender
import org.guavapath.platform.wire.StoreKinds

/** What other gateways tell: usage of limits, work at replicas, and who orders replicas to load weights. */
internal class PeerExchange(
    private val self: VmId,
    private val views: ViewExchange,
    private val peers: PeerSender,
    private val routes: PeerRoutes,
    private val signs: SignsOfLife,
    private val lease: RolloutLease,
) : RolloutPeers {
    /** The holder of the rollout lease as this gateway knows it. */
    val rolloutHolder: PeerMessage.RolloutHolder? get() = lease.known

    private val statuses = HashMap<VmId, PeerMessage.FleetStatus>()

    /** Takes over what [from] tells. */
    fun heard(from: VmId, status: PeerMessage.FleetStatus, fleet: FleetState) {
        signs.heard(from)
        lease.heard(status.rollout)
        if (!routes.listensTo(from)) return
        routes.heard(from, status.isHub, status.vms)
        val now = MonotonicTime.now()
        statuses[from] = status
        fleet.quota.report(from, usage(from, status.incarnation, status.usage, status.vms), now)
        status.loads.forEach { (replica, load) ->
            fleet.book[ReplicaId(replica)]?.report(from, ReplicaLoad(load.promptTokens, load.requests), now)
        }
        views.heard(from, status.views, status.isServedByStore)
    }

    /** Takes over what [from] tells of admissions between two statuses. */
    fun usageTold(from: VmId, message: PeerMessage.UsageTold, fleet: FleetState) {
        if (from !in statuses || !routes.listensTo(from)) return
        fleet.quota.report(
            from,
            usage(from, message.incarnation, message.usage, message.vms),
            MonotonicTime.now(),
        )
    }

    private fun usage(from: VmId, incarnation: Incarnation, totals: Map<WorkspaceName, Long>, vms: Int) =
        UsageReport(incarnation, totals, vms, isOfMember = routes.isOwnMember(from))

    /** Takes over which replicas read which shared parts of prompts. */
    fun promptsRead(message: PeerMessage.PromptsRead, directory: PromptDirectory) {
        val now = MonotonicTime.now()
        message.steps.forEach { (replica, steps) ->
            steps.forEach { directory.record(BlockHash(it), ReplicaId(replica), now) }
        }
    }

    /** Passes on news of [from] to those that hear of it through this gateway only. */
    fun passOn(from: VmId, message: PeerMessage) {
        val audience = if (routes.isOwnMember(from)) routes.equalPeers + routes.members else routes.members
        (audience - from).forEach { peers.send(it, message) }
    }

    /** The present holder is the candidate while it is fit, otherwise the first gateway that the store serves. */
    override fun isRolloutCandidate(): Boolean {
        val holder = lease.known?.vm
        val isServedHere = isServed()
        return isServedHere && !routes.isMember && when {
            holder == self -> true
            holder != null && isFit(holder) -> false
            else -> statuses.keys.filter { isFit(it) }.all { self < it }
        }
    }

    override fun tellAll(message: PeerMessage) =
        (routes.equalPeers + routes.members).forEach { peers.send(it, message) }

    /** A gateway that lacks a change which this one has may be cut off from the store without knowing it yet. */
    private fun isFit(vm: VmId): Boolean {
        val status = statuses[vm]
        return signs.isAlive(vm) && status != null && status.isHub && status.isServedByStore &&
            views.isUpToDate(StoreKinds.WEIGHTS, status.views)
    }

    /** Whether the store serves this gateway. */
    fun isServed() = views.areServed && !lease.isFailing
}
