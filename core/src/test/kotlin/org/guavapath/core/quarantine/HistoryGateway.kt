package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.FleetClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A request of a caller. */
internal class HistoryRequest(val number: Int, val suspects: Set<Suspect>, val cause: Suspect?) {
    val id = RequestId("request-$number")
    val kind: Set<Suspect> = suspects.filterTo(HashSet()) { it is PartKey }.ifEmpty { suspects }
    val name: String get() = (if (cause == null) "sound" else "deadly") + " $number of $kind"
}

/** A gateway with its view of the crashes. */
internal class HistoryGateway(val number: Int) {
    val quarantine = CrashQuarantine()

    /** The crashes by each cause that this gateway has heard of. */
    val heard = HashMap<Suspect, MutableSet<ReplicaIncarnation>>()

    /** What this gateway has sent, and has seen neither complete nor cut off. */
    val runs = LinkedHashSet<HistoryRun>()

    /** Since when all sound requests of a kind were refused. */
    val refusedSince = HashMap<Set<Suspect>, MonotonicTime>()
    var isStarted = true
    var isCutOff = false

    /** Adds [reports] as a gateway does at [now]. */
    fun add(reports: Collection<CrashReport>, now: MonotonicTime): List<CrashReport> {
        if (reports.all { quarantine[it] != null }) return quarantine.add(reports, now)
        val running = runs.filter { it.hasBegun(now) }
            .map { RunningRequest(it.incarnation, it.request.suspects, it.sentAt) }
        return quarantine.add(reports, now, running)
    }

    fun reaches(other: HistoryGateway) = this !== other && isStarted && other.isStarted && isCutOff == other.isCutOff
}

/** The gateways, which tell each other of crashes. */
internal class HistoryGateways(
    private val case: HistoryCase,
    private val clock: FleetClock,
    private val random: Random
) {
    val all = List(case.gateways) { HistoryGateway(it) }

    /** What ended each replica: a suspect, or null for another cause. */
    val causes = HashMap<ReplicaIncarnation, Suspect?>()

    fun any(): HistoryGateway = all.filter { it.isStarted }.random(random)

    fun start() {
        tick()
        if (all.size > 1) {
            when (case.isolation) {
                Isolation.NONE -> Unit
                Isolation.CUT_OFF -> {
                    val some = all.take(maxOf(1, all.size / 3))
                    clock.schedule(clock.now + 3.seconds) { some.forEach { it.isCutOff = true } }
                    clock.schedule(clock.now + 23.seconds) { heal(some) }
                }
                Isolation.STARTS_LATE -> startLate(all.last())
            }
        }
    }

    fun add(gateway: HistoryGateway, reports: Collection<CrashReport>) {
        hear(gateway, reports)
        tell(gateway, all, gateway.add(reports, clock.now))
    }

    fun answered(gateway: HistoryGateway, suspects: Set<Suspect>, sentAt: MonotonicTime) =
        tell(gateway, all, gateway.quarantine.answered(suspects, sentAt, clock.now))

    fun tell(from: HistoryGateway, to: List<HistoryGateway>, reports: Collection<CrashReport>) {
        if (reports.isEmpty()) return
        val told = reports.toList()
        to.filter { from.reaches(it) }.forEach { gateway ->
            val delay = random.nextInt(MAX_DELAY + 1).milliseconds
            clock.schedule(clock.now + delay) { receive(gateway, told, delay) }
        }
    }

    private fun receive(gateway: HistoryGateway, reports: List<CrashReport>, delay: Duration) {
        hear(gateway, reports)
        val late = if (case.hasAges) delay else Duration.ZERO
        val told = reports.map { it.copy(at = it.at + late, sentAt = it.sentAt + late) }
        gateway.add(told, clock.now)
    }

    private fun hear(gateway: HistoryGateway, reports: Collection<CrashReport>) = reports.forEach { report ->
        val cause = causes[report.incarnation]
        if (cause != null && cause in report.suspects) {
            gateway.heard.getOrPut(cause) { HashSet() }.add(report.incarnation)
        }
    }

    /** Each second, what is known is told to some others again. */
    private fun tick() {
        all.filter { it.isStarted }.forEach { gateway ->
            gateway.quarantine.expire(clock.now)
            tell(gateway, all.shuffled(random).take(REPEATS), gateway.quarantine.reports)
        }
        clock.schedule(clock.now + 1.seconds) { tick() }
    }

    private fun heal(some: List<HistoryGateway>) {
        some.forEach { it.isCutOff = false }
        some.forEach { cut ->
            tell(cut, all - some.toSet(), cut.quarantine.reports)
            (all - some.toSet()).forEach { tell(it, listOf(cut), it.quarantine.reports) }
        }
    }

    private fun startLate(gateway: HistoryGateway) {
        gateway.isStarted = false
        clock.schedule(clock.now + 8.seconds) {
            val known = any().quarantine.reports.toList()
            gateway.isStarted = true
            receive(gateway, known, Duration.ZERO)
        }
    }

    private companion object {
        const val MAX_DELAY = 500
        const val REPEATS = 2
    }
}
