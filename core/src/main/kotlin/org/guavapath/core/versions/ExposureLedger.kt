package org.guavapath.core.versions

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Grants requests to gateways, within the bounds and within the ceiling that the store keeps.
 *
 * What former order-givers may have granted counts as spent.
 *
 * @param runs what is known of the gateways
 */
internal class ExposureLedger(
    private val bounds: ExposureBounds,
    private val token: Long,
    private val runs: GatewayRuns,
    progress: VersionProgress?,
) {
    private class Granted(val at: MonotonicTime, val expectedUse: Double)

    private val recentGrants = ArrayDeque<Granted>()
    private val carriedRequests = progress?.requests ?: 0
    private var carriedCeiling = progress?.ceiling ?: 0
    private var writtenCeiling = 0L

    /** How many requests all gateways together may have been granted. */
    val ceiling: Long get() = maxOf(writtenCeiling, carriedCeiling)

    /** Requests of the service that are known to have come. */
    val requests: Long get() = maxOf(carriedRequests, runs.requests)

    /** Requests that may have been sent to the target. */
    val spent: Long get() = carriedCeiling + runs.all.sumOf { it.spent() }

    /** Requests that the target may have got by now. */
    val allowed: Long get() = bounds.allowed(requests)

    /** Takes into account which ceiling a gateway has heard of from former order-givers. */
    fun reported(report: VersionReport) {
        val former = if (report.token < token) maxOf(report.ceiling, report.formerCeiling) else report.formerCeiling
        // A store that returned from an older copy has a lower ceiling than the one that was granted from.
        carriedCeiling = maxOf(carriedCeiling, former)
    }

    /** Records the ceiling that the store keeps. */
    fun written(ceiling: Long) {
        writtenCeiling = ceiling
    }

    /** Returns the ceiling to write at [now] so that there are grants until the next is written. */
    fun wantedCeiling(now: MonotonicTime): Long {
        val reserve = maxOf(FIRST_WINDOW.toLong(), window(now).toLong() * CEILING_FACTOR)
        return maxOf(ceiling, minOf(allowed, spent + reserve))
    }

    /** Grants to the gateways that are heard, first for the routes of which the target has had the fewest requests. */
    fun grantMore(now: MonotonicTime) {
        var left = minOf(writtenCeiling, allowed) - spent
        var window = window(now)
        val heard = runs.newest.values.filter { now - it.heardAt <= HEARD_TIME }
        val got = heard.flatMap { it.report.requests.keys }.distinct()
            .associateWith { route -> runs.all.sumOf { it.granted[route] ?: 0 } }.toMutableMap()
        while (left > 0 && window > 0 && got.isNotEmpty()) {
            val route = got.minBy { it.value }.key
            val run = heard.filter { hasUse(it, route) }.maxByOrNull { it.rate(route) - it.held(route) }
            if (run == null) {
                got -= route
                continue
            }
            val grant = Granted(now, minOf(1.0, run.rate(route)))
            run.granted.merge(route, 1L, Long::plus)
            got.merge(route, 1L, Long::plus)
            recentGrants.addLast(grant)
            window -= grant.expectedUse
            left -= 1
        }
    }

    /** Requests that may be granted now, by how many are expected to be used. */
    private fun window(now: MonotonicTime): Double {
        while (recentGrants.firstOrNull().let { it != null && now - it.at > ANSWER_TIME }) recentGrants.removeFirst()
        return FIRST_WINDOW + runs.answers.goodTargetAnswers - recentGrants.sumOf { it.expectedUse }
    }

    /** Whether [run] can use one more grant for [route]; half of its requests stay with the old version. */
    private fun hasUse(run: GatewayRun, route: RouteName): Boolean {
        val held = run.held(route)
        return (run.report.requests[route] ?: 0) > 0 && (held == 0L || held < run.rate(route) / 2)
    }

    companion object {
        /** A gateway that was not heard for longer gets no more. */
        val HEARD_TIME = 1.seconds
        private const val FIRST_WINDOW = 8

        /** A window follows before the store has taken the next ceiling. */
        private const val CEILING_FACTOR = 2

        /** Most answers are there within that time. */
        private val ANSWER_TIME = 1500.milliseconds
    }
}
