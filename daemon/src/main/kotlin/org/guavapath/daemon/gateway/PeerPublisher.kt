package org.guavapath.daemon.gateway

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.placement.ReplicaLoad
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerSender
import kotlin.time.Duration.Companion.milliseconds

/** Publishes this gateway's status, urgent usage and prompt updates to other gateways. */
internal class PeerPublisher(
    private val incarnation: Incarnation,
    private val fleet: FleetState,
    private val views: ViewExchange,
    private val peers: PeerSender,
    private val topology: PeerTopology,
    private val exchange: PeerExchange,
) {
    private val prompts = PromptPublisher(peers, topology)
    private val usageUpdates = Channel<Unit>(Channel.CONFLATED)
    private val promptUpdates = Channel<Unit>(Channel.CONFLATED)

    /** Publishes this gateway's status at each interval, to equals less often while it does not change. */
    suspend fun publishStatusForever() {
        var last: PeerMessage.FleetStatus? = null
        var unchangedIntervals = 0
        while (true) {
            delay(INTERVAL)
            val next = statusForEquals()
            unchangedIntervals = if (next == last) unchangedIntervals + 1 else 0
            if (unchangedIntervals % UNCHANGED_INTERVALS == 0) topology.equalPeers.forEach { sendStatus(it, next) }
            publishStatusToMembers()
            last = next
        }
    }

    /** Schedules usage and prompt updates after a request was sent here or reported by another gateway. */
    fun scheduleUpdates(isOfHub: Boolean = true) {
        if (!isOfHub) return
        usageUpdates.trySend(Unit)
        promptUpdates.trySend(Unit)
    }

    /** Publishes admissions that use a large part of a limit without waiting for the next status. */
    suspend fun publishUsageForever() {
        while (true) {
            usageUpdates.receive()
            delay(URGENT_INTERVAL)
            if (fleet.quota.hasUrgentUsage) publishUsage()
        }
    }

    private fun publishUsage() {
        val usage = fleet.quota.usageTotals()
        topology.equalPeers.forEach {
            peers.send(it, PeerMessage.UsageTold(incarnation, topology.vmsReportedToEquals, usage))
        }
        val vms = topology.vmsReportedToMembers
        topology.members.forEach {
            peers.send(it, PeerMessage.UsageTold(incarnation, vms, fleet.quota.usageTotals(it)))
        }
    }

    /** Publishes which replicas have prefilled which shared parts of prompts. */
    suspend fun publishPromptsForever() {
        while (true) {
            promptUpdates.receive()
            delay(if (topology.hasHubs) PROMPT_INTERVAL_WITH_HUBS else PROMPT_INTERVAL)
            prompts.flush(fleet.directory)
        }
    }

    /** Queues the prompt update of [from] for relaying. */
    fun relayPrompts(from: VmId, message: PeerMessage.PromptsRead) = prompts.collect(from, message)

    private fun statusForEquals() =
        status(topology.vmsReportedToEquals, fleet.quota.usageTotals(), except = topology.equalPeers)

    private fun publishStatusToMembers() {
        val vms = topology.vmsReportedToMembers
        topology.members.forEach { sendStatus(it, status(vms, fleet.quota.usageTotals(it), except = setOf(it))) }
    }

    private fun sendStatus(to: VmId, status: PeerMessage.FleetStatus) =
        peers.send(to, PeerMessage.OfEra(views.era.number, status))

    /** Returns a status with the loads that all VMs but [except] have reported. */
    private fun status(vms: Int, usage: Map<WorkspaceName, Long>, except: Set<VmId>): PeerMessage.FleetStatus {
        val now = MonotonicTime.now()
        return PeerMessage.FleetStatus(
            incarnation = incarnation,
            isHub = !topology.isMember,
            vms = vms,
            views = views.newestChanges,
            usage = usage,
            loads = fleet.replicas.all.map { it.entry.id.text to it.load(now, except) }
                .filter { it.second != ReplicaLoad.NONE }
                .associate { (id, load) -> id to PeerMessage.SharedLoad(load.promptTokens, load.requests) },
            isServedByStore = exchange.isStoreAvailable(),
            rollout = exchange.rolloutHolder,
        )
    }

    private companion object {
        /** Short, as requests with the same prefix often arrive within a second of each other. */
        val PROMPT_INTERVAL = 50.milliseconds

        /**
         * Longer, as a hub publishes to dozens of members. The delay costs little: gateways agree on the replica that
         * prefills a prefix first without any message.
         */
        val PROMPT_INTERVAL_WITH_HUBS = 200.milliseconds
        val URGENT_INTERVAL = 20.milliseconds
        val INTERVAL = 250.milliseconds

        /** An unchanged status is still published every third interval, as a heartbeat. */
        const val UNCHANGED_INTERVALS = 3
    }
}
