package org.guavapath.core.weights

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A replica that has older weights than it should. */
internal data class OutdatedReplica(
    val replica: ReplicaId,
    val model: ModelName,
    val weights: WeightsNumber?,
    val newest: WeightsNumber,
    val calmFor: Duration,
    val holder: String,
)

/**
 * A fleet of gateways, replicas and a store that is simulated in virtual time; the rollout is decided by the classes of
 * this package and by [decisionsOf] each gateway.
 */
internal class FleetSimulation(
    private val situation: FleetSituation,
    private val decisionsOf: (VmId, MonotonicTime) -> RolloutDecisions,
    private val onEvent: (MonotonicTime, String) -> Unit = { _, _ -> },
) {
    /** A gateway whose process may be restarted. */
    private inner class Slot(val vm: VmId) {
        var process = FleetProcess(clock).apply { isEnded = true }
        var gateway: FleetGateway? = null
        var starts = 0
    }

    private val present = LinkedHashMap<ReplicaId, FleetReplica>()

    val random = Random(situation.seed)
    val clock = FleetClock()
    val store = FleetStore(clock, random)
    val network = FleetNetwork(clock, random, present)

    private val models = if (situation.layout == ModelLayout.ONE) listOf(MODELS[0]) else MODELS
    private val slots = List(situation.candidates) { Slot(VmId("gateway-%03d".format(it + 1))) }.associateBy { it.vm }
    private val numbers = HashMap<ModelName, WeightsNumber>()
    private val newestSince = HashMap<ModelName, Pair<WeightsNumber, MonotonicTime>>()
    private var created = 0

    /** Time that a load waits for running requests. */
    var requestsEnd: () -> Duration = { random.nextInt(0, 1_000).milliseconds }
    val vms: List<VmId> = slots.keys.toList()
    val replicas: List<FleetReplica> get() = present.values.toList()

    /** The gateway that most gateways take for the holder of the lease. */
    val holder: VmId?
        get() = slots.values.filter { !it.process.isEnded }.mapNotNull { it.gateway?.holder }
            .groupingBy { it }.eachCount().maxByOrNull { it.value }?.key

    fun start() {
        models.forEach { name(it) }
        repeat(situation.replicas) { add() }
        vms.forEach { startGateway(it) }
        sendRequest()
        situation.names.forEach { (at, isSecond) ->
            clock.schedule(MonotonicTime.ZERO + at) { name(if (isSecond) models.last() else models.first()) }
        }
    }

    /** Runs until [end] or until a replica is outdated for longer than [bound]; returns the outdated ones. */
    fun run(end: MonotonicTime, bound: Duration): List<OutdatedReplica> {
        while (clock.now < end) {
            clock.runUntil(clock.now + STEP)
            val outdated = if (clock.now < situation.calmTime) emptyList() else outdated()
            val late = outdated.filter { it.calmFor > bound }
            if (late.isNotEmpty()) return late
            val settledAt = maxOf(situation.calmTime, network.lastArrival) + SETTLING_TIME
            if (outdated.isEmpty() && clock.now >= settledAt && replicas.all { it.isUp }) break
        }
        return emptyList()
    }

    /** Ends all troubles but those of processes. */
    fun calm() {
        network.calm()
        vms.forEach { store.setAccess(it, StoreAccess.SERVED) }
        requestsEnd = { random.nextInt(0, 1_000).milliseconds }
        replicas.forEach {
            it.crashAt = null
            it.shortenWait(1.seconds)
        }
        trace("calm")
    }

    fun startGateway(vm: VmId) {
        val slot = slots.getValue(vm)
        slot.process.isEnded = true
        slot.process = FleetProcess(clock)
        slot.starts += 1
        slot.gateway = FleetGateway(contextOf(slot), decisionsOf(vm, clock.now)).apply { start() }
    }

    private fun contextOf(slot: Slot) = object : FleetGatewayContext {
        override val vm = slot.vm
        override val incarnation = slot.starts
        override val process = slot.process
        override val store = this@FleetSimulation.store
        override val calls = network.callsOf(slot.vm)
        override val peers = peersOf(slot.vm)

        override fun trace(text: String) = this@FleetSimulation.trace("$vm: $text")
    }

    fun kill(vm: VmId, downFor: Duration?) {
        slots.getValue(vm).process.isEnded = true
        trace("$vm is killed")
        if (downFor != null) clock.schedule(clock.now + downFor) { startGateway(vm) }
    }

    fun freeze(vm: VmId, duration: Duration) {
        slots.getValue(vm).process.frozenUntil = clock.now + duration
        trace("$vm is frozen for $duration")
    }

    fun slow(vm: VmId, lag: Duration) {
        slots.getValue(vm).process.lag = lag
        trace("$vm handles events $lag later")
    }

    /** Ends a replica's run; it starts again after [downFor], under its id or another, or not at all. */
    fun crash(replica: FleetReplica, downFor: Duration?, isSameId: Boolean) {
        if (replica.isUp) replica.crash()
        if (downFor == null) return leave(replica)
        clock.schedule(clock.now + downFor) {
            if (isSameId) {
                replica.restart()
                write(replica)
            } else {
                leave(replica)
                add()
            }
        }
    }

    fun add() {
        created += 1
        val isSecond = situation.layout == ModelLayout.TWO_SERVICES && created % 2 == 0
        val own = when (situation.layout) {
            ModelLayout.ONE, ModelLayout.TWO_ON_EACH_REPLICA -> models
            ModelLayout.TWO_SERVICES -> if (isSecond) models.takeLast(1) else models.take(1)
        }
        val reportAge = random.nextInt(50, 200).milliseconds
        val replica = FleetReplica(
            ReplicaId("r$created"),
            ServiceName(if (isSecond) "second" else "first"),
            own.associateWith { numbers.getValue(it) },
            clock,
            reportAge,
        ) { requestsEnd() }
        replica.onEvent = { trace("${replica.id} $it") }
        present[replica.id] = replica
        write(replica)
        writeEntries(replica)
    }

    /** Sends a caller's request through some gateway to some replica, and another one soon. */
    private fun sendRequest() {
        val slot = slots.values.random(random)
        val replica = replicas.filter { it.isUp }.randomOrNull(random)
        val sentTo = replica?.let { slot.gateway?.incarnationOf(it) }
        if (sentTo != null && slot.process.frozenUntil <= clock.now) {
            val weights = replica.weights
            val process = slot.process
            clock.schedule(clock.now + random.nextInt(2, 300).milliseconds) {
                clock.schedule(clock.now, process) { slot.gateway?.responded(sentTo, weights) }
            }
        }
        clock.schedule(clock.now + REQUEST_INTERVAL) { sendRequest() }
    }

    private fun leave(replica: FleetReplica) {
        present.remove(replica.id)
        clock.schedule(clock.now + ENTRY_LIFETIME) { store.remove(replica.id) }
    }

    private fun writeEntries(replica: FleetReplica) {
        clock.schedule(clock.now + ENTRY_INTERVAL) {
            if (replica.id in present) {
                if (replica.isUp) write(replica)
                writeEntries(replica)
            }
        }
    }

    private fun write(replica: FleetReplica) = store.write(replica.entry)

    private fun name(model: ModelName) {
        val next = WeightsNumber((numbers[model]?.number ?: 0) + 1)
        numbers[model] = next
        store.name(model, next)
        trace("weights $next of $model are named")
    }

    private fun peersOf(vm: VmId) = object : FleetPeers {
        override val others = vms.toSet() - vm

        override fun send(to: VmId, message: FleetMessage) {
            val slot = slots.getValue(to)
            val process = slot.process
            if (process.isEnded) return
            network.send(vm, to) { clock.schedule(clock.now, process) { slot.gateway?.received(vm, message) } }
        }
    }

    private fun outdated(): List<OutdatedReplica> = models.flatMap { model ->
        val (newest, since) = newest(model)
        replicas.filter { it.isUp && it.weights[model].let { has -> has != null && has < newest } }.map {
            val calmSince = maxOf(maxOf(situation.calmTime, since), maxOf(it.startedAt, it.wentBackAt))
            OutdatedReplica(it.id, model, it.weights[model], newest, clock.now - calmSince, describe(it, model))
        }
    }

    /** Returns the newest weights that anybody knows, and since when these are the same. */
    private fun newest(model: ModelName): Pair<WeightsNumber, MonotonicTime> {
        val known = slots.values.filter { !it.process.isEnded && it.process.frozenUntil <= clock.now }
            .mapNotNull { it.gateway?.newest(model) }
        val newest = (known + listOfNotNull(store.newest()[model])).max()
        return newestSince[model]?.takeIf { it.first == newest }
            ?: (newest to clock.now).also { newestSince[model] = it }
    }

    private fun describe(replica: FleetReplica, model: ModelName): String =
        "$holder, which believes ${holder?.let { slots[it]?.gateway?.describe(replica, model) }}"

    private fun trace(text: String) = onEvent(clock.now, text)

    private companion object {
        val MODELS = listOf(ModelName("model-a"), ModelName("model-b"))
        val STEP = 50.milliseconds
        val REQUEST_INTERVAL = 20.milliseconds
        val ENTRY_INTERVAL = 1200.milliseconds
        val ENTRY_LIFETIME = 3600.milliseconds
        val SETTLING_TIME = 1.seconds
    }
}
