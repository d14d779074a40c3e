package org.guavapath.core.weights

import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Lets the troubles of a situation happen, at random times until the calm. */
internal class FleetTroubles(private val situation: FleetSituation, private val fleet: FleetSimulation) {
    private val random = fleet.random
    private val clock = fleet.clock
    private val calm = situation.calmTime
    private val shares = situation.troubles.associateWith { random.nextDouble(0.1, 0.6) }

    /** Schedules all troubles and the calm. */
    fun schedule() {
        situation.troubles.forEach { trouble -> times(trouble).forEach { clock.schedule(it) { happen(trouble) } } }
        clock.schedule(MonotonicTime.ZERO + 1.seconds) { disturbCalls() }
        for (copy in 1..20) clock.schedule(MonotonicTime.ZERO + 500.milliseconds * copy) { fleet.store.copy() }
        clock.schedule(calm) { fleet.calm() }
    }

    private fun times(trouble: FleetTrouble): List<MonotonicTime> {
        val count = when (trouble) {
            FleetTrouble.REPLICAS_CRASH -> 1 + situation.replicas
            FleetTrouble.REPLICAS_CRASH_IN_ORDERS -> 2 * situation.replicas
            FleetTrouble.REPLICAS_COME_AND_GO -> 1 + situation.replicas / 3
            FleetTrouble.STORE_RESTORED -> 1
            else -> 6
        }
        val first = if (random.nextBoolean()) situation.calmAt - 4.seconds else 1.seconds
        return List(random.nextInt(1, count + 1)) { MonotonicTime.ZERO + between(first, situation.calmAt) }
    }

    private fun happen(trouble: FleetTrouble) {
        val holder = fleet.holder ?: fleet.vms.first()
        when (trouble) {
            FleetTrouble.REPLICAS_CRASH -> fleet.crash(anyReplica(), down(), isSameId())
            FleetTrouble.REPLICAS_CRASH_IN_ORDERS -> crashInOrder(anyReplica())
            FleetTrouble.REPLICAS_COME_AND_GO -> comeAndGo()
            FleetTrouble.CUT_FROM_STORE -> storeTrouble(listOf(holderOrAny(holder)))
            FleetTrouble.STORE_AWAY -> storeTrouble(fleet.vms)
            FleetTrouble.STORE_RESTORED -> fleet.store.restore(clock.now + -between(300.milliseconds, 5.seconds))
            else -> happenToGateways(trouble, holder)
        }
    }

    private fun happenToGateways(trouble: FleetTrouble, holder: VmId) {
        when (trouble) {
            FleetTrouble.HOLDER_KILLED -> fleet.kill(holder, killedFor(holder))
            FleetTrouble.HOLDER_FROZEN -> fleet.freeze(holder, between(200.milliseconds, 4.seconds))
            FleetTrouble.GATEWAYS_RESTART -> fleet.kill(anyVm(), between(300.milliseconds, 1.seconds))
            FleetTrouble.GATEWAYS_SLOW -> slow(holderOrAny(holder))
            FleetTrouble.CUT_FROM_REPLICAS -> cut(holder)
            FleetTrouble.MESSAGES_DELAYED -> stall(anyVm(), anyVm())
            else -> Unit
        }
    }

    private fun crashInOrder(replica: FleetReplica) {
        replica.crashAt = OrderStep.entries.random(random)
        replica.onCrash = { fleet.crash(replica, down(), isSameId()) }
    }

    private fun comeAndGo() {
        if (random.nextBoolean()) fleet.add()
        if (fleet.replicas.size > 2) fleet.crash(anyReplica(), downFor = null, isSameId = false)
    }

    /** Disturbs calls to replicas until the calm. */
    private fun disturbCalls() {
        val fates = mapOf(
            FleetTrouble.ORDERS_LOST to listOf(CallFate.LOST, CallFate.ANSWER_LOST),
            FleetTrouble.ORDERS_LATE to listOf(CallFate.LATE),
            FleetTrouble.ORDERS_REFUSED to listOf(CallFate.REFUSED),
            FleetTrouble.ORDERS_DOUBLED to listOf(CallFate.DOUBLED),
        ).filterKeys { it in shares }
        fleet.network.orderFate = {
            fates.entries.firstOrNull { random.nextDouble() < shares.getValue(it.key) }?.value?.random(random)
                ?: CallFate.DELIVERED
        }
        shares[FleetTrouble.REPORTS_LOST]?.let { share -> fleet.network.isReportLost = { random.nextDouble() < share } }
        if (FleetTrouble.REQUESTS_LONG in shares) fleet.requestsEnd = { between(Duration.ZERO, 12.seconds) }
    }

    /** At most half of the gateways stay away. */
    private fun killedFor(vm: VmId): Duration? {
        val isNumberEven = vm.text.last().digitToInt() % 2 == 0
        return if (isNumberEven && random.nextInt(4) == 0) null else between(300.milliseconds, 2.seconds)
    }

    private fun slow(vm: VmId) {
        fleet.slow(vm, between(20.milliseconds, 600.milliseconds))
        if (random.nextBoolean()) {
            clock.schedule(clock.now + between(1.seconds, 5.seconds)) { fleet.slow(vm, Duration.ZERO) }
        }
    }

    private fun cut(vm: VmId) {
        val end = clock.now + between(500.milliseconds, 6.seconds)
        fleet.replicas.filter { random.nextBoolean() }.forEach { fleet.network.cut(vm, it.id, end) }
    }

    private fun storeTrouble(vms: List<VmId>) {
        val access = if (random.nextBoolean()) StoreAccess.FAILING else StoreAccess.SILENT
        vms.forEach { fleet.store.setAccess(it, access) }
        clock.schedule(clock.now + between(300.milliseconds, 5.seconds)) {
            vms.forEach { fleet.store.setAccess(it, StoreAccess.SERVED) }
        }
    }

    private fun stall(sender: VmId, receiver: VmId) {
        if (sender != receiver) fleet.network.stall(sender, receiver, clock.now + between(500.milliseconds, 4.seconds))
    }

    private fun anyReplica() = fleet.replicas.random(random)

    private fun holderOrAny(holder: VmId) = if (random.nextBoolean()) holder else anyVm()

    private fun anyVm() = fleet.vms.random(random)

    private fun isSameId() = random.nextInt(4) > 0

    private fun down() = between(200.milliseconds, 2500.milliseconds)

    private fun between(from: Duration, until: Duration) =
        random.nextLong(from.inWholeMilliseconds, until.inWholeMilliseconds).milliseconds
}
