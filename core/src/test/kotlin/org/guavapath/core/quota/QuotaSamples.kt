/** What the tests of limits have in common: a workspace's limit, and the bound that the fleet promises for it. */
package org.guavapath.core.quota

import org.guavapath.core.fleet.FleetWorkspace
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tokens a second, and the burst. */
internal const val RATE = 36_000L

private const val OVER = 0.1
private const val SLACK = 140_000

internal val SAMPLE_LIMIT = FleetWorkspace(
    WorkspaceName("workspace"),
    keys = emptySet(),
    priority = null,
    isIsolated = false,
    countsTokens = true,
    plainTokens = 1,
    ratePerSecond = RATE,
    burst = RATE,
)

/** Most tokens that the whole fleet may admit within [window]. */
internal fun allowed(window: Duration): Double = (RATE * (window / 1.seconds) + RATE) * (1 + OVER) + SLACK

/** Tokens that a fleet admitted, with their times in order. */
internal class Admissions {
    private val all = ArrayList<Pair<MonotonicTime, Long>>()

    /** The tokens of each admitted request. */
    val tokens: List<Long> get() = all.map { it.second }

    fun add(at: MonotonicTime, tokens: Long) {
        all.add(at to tokens)
    }

    /** Largest number of tokens admitted within any span of [window]. */
    fun mostIn(window: Duration): Long {
        var sum = 0L
        var first = 0
        return all.indices.maxOf { last ->
            sum += all[last].second
            while (all[last].first - all[first].first > window) sum -= all[first++].second
            sum
        }
    }
}
