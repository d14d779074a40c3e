package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quarantine.FirstEventPauses
import org.guavapath.core.quarantine.RunningRequest
import org.guavapath.core.time.MonotonicTime

/** Finds out whether replicas whose connections close have crashed, and reports the requests that they had. */
internal class CrashExaminer(
    private val probes: ReplicaProbes,
    private val quarantine: QuarantineTask,
    private val telemetry: GatewayTelemetry,
) {
    private val pauses = HashMap<ServiceName, FirstEventPauses>()
    private val unconfirmed = LinkedHashMap<Attempt, EndedResponse>()

    /** Requests with responses without a length that have come to their end, but of whose replicas no more is known. */
    val unconfirmedAnswers: Collection<RunningRequest> get() = unconfirmed.values.map { it.request }

    /** A response without a length that has ended; a crash of its replica ends it too. */
    private class EndedResponse(val request: RunningRequest) {
        /** Whether the caller got it as a whole. */
        var isAnswer = false
    }

    /** Records that [attempt] was answered completely. */
    fun answered(attempt: Attempt, admitted: AdmittedRequest, isFramed: Boolean) {
        if (isFramed) recordAnswer(attempt, admitted) else unconfirmed[attempt]?.isAnswer = true
    }

    /**
     * Examines the replica of [attempt], which has ended its side of the connection and a response without a length
     * with it. The response counts as an answer only once it is known that its replica lives; whether it is whole shows
     * later.
     */
    fun ended(attempt: Attempt, admitted: AdmittedRequest) {
        val record = attempt.choice.record
        val cutOff = CutOffAttempt(attempt, MonotonicTime.now(), othersRunning = record.ownLoad.requests)
        val request = RunningRequest(record.entry.incarnation, admitted.suspects, attempt.startedAt)
        val response = EndedResponse(request)
        unconfirmed[attempt] = response
        probes.confirm(
            record.entry,
            onEnded = { report(cutOff, admitted) },
            onAlive = { if (response.isAnswer) recordAnswer(attempt, admitted) },
            onOver = { unconfirmed -= attempt },
        )
    }

    private fun recordAnswer(attempt: Attempt, admitted: AdmittedRequest) {
        quarantine.answered(admitted.suspects, attempt.startedAt)
        val headAt = attempt.progress.headAt
        val firstBytesAt = attempt.progress.firstBytesAt
        if (admitted.request.prompt == null || headAt == null || firstBytesAt == null) return
        pauses.getOrPut(admitted.service.name) { FirstEventPauses() }.record(firstBytesAt - headAt)
    }

    /**
     * Examines the replica of [attempt], whose connection has closed, and calls [then] once it has ended or seems to
     * have only broken off this response. An end that shows later is reported nevertheless.
     */
    fun examine(attempt: Attempt, admitted: AdmittedRequest, then: () -> Unit) {
        val now = MonotonicTime.now()
        val record = attempt.choice.record
        val cutOff = CutOffAttempt(attempt, now, othersRunning = record.ownLoad.requests)
        val isNearlyHeld = quarantine.crashesInARow(setOf(admitted.key)) > 1
        val settlingTime = if (isNearlyHeld) ReplicaProbes.WATCH_TIME else ReplicaProbes.SETTLING_TIME
        probes.examine(record.entry, onEnded = { report(cutOff, admitted) }, onSettled = then, settlingTime) {
            telemetry.outlived(admitted, cutOff, it)
        }
    }

    /**
     * Remembers [attempt], which the gateway gives up: its replica may go on with it, or has ended and the connection
     * is about to close. The replica is watched if replicas have crashed with such requests.
     */
    fun givenUp(attempt: Attempt, admitted: AdmittedRequest) {
        val now = MonotonicTime.now()
        val replica = attempt.choice.record.entry
        quarantine.givenUp.add(
            GivenUpAttempt(replica.incarnation, admitted.request.id, admitted.suspects, attempt.startedAt, now),
        )
        if (quarantine.crashesInARow(admitted.suspects) == 0) return
        probes.watch(replica) { quarantine.report(reportOf(attempt, admitted, now)) }
    }

    private fun report(cutOff: CutOffAttempt, admitted: AdmittedRequest) {
        val merged = quarantine.report(reportOf(cutOff.attempt, admitted, cutOff.at))
        telemetry.cutOff(admitted, cutOff, merged)
    }

    private fun reportOf(attempt: Attempt, admitted: AdmittedRequest, at: MonotonicTime): CrashReport {
        val incarnation = attempt.choice.record.entry.incarnation
        val isStalled = isStalled(attempt, admitted, at)
        return CrashReport(incarnation, admitted.request.id, attempt.startedAt, at, admitted.suspects, isStalled)
    }

    private fun isStalled(attempt: Attempt, admitted: AdmittedRequest, at: MonotonicTime): Boolean {
        val headAt = attempt.progress.headAt ?: return false
        return attempt.progress.firstBytesAt == null && pauses[admitted.service.name]?.isOverdue(at - headAt) ?: false
    }
}
