package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import kotlinx.coroutines.delay
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.throttling.PermitDecision
import org.guavapath.core.throttling.PermitIssuer
import org.guavapath.core.throttling.RateArbitration
import org.guavapath.core.throttling.ReplicaClosures
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Obtains a permit for each request to a replica that has named a rate, from the gateway that is the replica's arbiter.
 *
 * A member of a hub asks its hub, which asks on. An arbiter that does not answer in time has denied the permit.
 */
internal class PermitTask(
    private val fleet: FleetState,
    private val arbitration: RateArbitration,
    private val rates: NamedRateTask,
    private val peers: RatePeers,
    private val loop: EventLoop,
    private val fleetSize: () -> Int?,
) {
    private val issuer = PermitIssuer(fleet.rates, arbitration)
    private val closures = ReplicaClosures()
    private val pending = HashMap<Long, (PermitDecision) -> Unit>()
    private var lastNumber = 0L

    /** Replicas to which no request is sent now. */
    val closedReplicas: Set<ReplicaId> get() = closures.closed(MonotonicTime.now())

    /** Forgets replicas that are gone or have no rate any more. */
    suspend fun run() {
        while (true) {
            delay(EXPIRY_INTERVAL)
            issuer.expire(fleet.replicas.all.filter { !it.isLeaving }.map { it.entry.incarnation }.toSet())
        }
    }

    /** Calls [onDecision], at once or soon, with whether a request may be sent to [replica]. */
    fun request(replica: Replica, onDecision: (PermitDecision) -> Unit) =
        request(replica.incarnation, isMandatory = false) { decision ->
            if (decision is PermitDecision.Denied) closures.close(replica.id, decision, MonotonicTime.now())
            onDecision(decision)
        }

    /** Counts a call to [replica] that is made whether there is a permit or not. */
    fun count(replica: Replica) = request(replica.incarnation, isMandatory = true) { }

    /** Applies a message of [from]. */
    fun received(from: VmId, message: PeerMessage.OfRates) = when (message) {
        is PeerMessage.RatesTold -> rates.received(from, message)
        is PeerMessage.PermitWanted -> answer(from, message)
        is PeerMessage.PermitDecided -> decided(message)
    }

    /** Answers the question of [from], or asks on if it is a member of this hub. */
    private fun answer(from: VmId, message: PeerMessage.PermitWanted) {
        val replica = rates.apply(message.rate, from)
        val reply = { decision: PermitDecision -> peers.send(from, answerTo(message, decision)) }
        if (peers.isOwnMember(from)) {
            request(replica, message.isMandatory, reply)
        } else {
            reply(decide(replica, message.isMandatory))
        }
    }

    /** Passes an answer to the request that waits for it. */
    private fun decided(message: PeerMessage.PermitDecided) {
        val denied = PermitDecision.Denied(message.retryAfterMilliseconds.milliseconds)
        pending.remove(message.number)?.invoke(if (message.isGranted) PermitDecision.Granted else denied)
    }

    private fun request(replica: ReplicaIncarnation, isMandatory: Boolean, onDecision: (PermitDecision) -> Unit) {
        val notice = fleet.rates.notice(replica)?.takeIf { it.rate != null }
            ?: return onDecision(PermitDecision.Granted)
        val arbiter = if (peers.isMember) peers.upstream else arbitration.arbiter(replica.id)
        when (arbiter) {
            null -> onDecision(NO_ARBITER)
            peers.self -> onDecision(decide(replica, isMandatory))
            else -> ask(arbiter, SharedRateCodec.encode(notice, MonotonicTime.now()), isMandatory, onDecision)
        }
    }

    private fun ask(
        arbiter: VmId,
        rate: PeerMessage.SharedRate,
        isMandatory: Boolean,
        onDecision: (PermitDecision) -> Unit,
    ) {
        lastNumber += 1
        val number = lastNumber
        pending[number] = onDecision
        val timeout = { pending.remove(number)?.invoke(NO_ARBITER) }
        loop.schedule(timeout, ANSWER_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        peers.send(arbiter, PeerMessage.PermitWanted(number, rate, isMandatory))
    }

    private fun decide(replica: ReplicaIncarnation, isMandatory: Boolean): PermitDecision =
        if (peers.isMember) NO_ARBITER else issuer.decide(replica, isMandatory, fleetSize(), MonotonicTime.now())

    private companion object {
        /** A question takes a few milliseconds; a request that waits longer is better sent elsewhere. */
        val ANSWER_TIMEOUT = 80.milliseconds

        val EXPIRY_INTERVAL = 1.seconds

        /** Another arbiter is chosen once the ballots of a silent one have expired. */
        val NO_ARBITER = PermitDecision.Denied(250.milliseconds)
    }
}

private fun answerTo(wanted: PeerMessage.PermitWanted, decision: PermitDecision) = when (decision) {
    PermitDecision.Granted -> PeerMessage.PermitDecided(wanted.number, isGranted = true, 0)
    is PermitDecision.Denied ->
        PeerMessage.PermitDecided(wanted.number, isGranted = false, decision.retryAfter.inWholeMilliseconds)
}
