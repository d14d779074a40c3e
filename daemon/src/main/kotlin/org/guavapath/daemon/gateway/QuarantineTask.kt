package org.guavapath.daemon.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavapath.core.fleet.PromptShape
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.placement.ReplicaOutcome
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quarantine.CrashStage
import org.guavapath.core.quarantine.PartKey
import org.guavapath.core.quarantine.QuarantineVerdict
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reports crashes that prompts may have caused and keeps the other gateways informed of them.
 *
 * Reports are repeated while they matter, so that gateways that restart or were cut off receive them too.
 */
internal class QuarantineTask(
    private val fleet: FleetState,
    private val pool: ReplicaPool,
    private val log: GatewayLog,
) {
    private val quarantine get() = fleet.quarantine
    private val updates = Channel<Unit>(Channel.CONFLATED)
    private var logged = emptySet<Set<PartKey>>()

    /** Called when further parts are quarantined. */
    var onQuarantined: () -> Unit = {}

    /** Publishes the reports with [broadcast] when they have changed, and periodically. */
    suspend fun run(scope: CoroutineScope, broadcast: (PeerMessage) -> Unit) {
        scope.launch {
            while (true) {
                delay(REPEAT_INTERVAL)
                quarantine.expire(MonotonicTime.now())
                changed()
            }
        }
        while (true) {
            updates.receive()
            if (quarantine.reports.isNotEmpty()) broadcast(message())
            delay(MIN_INTERVAL)
        }
    }

    /** Returns whether a request with [prompt] may be sent to a replica; if as a trial, it counts as sent. */
    fun admit(prompt: PromptShape): QuarantineVerdict {
        if (quarantine.reports.isEmpty()) return QuarantineVerdict.Allowed
        val now = MonotonicTime.now()
        val parts = PartKey.sharedPartsOf(prompt)
        val verdict = quarantine.verdict(parts, now)
        if (verdict == QuarantineVerdict.Trial) {
            quarantine.trialStarted(parts, now)
            log.stateChange("quarantine on trial", "parts" to parts.map(PartKey::toString))
            changed()
        }
        return verdict
    }

    /** Returns whether a request with [prompt] that was sent already would not be sent any more. */
    fun isQuarantined(prompt: PromptShape): Boolean =
        quarantine.verdict(PartKey.sharedPartsOf(prompt), MonotonicTime.now()) is QuarantineVerdict.Quarantined

    /** Records that [prompt] was answered completely. */
    fun answered(prompt: PromptShape) {
        if (quarantine.answered(PartKey.sharedPartsOf(prompt), MonotonicTime.now())) changed()
    }

    /**
     * Finds out whether the replica of [attempt], whose connection has closed, has crashed on [admitted]'s prompt, and
     * then calls [then].
     */
    fun examine(attempt: Attempt, admitted: AdmittedRequest, then: () -> Unit) {
        val now = MonotonicTime.now()
        val progress = attempt.progress
        val prompt = admitted.request.prompt
        val stage = CrashStage.of(progress.headAt?.let { now - it }, hasBody = progress.firstBytesAt != null)
        if (prompt == null || stage == null) return then()
        val replica = attempt.choice.record.entry
        pool.isRefusingConnections(replica) { isGone ->
            if (isGone) {
                val parts = PartKey.sharedPartsOf(prompt)
                val report = CrashReport(replica.id, replica.startedAt, admitted.request.id, now, stage, parts)
                log.stateChange(
                    "replica crashed",
                    "replica" to replica.id.text,
                    "causeId" to admitted.request.id.text,
                    "stage" to stage.name,
                    "sharedParts" to prompt.parts.dropLast(1).map { it.id },
                    "partKeys" to parts.map(PartKey::toString),
                )
                add(listOf(report))
            }
            then()
        }
    }

    /** Applies the reports of another gateway. */
    fun received(message: PeerMessage.PromptCrashes) {
        val now = MonotonicTime.now()
        add(message.reports.map { it.decode(now) })
    }

    private fun add(reports: List<CrashReport>) {
        val unknown = reports.filter { it !in quarantine }
        if (!quarantine.add(reports, MonotonicTime.now())) return
        unknown.forEach { avoid(it) }
        changed()
    }

    /** Avoids the crashed replica, which stays listed for a few seconds. */
    private fun avoid(report: CrashReport) {
        val record = fleet.replicas[report.replica]?.takeIf { it.entry.startedAt == report.startedAt } ?: return
        record.health.observe(ReplicaOutcome.UNRESPONSIVE, MonotonicTime.now())
    }

    private fun changed() {
        val current = quarantine.quarantined
        val added = current - logged
        added.forEach { log.stateChange("quarantine begun", "parts" to it.map(PartKey::toString)) }
        (logged - current).forEach { log.stateChange("quarantine ended", "parts" to it.map(PartKey::toString)) }
        logged = current
        if (added.isNotEmpty()) onQuarantined()
        updates.trySend(Unit)
    }

    private fun message(): PeerMessage.PromptCrashes {
        val now = MonotonicTime.now()
        return PeerMessage.PromptCrashes(quarantine.reports.map { it.encode(now) })
    }

    private companion object {
        val MIN_INTERVAL = 10.milliseconds
        val REPEAT_INTERVAL = 1.seconds
    }
}

private fun CrashReport.encode(now: MonotonicTime) = PeerMessage.SharedCrash(
    replica.text,
    startedAt,
    request,
    (now - at).inWholeMilliseconds,
    stage,
    parts.map { it.bits },
    answeredBefore.map { it.bits },
    answeredSince.map { it.bits },
    trials,
)

private fun PeerMessage.SharedCrash.decode(now: MonotonicTime) = CrashReport(
    ReplicaId(replica),
    startedAt,
    request,
    now + (-ageMilliseconds).milliseconds,
    stage,
    parts.keys(),
    answeredBefore.keys(),
    answeredSince.keys(),
    trials,
)

private fun List<Long>.keys() = map { PartKey(it) }.toSet()
