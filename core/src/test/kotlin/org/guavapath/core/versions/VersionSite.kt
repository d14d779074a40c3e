package org.guavapath.core.versions

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.SoftwareVersion
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What goes wrong in a [VersionSite]. */
enum class SiteTrouble {
    /** A third of all messages is lost. */
    LOST_MESSAGES,

    /** Messages take up to two seconds. */
    LATE_MESSAGES,

    /** Some gateways are cut off from all others for a while. */
    CUTS,

    /** Gateways are killed and start again. */
    RESTARTS,

    /** The order-giver is killed, again and again. */
    ORDER_GIVER_LOST,

    /** The store takes no writes for a while. */
    STORE_DOWN,

    /** The store returns from a copy that is seconds old, and the order-giver is killed. */
    STORE_RESTORED,
}

/** A request on a replica. */
private class SimulatedRequest(
    val endsAt: MonotonicTime,
    val replica: ReplicaId,
    val isOnTarget: Boolean,
    val answer: SimulatedAnswer
)

private class SimulatedGateway(val vm: VmId) {
    var runs = 0L
    var share: GatewayShare? = null
    var startsAt = MonotonicTime.ZERO
    var cutUntil = MonotonicTime.ZERO
    val running = ArrayList<SimulatedRequest>()
    val runningOnOld get() = running.count { !it.isOnTarget }
}

private class Delivery(val at: MonotonicTime, val sequence: Long, val action: () -> Unit)

/** Gateways, an order-giver, a store and the messages between them, without a network; time is simulated. */
class VersionSite(
    gateways: Int,
    private val requestsPerSecond: Double,
    duration: Duration,
    private val fault: Fault?,
    private val troubles: Set<SiteTrouble>,
    seed: Int,
) {
    private val random = Random(seed)
    private val targets = List(TARGETS) { ReplicaId("target-$it") }
    private val old = List(TARGETS) { ReplicaId("old-$it") }
    private val behavior = VersionBehavior.random(fault, targets, old, random)
    private val trial = trialReplicas(targets, BOUNDS.share).toList()
    private val order = VersionOrder(ServiceName("service"), SoftwareVersion("v2"), duration, createdAt = 1)
    private val fleet = List(gateways) { SimulatedGateway(VmId("vm-$it")) }
    private val deliveries = PriorityQueue<Delivery>(compareBy<Delivery> { it.at }.thenBy { it.sequence })
    private val start = MonotonicTime.ZERO + 10.seconds
    private var now = start
    private var sequence = 0L
    private var nextRequestAt = start

    private var manyBadAt: MonotonicTime? = null
    private var token = 0L
    private var giver: SimulatedGateway? = null
    private var rollout: VersionRollout? = null
    private var giverFrom = start
    private var stored: VersionProgress? = null
    private var formerStored: VersionProgress? = null
    private var storeDownUntil = MonotonicTime.ZERO
    private var nextTroubleAt = start + 2.seconds

    /** The outcome in the store, null before it. */
    var outcome: VersionPhase? = null
        private set
    var decidedAfter: Duration? = null
        private set
    var evidence: VersionEvidence? = null
        private set

    /** Requests that reached the service, those of them that went to the target in the trial, and its bad answers. */
    var requests = 0L
        private set
    var exposed = 0L
        private set
    var badAnswers = 0
        private set

    /** What must not be, as it was found. */
    val violations = ArrayList<String>()

    /** Runs until the outcome and somewhat longer; returns this. */
    fun run(): VersionSite {
        val end = start + order.duration * 2 + 15.seconds
        var endsAt = end
        while (now < minOf(end, endsAt)) {
            now += TICK
            deliver()
            trouble()
            fleet.forEach { endRequests(it) }
            sendRequests()
            if ((now - start).inWholeMilliseconds % REPORT_INTERVAL == 0L) {
                fleet.forEach { report(it) }
                stepOrderGiver()
            }
            if (outcome != null) endsAt = minOf(endsAt, (now + AFTERWARDS))
        }
        return this
    }

    private fun post(action: () -> Unit) {
        val mostLate = if (SiteTrouble.LATE_MESSAGES in troubles) 2_000 else 20
        if (SiteTrouble.LOST_MESSAGES in troubles && random.nextInt(3) == 0) return
        deliveries += Delivery(now + random.nextInt(1, mostLate).milliseconds, sequence++, action)
    }

    private fun deliver() {
        while (deliveries.peek().let { it != null && it.at <= now }) deliveries.poll().action()
    }

    private fun canTalk(first: SimulatedGateway, second: SimulatedGateway) =
        first === second || maxOf(first.cutUntil, second.cutUntil) <= now

    private fun trouble() {
        if (now < nextTroubleAt || troubles.isEmpty()) return
        nextTroubleAt = now + random.nextInt(700, 3_000).milliseconds
        val some = fleet.filter { random.nextInt(5) == 0 }
        when (troubles.random(random)) {
            SiteTrouble.CUTS -> some.forEach { it.cutUntil = now + random.nextInt(500, 5_000).milliseconds }
            SiteTrouble.RESTARTS -> some.forEach { kill(it) }
            SiteTrouble.ORDER_GIVER_LOST -> giver?.let { kill(it) }
            SiteTrouble.STORE_DOWN -> storeDownUntil = now + random.nextInt(500, 4_000).milliseconds
            SiteTrouble.STORE_RESTORED -> if (outcome == null) {
                stored = formerStored
                giver?.let { kill(it) }
            }
            SiteTrouble.LOST_MESSAGES, SiteTrouble.LATE_MESSAGES -> Unit
        }
    }

    private fun kill(gateway: SimulatedGateway) {
        gateway.share = null
        gateway.running.clear()
        gateway.startsAt = now + random.nextInt(200, 2_000).milliseconds
        if (gateway === giver) giver = null
    }

    private fun endRequests(gateway: SimulatedGateway) {
        if (gateway.share == null && now >= gateway.startsAt) {
            gateway.runs += 1
            gateway.share = GatewayShare(order, Incarnation(gateway.runs), BOUNDS, now, stored.takeIf { isStoreUp })
            // A gateway reads the store when it starts.
            outcome?.let { gateway.share?.decided(it) }
        }
        val ended = gateway.running.filter { it.endsAt <= now }
        gateway.running.removeAll(ended.toSet())
        ended.forEach {
            val replica = it.replica.takeIf { _ -> it.isOnTarget }
            if (it.answer.isBad) badAnswers += 1
            if (badAnswers == MANY_BAD && manyBadAt == null) manyBadAt = now
            gateway.share?.answered(it.answer.stratum, replica, it.answer.isFailure, it.answer.time)
        }
    }

    private fun sendRequests() {
        while (nextRequestAt <= now) {
            nextRequestAt += (-kotlin.math.ln(1 - random.nextDouble()) / requestsPerSecond).seconds
            val gateway = fleet.random(random)
            val share = gateway.share ?: continue
            val route = behavior.route()
            requests += 1
            share.requestCame(route)
            val isOnTarget = share.choose(route, now) == VersionChoice.TARGET
            check(share, isOnTarget)
            val replica = if (isOnTarget) {
                (if (share.phase == VersionPhase.Trial) trial else targets).random(
                    random
                )
            } else {
                old.random(random)
            }
            val answer = behavior.answer(route, replica, isOnTarget, (now - start) / order.duration)
            gateway.running += SimulatedRequest(now + answer.time, replica, isOnTarget, answer)
        }
    }

    private fun check(share: GatewayShare, isOnTarget: Boolean) {
        if (!isOnTarget) return
        if (share.phase == VersionPhase.Trial) {
            exposed += 1
            if (exposed > BOUNDS.allowed(requests)) violations += "$exposed of $requests requests sent to the target"
        }
        val foundAgo = manyBadAt.takeIf { troubles.isEmpty() && outcome != VersionPhase.Done }?.let { now - it }
        if (foundAgo != null && foundAgo > BOUNDS.stopTime) {
            violations += "a request to the target $foundAgo after its 50th bad answer"
        }
        val leftAgo = decidedAfter.takeIf { outcome is VersionPhase.RolledBack }?.let { now - start - it }
        val validity = if (share.phase == VersionPhase.Move) BOUNDS.moveValidity else BOUNDS.trialValidity
        if (leftAgo != null && leftAgo > validity) {
            violations += "a request to the target $leftAgo after it was rolled back"
        }
    }

    private fun report(gateway: SimulatedGateway) {
        val report = gateway.share?.report(gateway.runningOnOld, now) ?: return
        val receiver = giver ?: return
        if (canTalk(gateway, receiver)) post { if (giver === receiver) rollout?.reported(gateway.vm, report, now) }
    }

    private fun stepOrderGiver() {
        val holder = giver ?: fleet.filter { it.share != null && it.cutUntil <= now }.randomOrNull(random)?.also {
            giver = it
            giverFrom = now + 1500.milliseconds
            rollout = null
        }
        if (rollout == null && isStoreUp && now >= giverFrom) {
            rollout = VersionRollout(order, BOUNDS, ++token, stored, now)
        }
        val current = rollout ?: return
        outcome?.let { current.outcomeWritten(it) }
        current.step(now, MoveSituation(TARGETS, TARGETS, fleet.map { it.vm }.toSet()))
        if (isStoreUp) write(current)
        current.grants(now).forEach { (vm, grant) ->
            val gateway = fleet.first { it.vm == vm }
            if (holder != null && canTalk(gateway, holder)) post { gateway.share?.granted(grant, now) }
        }
    }

    private val isStoreUp get() = storeDownUntil <= now

    private fun write(current: VersionRollout) {
        val progress = current.progress(now)
        if (progress.ceiling != stored?.ceiling || progress.phase != stored?.phase) {
            if (random.nextInt(10) == 0) formerStored = stored
            stored = progress
            current.written(progress)
        }
        val phase = current.phase
        if (!phase.isFinal || outcome != null) return
        outcome = phase
        decidedAfter = now - start
        evidence = current.evidence
        current.outcomeWritten(phase)
        val left = fleet.filter { now - it.cutUntil > CUT_EFFECT }.sumOf { it.runningOnOld }
        if (phase == VersionPhase.Done && left > 0) violations += "$left requests on old replicas when they stopped"
    }

    companion object {
        val BOUNDS = ExposureBounds(share = 0.1, slack = 50, stopTime = 5.seconds)
        private const val TARGETS = 30
        private const val MANY_BAD = 50
        private val TICK = 10.milliseconds
        private const val REPORT_INTERVAL = 250L
        private val AFTERWARDS = 4.seconds

        /** A gateway that was cut off until then may not have been heard yet. */
        private val CUT_EFFECT = 1.seconds
    }
}
