package org.guavapath.daemon.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.topology.LinkPlan
import org.guavapath.core.topology.LinkRole
import org.guavapath.core.topology.LinkSite
import org.guavapath.core.topology.Reachability
import org.guavapath.daemon.peers.PeerReceiver
import org.guavapath.daemon.peers.PeerTask
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The links to other gateways, and which gateways receive which reports over them.
 *
 * Equals (hubs, or all gateways of a fleet without hubs) receive reports on this gateway and its members. Members
 * receive reports on all gateways but themselves. A gateway that does not know the fleet yet reports to every gateway
 * that it is linked with.
 */
internal class PeerTopology(
    private val settings: GatewaySettings,
    private val peers: PeerTask,
    private val fleet: FleetState,
    private val log: GatewayLog,
) {
    private class PeerStatus(val isHub: Boolean, val vms: Int, val receivedAt: MonotonicTime)

    private val self = settings.vm
    private val startedAt = MonotonicTime.now()
    private val reachability = Reachability()
    private val statuses = HashMap<VmId, PeerStatus>()
    private var addresses = emptyMap<VmId, String>()
    private var plan = LinkPlan(LinkRole.Equal, emptyList(), emptySet())

    /** The hub that this gateway follows as a member, null if there is none. */
    var upstream: VmId? = null
        private set
    private var withoutHubSince: MonotonicTime? = null

    /** Whether a hub relays this gateway's reports; a member reports to its hub only. */
    val isMember: Boolean get() = plan.role == LinkRole.Member

    /** VMs that should be linked with this one. */
    val plannedLinks: Set<VmId> get() = plan.linked

    /** VMs with an open link that this one dialled. */
    val linkedPeers: Set<VmId> get() = peers.linkedPeers

    /**
     * Whether this gateway reads the store. A member does so only after it has been without a hub for a while. At the
     * first start of a fleet only the seeds do, and the others if no seed has responded for a while.
     */
    val isStoreReader: Boolean
        get() = when {
            isMember -> withoutHubSince.let { it != null && MonotonicTime.now() - it > HUB_TIMEOUT }
            addresses.isEmpty() && settings.isFirstStart && settings.peers !in settings.peerSeeds ->
                MonotonicTime.now() - startedAt > SEED_TIMEOUT
            else -> true
        }

    /** Whether gateways exchange reports through hubs. */
    val hasHubs: Boolean get() = plan.role != LinkRole.Equal

    /** Whether this gateway removes entries of silent ones: each hub, or the first live VM of a fleet without hubs. */
    val isResponsibleForRemovals: Boolean
        get() = when (plan.role) {
            LinkRole.Hub -> true
            LinkRole.Equal -> liveStatuses().keys.all { self < it }
            LinkRole.Member -> false
        }

    /** Gateways that receive reports on this one and its members. */
    val equalPeers: Set<VmId>
        get() = when {
            isMember -> setOfNotNull(upstream)
            addresses.isEmpty() -> peers.linkedPeers
            else -> plan.hubs.toSet() + liveStatuses().filterValues { it.isHub }.keys
        }

    /** Gateways that receive reports on all others from this one. */
    val members: Set<VmId>
        get() = if (plan.role == LinkRole.Hub) liveStatuses().filterValues { !it.isHub }.keys else emptySet()

    /**
     * Gateways that receive the changes of the store from this one: all members of its failure domain, which are linked
     * with each of its hubs. One that follows another hub then learns of them while that hub is frozen or cut off.
     */
    val followers: Set<VmId> get() = members + plan.members

    /** Number of VMs that a report to equals covers. */
    val vmsReportedToEquals: Int get() = 1 + members.size

    /** Number of VMs that a report to a member covers. */
    val vmsReportedToMembers: Int
        get() = members.size + liveStatuses().filterValues { it.isHub }.values.sumOf { it.vms }

    /** Whether [vm] is a member whose reports this gateway relays. */
    fun isOwnMember(vm: VmId): Boolean = plan.role == LinkRole.Hub && statuses[vm]?.isHub == false

    /** Whether to apply reports of [vm]. A member accepts one hub's only, since each hub's reports cover all others. */
    fun acceptsFrom(vm: VmId): Boolean = !isMember || vm == upstream

    /** Records that [vm], whose reports are accepted, has reported on [vms] gateways. */
    fun statusReceived(vm: VmId, isHub: Boolean, vms: Int) {
        if (statuses[vm]?.isHub == !isHub) fleet.quota.forget(vm)
        statuses[vm] = PeerStatus(isHub, vms, MonotonicTime.now())
    }

    /** Plans and opens the links to [others], the fleet's other gateways. */
    fun update(scope: CoroutineScope, others: Map<VmId, MemberEntry>, receiver: PeerReceiver) {
        addresses = others.mapValues { it.value.peers }
        val sites = others.mapValues { LinkSite(it.value.domain, it.value.processors) } +
            (self to LinkSite(settings.failureDomain, settings.usableProcessors))
        val before = plan
        plan = LinkPlan.of(self, sites, reachability.unreachable(MonotonicTime.now()))
        fleet.quota.isHub = plan.role == LinkRole.Hub
        val wanted = plan.hubs.mapNotNull { addresses[it] }.toSet()
        if (others.isNotEmpty()) peers.keepOnly(wanted)
        wanted.forEach { peers.keepLink(scope, it, receiver) }
        chooseUpstream()
        if (plan.role != before.role || plan.hubs != before.hubs) {
            log.stateChange("links", "role" to plan.role.toString(), "hubs" to plan.hubs.map { it.text })
        }
    }

    /** Checks the open links periodically: calls [replan] when the unreachable VMs change, and [refresh] each time. */
    suspend fun watchLinks(replan: () -> Unit, refresh: () -> Unit) {
        while (true) {
            delay(CHECK_INTERVAL)
            val now = MonotonicTime.now()
            val before = reachability.unreachable(now)
            reachability.update(plan.hubs.toSet(), peers.linkedPeers, now)
            forgetSilentMembers()
            chooseUpstream()
            if (reachability.unreachable(now) != before) replan()
            refresh()
        }
    }

    /** Chooses the first reachable hub; usage that the former hub reported is not charged again. */
    private fun chooseUpstream() {
        val next = if (isMember) plan.hubs.firstOrNull { it in peers.linkedPeers } else null
        withoutHubSince = if (next != null || !isMember) null else withoutHubSince ?: MonotonicTime.now()
        if (next == upstream) return
        upstream?.let { fleet.quota.forget(it) }
        upstream = next
        log.stateChange("upstream", "hub" to next?.text)
    }

    /** Forgets silent members, so that the usage of one that returns from another hub is counted from a new base. */
    private fun forgetSilentMembers() {
        val liveVms = liveStatuses().keys
        statuses.keys.filter { it !in liveVms && isOwnMember(it) }.forEach {
            fleet.quota.forget(it)
            statuses.remove(it)
        }
    }

    private fun liveStatuses(): Map<VmId, PeerStatus> {
        val now = MonotonicTime.now()
        return statuses.filterValues { now - it.receivedAt < SILENCE_TIMEOUT }
    }

    private companion object {
        /** Reports arrive every 250 ms, or at least every 750 ms while they do not change. */
        val SILENCE_TIMEOUT = 1200.milliseconds
        val CHECK_INTERVAL = 250.milliseconds

        /** A member without a link to either of its two hubs waits this long; a hub restarts within about a second. */
        val HUB_TIMEOUT = 800.milliseconds

        /** All gateways of a fleet start within a second of each other; callers connect later. */
        val SEED_TIMEOUT = 2.seconds
    }
}
