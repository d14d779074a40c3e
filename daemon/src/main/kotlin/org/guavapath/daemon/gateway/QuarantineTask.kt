package org.guavapath.daemon.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.placement.ReplicaOutcome
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quarantine.QuarantineVerdict
import org.guavapath.core.quarantine.RequestKey
import org.guavapath.core.quarantine.RunningRequest
import org.guavapath.core.quarantine.Suspect
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.keepRunning
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reports the requests that replicas had when they ended, and keeps requests with their causes away from replicas.
 *
 * A gateway that starts takes the reports from the store and from each gateway that it links with.
 */
internal class QuarantineTask(
    private val fleet: FleetState,
    peers: GatewayPeers,
    private val stored: StoredCrashReports,
    log: GatewayLog,
) {
    private val quarantine get() = fleet.quarantine
    private val holdLog = HoldLog(quarantine, log)

    /** The attempts that this gateway has given up, which their replicas may still run. */
    val givenUp = GivenUpAttempts()

    /** Informs the other gateways. */
    val exchange = CrashReportExchange(quarantine, peers)

    /** Called when further suspects are held. */
    var onHeld: () -> Unit = {}

    /** Returns the requests whose responses have begun and go on. */
    var running: () -> List<RunningRequest> = { emptyList() }

    /** Reads the stored reports, publishes reports and forgets old ones. */
    fun run(scope: CoroutineScope) {
        val addStored = { reports: List<CrashReport> ->
            add(reports.map { it.withTimesOf(quarantine[it]) })
            quarantine.reportsOfHeld
        }
        scope.launch { stored.load { addStored(it) } }
        scope.keepRunning("saved crash reports") { stored.keepSaved(addStored) }
        scope.keepRunning("restored crash reports") {
            stored.watchRestores { if (quarantine.held.isNotEmpty()) stored.save() }
        }
        exchange.run(scope)
        scope.keepRunning("quarantine") {
            while (true) {
                delay(EXPIRY_INTERVAL)
                quarantine.expire(MonotonicTime.now())
                if (holdLog.update()) onHeld()
            }
        }
    }

    /** Returns whether a request with [suspects] may be sent to a replica; if as a trial, it counts as sent. */
    fun admit(suspects: Set<Suspect>): QuarantineVerdict {
        val verdict = verdict(suspects)
        if (verdict == QuarantineVerdict.Trial) {
            changed(quarantine.trialStarted(suspects, MonotonicTime.now()))
            holdLog.trial(suspects)
        }
        return verdict
    }

    /** Returns whether a request with [suspects] may be sent to a replica. */
    fun verdict(suspects: Set<Suspect>): QuarantineVerdict =
        if (quarantine.reports.isEmpty()) {
            QuarantineVerdict.Allowed
        } else {
            quarantine.verdict(suspects, MonotonicTime.now())
        }

    /** Returns how many times in a row replicas have crashed with one of [suspects]. */
    fun crashesInARow(suspects: Set<Suspect>): Int = quarantine.crashesInARow(suspects)

    /** Records that a request with [suspects] that was sent at [sentAt] was answered completely. */
    fun answered(suspects: Set<Suspect>, sentAt: MonotonicTime) =
        changed(quarantine.answered(suspects, sentAt, MonotonicTime.now()))

    /** Reports the attempts that were given up on [incarnation], which has ended although nothing was cut off. */
    fun replicaLost(incarnation: ReplicaIncarnation) {
        add(givenUp.reportsOf(incarnation, MonotonicTime.now()))
    }

    /** Adds a report of this gateway; returns it as merged. */
    fun report(report: CrashReport): CrashReport {
        val merged = add(listOf(report)).firstOrNull { it.id == report.id } ?: report
        if (quarantine.held.isNotEmpty()) stored.save()
        return merged
    }

    /** Applies the reports of [from]. */
    fun received(from: VmId, message: PeerMessage.OfCrashes) {
        val now = MonotonicTime.now()
        val isGreeting = when (message) {
            is PeerMessage.CrashReports -> {
                add(message.reports.map { CrashReportCodec.decode(it, now) })
                message.isGreeting
            }
            is PeerMessage.PromptCrashes -> {
                add(message.reports.map { CrashReportCodec.decode(it, now) })
                message.isGreeting
            }
            is PeerMessage.RequestCrashes -> {
                add(message.crashes.map { CrashReportCodec.decode(it, now) })
                message.answeredAgo.forEach { (key, ago) ->
                    changed(quarantine.answered(setOf(RequestKey(key)), now + (-ago).milliseconds, now))
                }
                message.isGreeting
            }
        }
        if (isGreeting) exchange.greeted(from)
    }

    private fun add(reports: List<CrashReport>): List<CrashReport> {
        val unknown = reports.filter { quarantine[it] == null }
        val running = if (unknown.isEmpty()) emptyList() else running()
        val changed = quarantine.add(reports, MonotonicTime.now(), running)
        if (changed.isEmpty()) return changed
        val crashed = unknown.distinctBy { it.incarnation }
        // A crashed replica stays listed for a few seconds.
        crashed.mapNotNull { fleet.replicas[it.incarnation.id] }
            .filter { replica -> crashed.any { it.incarnation == replica.entry.incarnation } }
            .forEach { it.health.observe(ReplicaOutcome.UNRESPONSIVE, MonotonicTime.now()) }
        changed(changed)
        val further = crashed.flatMap { givenUp.reportsOf(it.incarnation, it.at) }
        if (further.isNotEmpty()) add(further)
        return changed
    }

    private fun changed(reports: List<CrashReport>) {
        if (reports.isEmpty()) return
        exchange.publish(reports)
        if (holdLog.update()) onHeld()
    }

    private companion object {
        val EXPIRY_INTERVAL = 1.seconds
    }
}
