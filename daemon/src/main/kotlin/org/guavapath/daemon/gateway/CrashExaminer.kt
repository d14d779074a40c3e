package org.guavapath.daemon.gateway

import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quarantine.CrashStage
import org.guavapath.core.quarantine.PartKey
import org.guavapath.core.time.MonotonicTime

/** Finds out whether replicas whose connections close have crashed, and reports those that prompts may have caused. */
internal class CrashExaminer(
    private val pool: ReplicaPool,
    private val quarantine: QuarantineTask,
    private val requests: RequestQuarantineTask,
    private val telemetry: GatewayTelemetry,
) {
    private val log get() = telemetry.log

    /**
     * Examines the replica of [attempt], whose connection has closed, and then calls [then].
     *
     * A replica that accepts a new connection has only broken off this response.
     */
    fun examine(attempt: Attempt, admitted: AdmittedRequest, then: () -> Unit) {
        val now = MonotonicTime.now()
        val progress = attempt.progress
        val prompt = admitted.request.prompt
        val stage = CrashStage.of(progress.headAt?.let { now - it }, hasBody = progress.firstBytesAt != null)
        val replica = attempt.choice.record.entry
        val cutOff = CutOffAttempt(attempt, now, othersRunning = attempt.choice.record.ownLoad.requests)
        pool.isRefusingConnections(replica) { isGone ->
            if (isGone) {
                requests.crashed(admitted.key, replica.incarnation, admitted.request.id, now, attempt.depth)
            }
            if (isGone && prompt != null && stage != null) {
                val parts = PartKey.sharedPartsOf(prompt)
                log.stateChange(
                    "replica crashed",
                    "replica" to replica.id.text,
                    "causeId" to admitted.request.id.text,
                    "stage" to stage.name,
                    "sharedParts" to prompt.parts.dropLast(1).map { it.id },
                    "partKeys" to parts.map(PartKey::toString),
                )
                val id = admitted.request.id
                quarantine.report(CrashReport(replica.id, replica.startedAt, id, now, stage, parts))
            }
            then()
            if (isGone) telemetry.cutOff(admitted, cutOff)
        }
    }
}
