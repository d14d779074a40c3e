package org.guavapath.core.versions

import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What the order-giver knows of one run of a gateway. */
internal class GatewayRun(val vm: VmId, private val token: Long, report: VersionReport, now: MonotonicTime) {
    val incarnation: Incarnation = report.incarnation

    /** Its newest report. */
    var report = report
        private set

    /** When its newest report was received. */
    var heardAt = now
        private set

    /** Requests granted under this order-giver's token. */
    val granted = HashMap<RouteName, Long>()

    /** When a grant was sent, and before which time the report that it answers was not sent. */
    private class SentGrant(val at: MonotonicTime, val answersNotBefore: MonotonicTime)

    private val sentGrants = LinkedHashMap<Long, SentGrant>()

    fun reported(newer: VersionReport, now: MonotonicTime) {
        if (newer.number <= report.number) return
        report = newer
        heardAt = now
    }

    /** Records that the grant [number] is sent at [now], in answer to the newest report. */
    fun granting(number: Long, now: MonotonicTime) {
        val reportNotBefore = heardGrant?.at ?: MonotonicTime.ZERO
        sentGrants[number] = SentGrant(now, reportNotBefore)
        sentGrants.keys.removeIf { it < number - MAX_SENT_GRANTS }
    }

    /** Whether the run has no requests on old replicas and sends none there for a while, whatever messages took. */
    fun hasMoved(now: MonotonicTime, moveValidity: Duration): Boolean {
        val restsOnReportSentAt = heardGrant?.answersNotBefore ?: return false
        return report.phase == VersionPhase.Move && report.runningOnOld == 0 &&
            now - restsOnReportSentAt <= moveValidity - OUTCOME_TIME
    }

    private val heardGrant get() = if (report.token == token) sentGrants[report.heard] else null

    /** Grants for [route] that the run may still use, as far as is known. */
    fun held(route: RouteName): Long {
        val isOfToken = report.token == token
        val used = if (isOfToken) (report.sent[route] ?: 0) + (report.returned[route] ?: 0) else 0
        return maxOf(0, (granted[route] ?: 0) - used)
    }

    /** Granted requests that were or may be sent; what was returned never will be. */
    fun spent(): Long {
        val returned = if (report.token == token) report.returned.values.sum() else 0
        return granted.values.sum() - returned
    }

    /** Requests of [route] that come in a second. */
    fun rate(route: RouteName): Double =
        (report.requests[route] ?: 0) / maxOf(1.0, report.age.toDouble(DurationUnit.SECONDS))

    private companion object {
        const val MAX_SENT_GRANTS = 64

        /** Time in which an outcome is written; no gateway goes back to old replicas before. */
        val OUTCOME_TIME = 1.seconds
    }
}

/** What the order-giver knows of all gateways. Former runs of a gateway count on, as what they sent was sent. */
internal class GatewayRuns(private val token: Long, private val bounds: ExposureBounds) {
    private val runs = HashMap<Pair<VmId, Incarnation>, GatewayRun>()

    private var knownAnswers: AnswerCounts? = null

    val all: Collection<GatewayRun> get() = runs.values

    /** The newest run of each gateway. */
    val newest: Map<VmId, GatewayRun>
        get() = runs.values.groupBy { it.vm }.mapValues { (_, ofVm) -> ofVm.maxBy { it.incarnation } }

    fun reported(from: VmId, report: VersionReport, now: MonotonicTime) {
        knownAnswers = null
        runs.getOrPut(from to report.incarnation) { GatewayRun(from, token, report, now) }.reported(report, now)
    }

    /** Requests of the service that are known to have come. */
    val requests: Long get() = runs.values.sumOf { it.report.requests.values.sum() }

    val answers: AnswerCounts
        get() = knownAnswers ?: sumOf(runs.values.map { it.report.answers }).also { knownAnswers = it }

    /** Whether any request is known to have been sent to the target. */
    val hasSent: Boolean get() = runs.values.any { it.report.sent.values.sum() > 0 }

    /**
     * Whether none of the [gateways] has requests on old replicas, or sends any there. After the limit, silent ones are
     * not waited for, unless they are so many that this gateway may be the one that is cut off.
     */
    fun areMoved(now: MonotonicTime, gateways: Set<VmId>, isOver: Boolean): Boolean {
        val known = newest
        val left = gateways.filter { known[it]?.hasMoved(now, bounds.moveValidity) != true }
        val silent = left.count { vm -> known[vm].let { it == null || now - it.heardAt > SILENCE } }
        return left.isEmpty() || (isOver && silent == left.size && 2 * silent < gateways.size)
    }

    private companion object {
        /** After the limit, a gateway that was not heard for longer is not waited for. */
        val SILENCE = 5.seconds
    }
}
