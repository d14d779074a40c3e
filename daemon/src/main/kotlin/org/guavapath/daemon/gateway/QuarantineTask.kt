package org.guavapath.daemon.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.VmId
import org.guavapath.core.placement.ReplicaOutcome
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quarantine.QuarantineVerdict
import org.guavapath.core.quarantine.RequestKey
import org.guavapath.core.quarantine.Suspect
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reports the requests that replicas had when they ended, and keeps the other gateways informed of them.
 *
 * News is sent at once, and everything is repeated while it matters, so that gateways that have missed some receive it
 * too. A gateway that starts takes the reports from the store and from each gateway that it links with.
 */
internal class QuarantineTask(
    private val fleet: FleetState,
    private val peers: GatewayPeers,
    private val stored: StoredCrashReports,
    private val log: GatewayLog,
) {
    private val quarantine get() = fleet.quarantine
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val news = LinkedHashMap<Pair<ReplicaIncarnation, RequestId>, CrashReport>()
    private val givenUp = GivenUpAttempts()
    private var logged = emptySet<Set<Suspect>>()

    /** Called when further suspects are held. */
    var onHeld: () -> Unit = {}

    /** Reads the stored reports, and publishes reports when they have changed, and periodically. */
    suspend fun run(scope: CoroutineScope) {
        val addStored = { reports: List<CrashReport> ->
            add(reports)
            quarantine.reportsOfHeld
        }
        scope.launch { stored.load { addStored(it) } }
        scope.launch { stored.keepSaved(addStored) }
        scope.launch { stored.watchRestores { if (quarantine.held.isNotEmpty()) stored.save() } }
        scope.launch {
            while (true) {
                delay(EXPIRY_INTERVAL)
                quarantine.expire(MonotonicTime.now())
                logHolds()
            }
        }
        scope.launch {
            while (true) {
                delay(REPEAT_INTERVAL)
                if (quarantine.reports.isNotEmpty()) peers.broadcast(message(quarantine.reports))
            }
        }
        while (true) {
            wakeUp.receive()
            val reports = news.values.toList()
            news.clear()
            if (reports.isNotEmpty()) peers.broadcast(message(reports))
            delay(MIN_INTERVAL)
        }
    }

    /** Returns whether a request with [suspects] may be sent to a replica; if as a trial, it counts as sent. */
    fun admit(suspects: Set<Suspect>): QuarantineVerdict {
        val verdict = verdict(suspects)
        if (verdict == QuarantineVerdict.Trial) {
            changed(quarantine.trialStarted(suspects, MonotonicTime.now()))
            log.stateChange("quarantine on trial", *CrashReportCodec.describe(suspects))
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

    /** Records that this gateway gave up [attempt], which its replica may still run. */
    fun givenUp(attempt: GivenUpAttempt) = givenUp.add(attempt)

    /** Adds a report of this gateway; returns it as merged. */
    fun report(report: CrashReport): CrashReport {
        val merged = add(listOf(report)).firstOrNull { it.id == report.id } ?: report
        if (quarantine.held.isNotEmpty()) stored.save()
        return merged
    }

    /** Sends what is known here to [peer], which answers with what it knows. */
    fun linked(peer: VmId) = peers.send(peer, message(quarantine.reports, isGreeting = true))

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
        if (isGreeting && quarantine.reports.isNotEmpty()) peers.send(from, message(quarantine.reports))
    }

    private fun add(reports: List<CrashReport>): List<CrashReport> {
        val unknown = reports.filter { it !in quarantine }
        val changed = quarantine.add(reports, MonotonicTime.now())
        if (changed.isEmpty()) return changed
        // A crashed replica stays listed for a few seconds.
        unknown.mapNotNull { report ->
            fleet.replicas[report.incarnation.id]?.takeIf {
                isOf(
                    report,
                    it.entry.startedAt
                )
            }
        }
            .distinct()
            .forEach { it.health.observe(ReplicaOutcome.UNRESPONSIVE, MonotonicTime.now()) }
        changed(changed)
        val further = unknown.distinctBy { it.incarnation }.flatMap { givenUp.reportsOf(it.incarnation, it.at) }
        if (further.isNotEmpty()) add(further)
        return changed
    }

    private fun isOf(report: CrashReport, startedAt: Long) = report.incarnation.startedAt == startedAt

    private fun changed(reports: List<CrashReport>) {
        if (reports.isEmpty()) return
        reports.forEach { news[it.id] = it }
        wakeUp.trySend(Unit)
        logHolds()
    }

    private fun logHolds() {
        val current = quarantine.held
        val added = current - logged
        added.forEach {
            log.stateChange(
                "quarantine begun",
                *CrashReportCodec.describe(it),
                "crashes" to crashesOf(it)
            )
        }
        (logged - current).forEach { log.stateChange("quarantine ended", *CrashReportCodec.describe(it)) }
        logged = current
        if (added.isNotEmpty()) onHeld()
    }

    private fun crashesOf(held: Set<Suspect>) =
        (
            quarantine.verdict(
                held,
                MonotonicTime.now()
            ) as? QuarantineVerdict.Held
            )?.crashes?.map(CrashReportCodec::describe)

    private fun message(reports: Collection<CrashReport>, isGreeting: Boolean = false): PeerMessage.CrashReports {
        val now = MonotonicTime.now()
        return PeerMessage.CrashReports(reports.map { CrashReportCodec.encode(it, now) }, isGreeting)
    }

    private companion object {
        val MIN_INTERVAL = 10.milliseconds
        val EXPIRY_INTERVAL = 1.seconds
        val REPEAT_INTERVAL = 5.seconds
    }
}
