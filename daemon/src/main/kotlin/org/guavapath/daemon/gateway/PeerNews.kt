package org.guavapath.daemon.gateway

import kotlinx.coroutines.delay
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.placement.ReplicaLoad
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerSender
import kotlin.time.Duration.Companion.milliseconds

/** Tells the other gateways what this one does and knows, each kind of news as soon as it matters. */
internal class PeerNews(
    private val incarnation: Incarnation,
    private val fleet: FleetState,
    private val views: List<StoreView>,
    private val peers: PeerSender,
    private val exchange: PeerExchange,
    private val lease: RolloutLease,
) {
    /** Tells the others this gateway's status, at once when it changes and now and then when it does not. */
    suspend fun tellStatusForever() {
        var last: PeerMessage.FleetStatus? = null
        var quiet = 0
        while (true) {
            delay(INTERVAL)
            val next = status()
            quiet = if (next == last) quiet + 1 else 0
            if (quiet % QUIET_INTERVALS == 0) peers.sendToAll(next)
            last = next
        }
    }

    /** Tells the others of admissions that use up a large part of a limit, without waiting for the next status. */
    suspend fun tellUsageForever() {
        while (true) {
            delay(URGENT_INTERVAL)
            if (fleet.quota.hasUrgentNews) {
                peers.sendToAll(PeerMessage.UsageTold(incarnation, fleet.quota.tell()))
            }
        }
    }

    /** Tells the others which replicas read which shared parts of prompts. */
    suspend fun tellPromptsForever() {
        while (true) {
            delay(PROMPT_INTERVAL)
            val news = fleet.directory.takeNews()
            if (news.isEmpty()) continue
            val byReplica = news.entries.groupBy({ it.value.text }, { it.key.bits })
            peers.sendToAll(PeerMessage.PromptsRead(byReplica))
        }
    }

    private fun status() = PeerMessage.FleetStatus(
        incarnation = incarnation,
        views = views.associate { it.kind.text to it.newestChange.number },
        usage = fleet.quota.tell(),
        loads = fleet.book.all.filter { it.ownLoad != ReplicaLoad.NONE }
            .associate { it.entry.id.text to PeerMessage.SharedLoad(it.ownLoad.promptTokens, it.ownLoad.requests) },
        isServedByStore = exchange.isServed(),
        rollout = lease.known,
    )

    private companion object {
        /** Requests with the same beginning often come within a second of each other. */
        val PROMPT_INTERVAL = 50.milliseconds
        val URGENT_INTERVAL = 20.milliseconds
        val INTERVAL = 250.milliseconds

        /** An unchanged status is told once in a while, as a sign of life. */
        const val QUIET_INTERVALS = 3
    }
}
