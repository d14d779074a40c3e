package org.guavapath.core.throttling

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * VMs that send requests to one replica by permits, with messages that take time and are lost at cuts.
 *
 * @param voters VMs that choose arbiters
 * @param vmsPerVoter VMs that ask through each of these, itself included
 */
internal class SimulatedFleet(private val voters: Int, private val vmsPerVoter: Int, seed: Int) {
    private class Event(val at: Int, val number: Int, val action: () -> Unit)

    /** What is lost when the VM restarts. */
    private inner class Voter(val vm: VmId) {
        val rates = NamedRates()
        val arbitration = RateArbitration(vm)
        val issuer = PermitIssuer(rates, arbitration)
        val closures = List(vmsPerVoter) { ReplicaClosures() }
    }

    private val replica = ReplicaIncarnation(ReplicaId("replica"), startedAt = 1)
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private var eventCount = 0
    private var millisecond = 0
    private var states = List(voters) { Voter(VmId("vm-$it")) }
    private val sent = ArrayList<Int>()
    private val now get() = MonotonicTime.ZERO + millisecond.milliseconds

    /** Whether messages between two voters arrive, by their indices. */
    var isLinked: (Int, Int) -> Boolean = { _, _ -> true }

    /** When requests were sent to the replica, in milliseconds. */
    val sendTimes: List<Int> get() = sent

    /** Whether a request was refused. */
    var refusals = 0
        private set

    init {
        schedule(0) { publishBallots() }
    }

    /** Restarts the voter [index], which loses all that it knows but the rate, which the next response tells. */
    fun restart(index: Int) {
        val rate = states[index].rates.rate(replica)
        states = states.toMutableList().also { it[index] = Voter(it[index].vm) }
        rate?.let { states[index].rates.receive(RateNotice(replica, it, now)) }
    }

    /** The replica names [perSecond] to all VMs. */
    fun nameRate(perSecond: Double) = states.forEach {
        it.rates.receive(RateNotice(replica, RequestRate(perSecond), now))
    }

    /** Lets random VMs receive [requestsPerSecond] for [duration]. */
    fun run(duration: Duration, requestsPerSecond: Double) {
        val end = millisecond + duration.inWholeMilliseconds.toInt()
        scheduleRequests(end, requestsPerSecond)
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.remove()
            millisecond = event.at
            event.action()
        }
        millisecond = end
    }

    private fun scheduleRequests(end: Int, requestsPerSecond: Double) {
        var at = millisecond.toDouble()
        while (at < end) {
            at += -Math.log(1 - random.nextDouble()) * MILLISECONDS_PER_SECOND / requestsPerSecond
            val voter = random.nextInt(voters)
            val vm = random.nextInt(vmsPerVoter)
            schedule(at.toInt() - millisecond) { request(voter, vm) }
        }
    }

    private fun schedule(delay: Int, action: () -> Unit) {
        eventCount += 1
        events.add(Event(millisecond + delay, eventCount, action))
    }

    private fun send(from: Int, to: Int, action: () -> Unit) {
        if (isLinked(from, to)) schedule(random.nextInt(1, MAX_LATENCY)) { action() }
    }

    private fun publishBallots() {
        states.indices.forEach { from ->
            val ballot = states[from].arbitration.renewBallot(vmsPerVoter, now)
            states.indices.filter { it != from }.forEach { to ->
                send(from, to) { states[to].arbitration.receive(states[from].vm, ballot, now) }
            }
        }
        schedule(BALLOT_INTERVAL) { publishBallots() }
    }

    private fun request(voter: Int, vm: Int) {
        val closures = states[voter].closures[vm]
        if (replica.id in closures.closed(now)) {
            refusals += 1
            return
        }
        ask(voter) { decision ->
            when (decision) {
                PermitDecision.Granted -> sent.add(millisecond)
                is PermitDecision.Denied -> {
                    refusals += 1
                    closures.close(replica.id, decision, now)
                }
            }
        }
    }

    private fun ask(voter: Int, onDecision: (PermitDecision) -> Unit) {
        val arbiter = states.indexOfFirst { it.vm == states[voter].arbitration.arbiter(replica.id) }
        if (arbiter == voter) return onDecision(decide(voter))
        var isAnswered = false
        val answer = { decision: PermitDecision ->
            if (!isAnswered) onDecision(decision)
            isAnswered = true
        }
        send(voter, arbiter) {
            val decision = decide(arbiter)
            send(arbiter, voter) { answer(decision) }
        }
        schedule(ANSWER_TIMEOUT) { answer(PermitDecision.Denied(BALLOT_INTERVAL.milliseconds)) }
    }

    private fun decide(arbiter: Int) =
        states[arbiter].issuer.decide(replica, isMandatory = false, voters * vmsPerVoter, now)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000
        const val MAX_LATENCY = 8
        const val BALLOT_INTERVAL = 250
        const val ANSWER_TIMEOUT = 80
    }
}
