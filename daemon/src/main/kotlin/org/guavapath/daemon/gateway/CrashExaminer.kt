package org.guavapath.daemon.gateway

import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quarantine.CrashStage
import org.guavapath.core.quarantine.PartKey
import org.guavapath.core.quarantine.RequestQuarantine
import org.guavapath.core.time.MonotonicTime

/** Finds out whether replicas whose connections close have crashed, and reports those that prompts may have caused. */
internal class CrashExaminer(
    private val probes: ReplicaProbes,
    private val quarantine: QuarantineTask,
    private val requests: RequestQuarantineTask,
    private val telemetry: GatewayTelemetry,
) {
    private val log get() = telemetry.log

    /**
     * Examines the replica of [attempt], whose connection has closed, and calls [then] once it has ended or seems to
     * have only broken off this response. An end that shows later is reported nevertheless.
     */
    fun examine(attempt: Attempt, admitted: AdmittedRequest, then: () -> Unit) {
        val now = MonotonicTime.now()
        val record = attempt.choice.record
        val cutOff = CutOffAttempt(attempt, now, othersRunning = record.ownLoad.requests)
        val isNearlyHeld = requests.crashesInARow(admitted.key) == RequestQuarantine.SUFFICIENT_DEPTH - 1
        val settlingTime = if (isNearlyHeld) ReplicaProbes.WATCH_TIME else ReplicaProbes.SETTLING_TIME
        probes.examine(record.entry, onEnded = { report(cutOff, admitted) }, onSettled = then, settlingTime) {
            telemetry.outlived(admitted, cutOff, it)
        }
    }

    /**
     * Watches the replica of [attempt], which the gateway gives up, if replicas have crashed with such requests: it may
     * go on with the request, or has ended and the connection is about to close.
     */
    fun givenUp(attempt: Attempt, admitted: AdmittedRequest) {
        val isSuspect = requests.crashesInARow(admitted.key) > 0 ||
            admitted.request.prompt?.let { quarantine.isQuarantined(it) } ?: false
        if (!isSuspect) return
        val replica = attempt.choice.record.entry
        val onEnded = { recordCrash(attempt, admitted, MonotonicTime.now()) }
        probes.watch(replica, onEnded)
    }

    /**
     * Records that [attempt] was answered completely. A response without a length is ended by a crash too, and counts
     * as an answer only once it is known that its replica lives.
     */
    fun answered(attempt: Attempt, admitted: AdmittedRequest, isFramed: Boolean) {
        val now = MonotonicTime.now()
        if (isFramed) return recordAnswer(admitted, now)
        val record = attempt.choice.record
        val cutOff = CutOffAttempt(attempt, now, othersRunning = record.ownLoad.requests)
        probes.confirm(record.entry, onEnded = { report(cutOff, admitted) }, onAlive = { recordAnswer(admitted, now) })
    }

    private fun recordAnswer(admitted: AdmittedRequest, at: MonotonicTime) {
        requests.answered(admitted.key, at)
        admitted.request.prompt?.let { quarantine.answered(it, at) }
    }

    private fun recordCrash(attempt: Attempt, admitted: AdmittedRequest, at: MonotonicTime) {
        val incarnation = attempt.choice.record.entry.incarnation
        requests.crashed(admitted.key, incarnation, admitted.request.id, attempt.startedAt, at)
    }

    private fun report(cutOff: CutOffAttempt, admitted: AdmittedRequest) {
        val attempt = cutOff.attempt
        val replica = attempt.choice.record.entry
        val id = admitted.request.id
        recordCrash(attempt, admitted, cutOff.at)
        val progress = attempt.progress
        val prompt = admitted.request.prompt
        val stage = CrashStage.of(progress.headAt?.let { cutOff.at - it }, hasBody = progress.firstBytesAt != null)
        if (prompt != null && stage != null) {
            val parts = PartKey.sharedPartsOf(prompt)
            log.stateChange(
                "replica crashed",
                "replica" to replica.id.text,
                "causeId" to id.text,
                "stage" to stage.name,
                "sharedParts" to prompt.parts.dropLast(1).map { it.id },
                "partKeys" to parts.map(PartKey::toString),
            )
            quarantine.report(CrashReport(replica.id, replica.startedAt, id, cutOff.at, stage, parts))
        }
        telemetry.cutOff(admitted, cutOff)
    }
}
