package org.guavapath.core.quarantine

import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.FleetClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Plays a history of gateways, replicas and callers in virtual time, as the case and the seed say. */
internal class HistoryPlay(private val case: HistoryCase, seed: Int, trace: ((MonotonicTime, String) -> Unit)? = null) {
    private val clock = FleetClock()
    private val random = Random(seed)
    private val beginnings = Random(seed)
    private val requests = HistoryRequests(case, random)
    private val gateways = HistoryGateways(case, clock, random)
    private val replicas = HistoryReplicas(case, clock, random) { crash(it, null) }
    private val record = HistoryRecord(case, clock, trace)

    fun run(): HistoryRecord {
        val startOfSound = clock.now + if (case.isFirst) 1.milliseconds else 0.milliseconds
        repeat(case.others * case.replicas) { slot ->
            clock.schedule(startOfSound + (slot % 50).milliseconds) { sendSound() }
        }
        val first = clock.now + if (case.isFirst || case.soundFor.isPositive()) 0.seconds else 3.seconds
        repeat(case.deadlyCallers) { caller -> clock.schedule(first + 30.milliseconds * caller) { sendDeadly() } }
        gateways.start()
        replicas.start()
        clock.runUntil(clock.now + case.duration)
        return record
    }

    private fun sendSound(): Unit = send(
        HistoryAttempt(requests.sound(), gateways.any()) { isServed ->
            clock.schedule(clock.now + (if (isServed) 0 else random.nextInt(200, 1_000)).milliseconds) { sendSound() }
        },
    )

    private fun sendDeadly(): Unit = send(
        HistoryAttempt(requests.deadly(), gateways.any()) {
            clock.schedule(clock.now + requests.pause()) { sendDeadly() }
        },
    )

    /** Sends the request of [attempt] if its gateway allows that, as soon as a replica is up. */
    private fun send(attempt: HistoryAttempt) {
        val replica = replicas.any()
        if (replica == null) {
            clock.schedule(clock.now + 100.milliseconds) { send(attempt) }
            return
        }
        val (request, gateway) = attempt
        val verdict = gateway.quarantine.verdict(request.suspects, clock.now)
        record.decided(request, gateway, verdict)
        if (verdict is QuarantineVerdict.Held) return attempt.end(false)
        if (verdict == QuarantineVerdict.Trial) {
            gateways.tell(gateway, gateways.all, gateway.quarantine.trialStarted(request.suspects, clock.now))
        }
        val isTrial = verdict == QuarantineVerdict.Trial
        val isDeadly = requests.isDeadly(request, clock.now)
        val toEnd = if (isDeadly) requests.timeToCrash() else requests.time()
        val toBegin = if (isDeadly && !case.hasBegun) Duration.INFINITE else toEnd * beginnings.nextDouble()
        val times = HistoryTimes(clock.now, toEnd, toBegin)
        run(replica, HistoryRun(attempt, replica.incarnation, times, isTrial, isDeadly))
    }

    private fun run(replica: HistoryReplica, run: HistoryRun) {
        replica.runs.add(run)
        run.attempt.gateway.runs.add(run)
        clock.schedule(clock.now + run.times.toEnd) {
            when {
                !replica.runs.contains(run) -> Unit
                run.isDeadly -> crash(replica, run)
                else -> answer(replica, run)
            }
        }
    }

    private fun answer(replica: HistoryReplica, run: HistoryRun) {
        replica.runs.remove(run)
        run.attempt.gateway.runs.remove(run)
        gateways.answered(run.attempt.gateway, run.request.suspects, run.sentAt)
        run.attempt.end(true)
    }

    /** Ends [replica] by [by], or without a cause. */
    private fun crash(replica: HistoryReplica, by: HistoryRun?) {
        val lost = replica.runs.toList()
        replica.runs.clear()
        replica.isUp = false
        gateways.causes[replica.incarnation] = by?.request?.cause
        record.crashed(replica, by, lost)
        lost.groupBy { it.attempt.gateway }.forEach { (gateway, runs) -> notice(gateway, runs) }
        clock.schedule(clock.now + random.nextInt(500, 3_000).milliseconds) { replica.restart(clock.now) }
    }

    private fun notice(gateway: HistoryGateway, runs: List<HistoryRun>) {
        val at = clock.now + random.nextInt(5).milliseconds
        val reports = runs.map {
            val isStalled = it.isDeadly && requests.isStalled()
            CrashReport(it.incarnation, it.request.id, it.sentAt, at, it.request.suspects, isStalled)
        }
        clock.schedule(clock.now + random.nextInt(10, 61).milliseconds) {
            gateway.runs.removeAll(runs.toSet())
            gateways.add(gateway, reports)
            runs.map { it.attempt }.forEach { if (it.isRepeated) it.end(false) else send(it.copy(isRepeated = true)) }
        }
    }
}
