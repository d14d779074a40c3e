package org.guavapath.daemon.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.throttling.ArbiterBallot
import org.guavapath.core.throttling.RateArbitration
import org.guavapath.core.throttling.RateNotice
import org.guavapath.core.throttling.RateStatement
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.keepRunning
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.platform.wire.ReplicaResponseHead
import kotlin.time.Duration.Companion.milliseconds

/** Records the rates that replicas name, and shares them and the ballots on arbiters with the other gateways. */
internal class NamedRateTask(
    private val fleet: FleetState,
    private val arbitration: RateArbitration,
    private val peers: RatePeers,
    private val log: GatewayLog,
) {
    private val updates = Channel<Unit>(Channel.CONFLATED)
    private val unpublished = LinkedHashMap<ReplicaId, RateNotice>()
    private val invalidTexts = RepeatedTexts(fleet.replicas)

    /** Publishes changes, and everything again now and then while a replica has a rate. */
    fun run(scope: CoroutineScope) {
        scope.keepRunning("ballots of rates") {
            var ticks = 0
            while (true) {
                delay(BALLOT_INTERVAL)
                ticks += 1
                tick(isFull = ticks % BALLOTS_PER_REPEAT == 0)
            }
        }
        scope.keepRunning("named rates") {
            while (true) {
                updates.receive()
                publish(unpublished.values.toList())
                delay(MIN_INTERVAL)
            }
        }
    }

    /** Records what the [head] of a response of [replica] says; the request was sent at [sentAt]. */
    fun responded(replica: Replica, head: ReplicaResponseHead, sentAt: MonotonicTime) {
        if (head.isMisdirected) return
        val statement = head.rate
        if (statement is RateStatement.Invalid) logInvalid(replica, statement)
        val isSuccess = head.isSuccess && head.isSigned
        fleet.rates.responded(replica.incarnation, statement, isSuccess, sentAt, MonotonicTime.now())
            ?.let { changed(it, from = null) }
    }

    /** Sends what is known here to [peer], which answers with what it knows. */
    fun linked(peer: VmId) = peers.send(peer, message(fleet.rates.notices, isGreeting = true))

    /** Applies the rates and the ballot of [from]. */
    fun received(from: VmId, message: PeerMessage.RatesTold) {
        val now = MonotonicTime.now()
        message.rates.forEach { apply(it, from) }
        if (message.candidates.isNotEmpty()) {
            arbitration.receive(from, ArbiterBallot(message.candidates, message.vms), now)
        }
        if (message.isGreeting && fleet.rates.limitedReplicas > 0) {
            peers.send(from, message(fleet.rates.notices, isGreeting = false))
        }
        if (fleet.rates.limitedReplicas > 0 && arbitration.isBallotOutdated(now)) updates.trySend(Unit)
    }

    /** Applies a [rate] that [from] told; returns the replica that it is of. */
    fun apply(rate: PeerMessage.SharedRate, from: VmId): ReplicaIncarnation {
        val notice = SharedRateCodec.decode(rate, MonotonicTime.now())
        if (fleet.rates.receive(notice)) changed(notice, from)
        return notice.replica
    }

    private fun changed(notice: RateNotice, from: VmId?) {
        log.stateChange(
            if (notice.rate == null) "replica rate ended" else "replica named a rate",
            "replica" to notice.replica.id.text,
            "ratePerSecond" to notice.rate?.perSecond,
            "from" to from?.text,
        )
        unpublished[notice.replica.id] = notice
        updates.trySend(Unit)
    }

    private fun tick(isFull: Boolean) {
        if (fleet.rates.notices.isEmpty()) return
        fleet.rates.expire(fleet.replicas.all.map { it.entry.incarnation }.toSet(), MonotonicTime.now())
        publish(if (isFull) fleet.rates.notices else unpublished.values.toList())
    }

    private fun publish(notices: Collection<RateNotice>) {
        unpublished.clear()
        arbitration.renewBallot(peers.voters, MonotonicTime.now())
        peers.broadcast(message(notices, isGreeting = false))
    }

    private fun message(notices: Collection<RateNotice>, isGreeting: Boolean): PeerMessage.RatesTold {
        val now = MonotonicTime.now()
        val ballot = arbitration.ballot
        val candidates = if (peers.isMember) emptySet() else ballot.candidates
        val rates = notices.map { SharedRateCodec.encode(it, now) }
        return PeerMessage.RatesTold(rates, candidates, ballot.vms, isGreeting)
    }

    private fun logInvalid(replica: Replica, statement: RateStatement.Invalid) {
        if (!invalidTexts.isNew(replica.id, statement.text)) return
        log.stateChange("replica rate ignored", "replica" to replica.id.text, "text" to statement.text)
    }

    private companion object {
        val MIN_INTERVAL = 10.milliseconds
        val BALLOT_INTERVAL = 250.milliseconds
        const val BALLOTS_PER_REPEAT = 4
    }
}
