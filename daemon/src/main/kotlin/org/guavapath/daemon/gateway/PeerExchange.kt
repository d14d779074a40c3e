package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.placement.PromptDirectory
import org.guavapath.core.placement.ReplicaLoad
import org.guavapath.core.quota.UsageReport
import org.guavapath.core.routing.BlockHash
import org.guavapath.core.store.StoreEra
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerSender

/** Applies the status, usage and prompt messages of other gateways, and relays messages between them. */
internal class PeerExchange(
    private val views: ViewExchange,
    private val peers: PeerSender,
    private val topology: PeerTopology,
    private val liveness: PeerLiveness,
    private val lease: RolloutLease,
) : GatewayPeers {
    /** The holder of the rollout lease as far as this gateway knows. */
    val rolloutHolder: PeerMessage.RolloutHolder? get() = lease.knownHolder

    /** The [status] of another gateway, whose revisions are of [era], null if that is not known. */
    class Received(val status: PeerMessage.FleetStatus, val era: StoreEra?)

    private val received = HashMap<VmId, Received>()

    /** The last statuses of the other gateways. */
    val statuses: Map<VmId, Received> get() = received

    /** Applies a message with revisions of [era], null if the sender does not tell. */
    fun viewsReceived(from: VmId, message: PeerMessage, era: StoreEra?, fleet: FleetState) = when (message) {
        is PeerMessage.FleetStatus -> statusReceived(from, message, era, fleet)
        is PeerMessage.ViewContent -> views.adopt(from, message, era)
        is PeerMessage.ViewChanged -> views.adopt(from, message, era)
        else -> Unit
    }

    /** Applies the [status] of [from]; its revisions are of [era], null if that is not known. */
    private fun statusReceived(from: VmId, status: PeerMessage.FleetStatus, era: StoreEra?, fleet: FleetState) {
        liveness.messageReceived(from)
        lease.holderReceived(status.rollout)
        if (!topology.acceptsFrom(from)) return
        topology.statusReceived(from, status.isHub, status.vms)
        val now = MonotonicTime.now()
        received[from] = Received(status, era)
        fleet.quota.receiveReport(from, usage(from, status.incarnation, status.usage, status.vms), now)
        status.loads.forEach { (replica, load) ->
            fleet.replicas[ReplicaId(replica)]?.receiveReport(from, ReplicaLoad(load.promptTokens, load.requests), now)
        }
        views.statusReceived(from, status.views, era, status.isServedByStore)
    }

    /** Applies a usage update that [from] published between two statuses. */
    fun usageReceived(from: VmId, message: PeerMessage.UsageTold, fleet: FleetState) {
        if (from !in received || !topology.acceptsFrom(from)) return
        fleet.quota.receiveReport(
            from,
            usage(from, message.incarnation, message.usage, message.vms),
            MonotonicTime.now(),
        )
    }

    private fun usage(from: VmId, incarnation: Incarnation, totals: Map<WorkspaceName, Long>, vms: Int) =
        UsageReport(incarnation, totals, vms, isOfMember = topology.isOwnMember(from))

    /** Records which replicas have prefilled which shared parts of prompts. */
    fun promptsReceived(message: PeerMessage.PromptsRead, directory: PromptDirectory) {
        val now = MonotonicTime.now()
        message.steps.forEach { (replica, prefixes) ->
            prefixes.forEach { directory.record(BlockHash(it), ReplicaId(replica), now) }
        }
    }

    /** Relays a message of [from] to the gateways that have no other way of receiving it. */
    fun relay(from: VmId, message: PeerMessage) {
        val recipients = if (topology.isOwnMember(from)) topology.equalPeers + topology.members else topology.members
        (recipients - from).forEach { peers.send(it, message) }
    }

    override fun broadcast(message: PeerMessage) =
        (topology.equalPeers + topology.members).forEach { peers.send(it, message) }

    override fun send(to: VmId, message: PeerMessage) = peers.send(to, message)

    /** Whether the store responds to this gateway. */
    fun isStoreAvailable() = views.areAvailable && !lease.isFailing
}
