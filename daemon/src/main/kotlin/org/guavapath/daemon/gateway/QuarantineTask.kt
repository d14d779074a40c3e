package org.guavapath.daemon.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavapath.core.fleet.PromptShape
import org.guavapath.core.identity.VmId
import org.guavapath.core.placement.ReplicaOutcome
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quarantine.PartKey
import org.guavapath.core.quarantine.QuarantineVerdict
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reports crashes that prompts may have caused and keeps the other gateways informed of them.
 *
 * Reports are repeated while they matter, so that gateways that were cut off receive them too. A gateway that starts
 * takes them from the store and from each gateway that it links with.
 */
internal class QuarantineTask(
    private val fleet: FleetState,
    private val peers: GatewayPeers,
    private val stored: StoredCrashReports,
    private val log: GatewayLog,
) {
    private val quarantine get() = fleet.quarantine
    private val updates = Channel<Unit>(Channel.CONFLATED)
    private var logged = emptySet<Set<PartKey>>()

    /** Called when further parts are quarantined. */
    var onQuarantined: () -> Unit = {}

    /** Reads the stored reports, and publishes reports when they have changed, and periodically. */
    suspend fun run(scope: CoroutineScope) {
        val addStored = { reports: List<CrashReport> ->
            add(reports)
            quarantine.reports
        }
        scope.launch { stored.load { addStored(it) } }
        scope.launch { stored.keepSaved(addStored) }
        scope.launch { stored.watchRestores { if (quarantine.quarantined.isNotEmpty()) stored.save() } }
        scope.launch {
            while (true) {
                delay(REPEAT_INTERVAL)
                quarantine.expire(MonotonicTime.now())
                changed()
            }
        }
        while (true) {
            updates.receive()
            if (quarantine.reports.isNotEmpty()) peers.broadcast(message(isGreeting = false))
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
    fun isQuarantined(prompt: PromptShape): Boolean = quarantine.reports.isNotEmpty() &&
        quarantine.verdict(PartKey.sharedPartsOf(prompt), MonotonicTime.now()) is QuarantineVerdict.Quarantined

    /** Records that [prompt] was answered completely [at] a time that may have passed. */
    fun answered(prompt: PromptShape, at: MonotonicTime) {
        if (quarantine.answered(PartKey.sharedPartsOf(prompt), at)) changed()
    }

    /** Adds a report of this gateway. */
    fun report(report: CrashReport) {
        add(listOf(report))
        if (quarantine.quarantined.isNotEmpty()) stored.save()
    }

    /** Sends what is known here to [peer], which answers with what it knows. */
    fun linked(peer: VmId) = peers.send(peer, message(isGreeting = true))

    /** Applies the reports of [from]. */
    fun received(from: VmId, message: PeerMessage.PromptCrashes) {
        val now = MonotonicTime.now()
        add(message.reports.map { CrashReportCodec.decode(it, now) })
        if (message.isGreeting && quarantine.reports.isNotEmpty()) peers.send(from, message(isGreeting = false))
    }

    private fun add(reports: List<CrashReport>) {
        val unknown = reports.filter { it !in quarantine }
        if (!quarantine.add(reports, MonotonicTime.now())) return
        // A crashed replica stays listed for a few seconds.
        unknown.mapNotNull { crash -> fleet.replicas[crash.replica]?.takeIf { it.entry.startedAt == crash.startedAt } }
            .forEach { it.health.observe(ReplicaOutcome.UNRESPONSIVE, MonotonicTime.now()) }
        changed()
    }

    /** Logs and publishes what has changed in the fleet's quarantine. */
    fun changed() {
        val current = quarantine.quarantined
        val added = current - logged
        added.forEach { log.stateChange("quarantine begun", "parts" to it.map(PartKey::toString)) }
        (logged - current).forEach { log.stateChange("quarantine ended", "parts" to it.map(PartKey::toString)) }
        logged = current
        if (added.isNotEmpty()) onQuarantined()
        updates.trySend(Unit)
    }

    private fun message(isGreeting: Boolean): PeerMessage.PromptCrashes {
        val now = MonotonicTime.now()
        return PeerMessage.PromptCrashes(quarantine.reports.map { CrashReportCodec.encode(it, now) }, isGreeting)
    }

    private companion object {
        val MIN_INTERVAL = 10.milliseconds
        val REPEAT_INTERVAL = 1.seconds
    }
}
