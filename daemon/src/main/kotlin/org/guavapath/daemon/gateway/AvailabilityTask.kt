package org.guavapath.daemon.gateway

import kotlinx.coroutines.delay
import org.guavapath.core.availability.PauseStatement
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.platform.wire.ReplicaResponseHead
import kotlin.time.Duration.Companion.seconds

/**
 * Records which replicas have said that they leave, and which want no requests of this gateway for a time.
 *
 * That a replica leaves is told to the other gateways at once; a pause concerns this gateway alone.
 */
internal class AvailabilityTask(
    private val fleet: FleetState,
    private val pool: ReplicaPool,
    private val peers: GatewayPeers,
    private val telemetry: GatewayTelemetry,
) {
    private val log = telemetry.log
    private val invalidTexts = RepeatedTexts(fleet.replicas)

    /** Forgets replicas that are gone, and pauses that are over. */
    suspend fun run() {
        while (true) {
            delay(EXPIRY_INTERVAL)
            val now = MonotonicTime.now()
            fleet.replicas.leaving.expire(fleet.replicas.all.map { it.entry.incarnation }.toSet(), now)
            fleet.replicas.pauses.expire(now)
        }
    }

    /** Returns why [replica] gets no request of this gateway now, null if it may get one. */
    fun refusal(
        replica: Replica
    ): String? = if (fleet.replicas.takesRequests(replica.incarnation, MonotonicTime.now())) {
        null
    } else {
        "the replica takes no requests"
    }

    /** Records what the [head] of a response from the address of [expected] says. */
    fun responded(expected: Replica, head: ReplicaResponseHead) {
        if (!head.isLeaving && head.pause == PauseStatement.Absent) return
        val replica = sender(expected, head) ?: return
        val now = MonotonicTime.now()
        if (head.isLeaving) leaves(listOf(replica), from = null)
        when (val pause = head.pause) {
            PauseStatement.Absent -> Unit
            is PauseStatement.Named -> if (fleet.replicas.pauses.record(replica, pause.duration, now)) {
                telemetry.metrics.count("guavapath.gateway.replica.pauses", "service", expected.service.text)
                log.stateChange(
                    "replica paused",
                    "replica" to replica.id.text,
                    "forMs" to pause.duration.inWholeMilliseconds
                )
            }
            is PauseStatement.Invalid -> if (invalidTexts.isNew(replica.id, pause.text)) {
                log.stateChange("replica pause ignored", "replica" to replica.id.text, "text" to pause.text)
            }
        }
    }

    /** Returns whose response it is, null if another replica responded at the address and is not listed. */
    private fun sender(expected: Replica, head: ReplicaResponseHead): ReplicaIncarnation? {
        val id = head.replica ?: expected.id
        return if (id == expected.id) expected.incarnation else fleet.replicas[id]?.entry?.incarnation
    }

    /** Sends what is known here to [peer]. */
    fun linked(peer: VmId) {
        val known = fleet.replicas.leaving.incarnations
        if (known.isNotEmpty()) peers.send(peer, message(known))
    }

    /** Applies what [from] knows, and passes on what is new. */
    fun received(from: VmId, message: PeerMessage.ReplicasLeaving) =
        leaves(message.startedAt.map { (id, startedAt) -> ReplicaIncarnation(ReplicaId(id), startedAt) }, from)

    private fun leaves(replicas: List<ReplicaIncarnation>, from: VmId?) {
        val now = MonotonicTime.now()
        val news = replicas.filter { fleet.replicas.leaving.record(it, now) }
        news.filter { fleet.replicas[it.id]?.entry?.incarnation == it }.forEach {
            fleet.directory.forget(it.id)
            pool.drop(it.id)
            telemetry.metrics.count(
                "guavapath.gateway.replicas.leaving",
                "learned",
                if (from == null) "replica" else "peer"
            )
            log.stateChange(
                "replica leaving",
                "replica" to it.id.text,
                "incarnation" to it.startedAt,
                "from" to from?.text
            )
        }
        if (news.isNotEmpty()) peers.broadcast(message(news))
    }

    private fun message(replicas: List<ReplicaIncarnation>) =
        PeerMessage.ReplicasLeaving(replicas.associate { it.id.text to it.startedAt })

    private companion object {
        val EXPIRY_INTERVAL = 5.seconds
    }
}
