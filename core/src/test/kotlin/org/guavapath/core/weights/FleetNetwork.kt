package org.guavapath.core.weights

import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** What becomes of a call to a replica. */
internal enum class CallFate { DELIVERED, LOST, ANSWER_LOST, LATE, REFUSED, DOUBLED }

/** The links between gateways, and between gateways and replicas. */
internal class FleetNetwork(
    private val clock: FleetClock,
    private val random: Random,
    private val replicas: Map<ReplicaId, FleetReplica>,
) {
    private val cuts = HashMap<Pair<VmId, ReplicaId>, MonotonicTime>()
    private val stalls = HashMap<Pair<VmId, VmId>, MonotonicTime>()
    private val lastDeliveries = HashMap<Pair<VmId, VmId>, MonotonicTime>()

    /** Returns what becomes of the next order. */
    var orderFate: () -> CallFate = { CallFate.DELIVERED }

    /** Returns whether the next report is lost. */
    var isReportLost: () -> Boolean = { false }

    /** When the last order that is under way arrives. */
    var lastArrival = MonotonicTime.ZERO
        private set

    /** Cuts [vm] from [replica] until [end]. */
    fun cut(vm: VmId, replica: ReplicaId, end: MonotonicTime) {
        cuts[vm to replica] = end
    }

    /** Holds all messages from [sender] to [receiver] back until [end]. */
    fun stall(sender: VmId, receiver: VmId, end: MonotonicTime) {
        stalls[sender to receiver] = end
    }

    /** Ends all troubles; orders and messages that are under way still arrive. */
    fun calm() {
        cuts.clear()
        stalls.clear()
        lastDeliveries.replaceAll { _, at -> minOf(at, clock.now) }
        orderFate = { CallFate.DELIVERED }
        isReportLost = { false }
    }

    /** Delivers a message; messages of one link keep their order. */
    fun send(sender: VmId, receiver: VmId, deliver: () -> Unit) {
        val link = sender to receiver
        val at = maxOf(clock.now + latency(), stalls[link] ?: MonotonicTime.ZERO, lastDeliveries[link] ?: clock.now)
        lastDeliveries[link] = at
        clock.schedule(at, action = deliver)
    }

    /** The calls of [vm]. */
    fun callsOf(vm: VmId): FleetReplicaCalls = object : FleetReplicaCalls {
        override fun report(replica: Replica, answer: (FleetReport) -> Unit) {
            if (isReportLost()) return
            reach(vm, replica) { found -> found.report().let { back(vm, replica, answer, it) } }
        }

        override fun order(replica: Replica, order: FleetOrder, answer: (OrderAnswer) -> Unit) =
            deliver(vm, replica, order, answer)
    }

    private fun deliver(vm: VmId, replica: Replica, order: FleetOrder, answer: (OrderAnswer) -> Unit) {
        val fate = orderFate()
        when (fate) {
            CallFate.LOST -> Unit
            CallFate.REFUSED -> back(vm, replica, answer, OrderAnswer.REFUSED)
            CallFate.LATE -> deliverLate(replica.id, order, anyLateTime())
            CallFate.DELIVERED, CallFate.ANSWER_LOST, CallFate.DOUBLED -> reach(vm, replica) { found ->
                val result = found.receive(order)
                if (result != null && fate != CallFate.ANSWER_LOST) back(vm, replica, answer, result)
            }
        }
        if (fate == CallFate.DOUBLED) deliverLate(replica.id, order, anyLateTime())
    }

    /** Delivers [order] at [at], long after its sender has given it up. */
    fun deliverLate(replica: ReplicaId, order: FleetOrder, at: MonotonicTime) {
        lastArrival = maxOf(lastArrival, at)
        clock.schedule(at) { replicas[replica]?.takeIf { it.isUp }?.receive(order) }
    }

    private fun anyLateTime() = clock.now + random.nextInt(2_000, 12_000).milliseconds

    private fun reach(vm: VmId, replica: Replica, arrived: (FleetReplica) -> Unit) {
        if (isCut(vm, replica.id)) return
        clock.schedule(clock.now + latency()) { replicas[replica.id]?.takeIf { it.isUp }?.let(arrived) }
    }

    private fun <T> back(vm: VmId, replica: Replica, answer: (T) -> Unit, value: T) {
        if (!isCut(vm, replica.id)) clock.schedule(clock.now + latency()) { answer(value) }
    }

    private fun isCut(vm: VmId, replica: ReplicaId) = cuts[vm to replica].let { it != null && it > clock.now }

    private fun latency() = random.nextInt(1, 4).milliseconds
}
