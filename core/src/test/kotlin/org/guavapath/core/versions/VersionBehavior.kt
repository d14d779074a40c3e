package org.guavapath.core.versions

import org.guavapath.core.fleet.ReplicaId
import kotlin.math.cos
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** When a version is bad. */
enum class BadWhen { AT_ONCE, LATE, UNDER_LOAD, ON_ONE_ROUTE }

/**
 * How a version is bad: [part] of its answers are failures, or take [slowdown] times as long.
 *
 * @property kind in which way
 * @property since part of the order's duration after which a version turns bad late
 */
class Fault(val kind: BadAnswers, val time: BadWhen, val part: Double, val slowdown: Double, val since: Double) {
    override fun toString() = "$kind $time part $part times $slowdown since $since"

    companion object {
        fun random(random: Random) = Fault(
            BadAnswers.entries.random(random),
            BadWhen.entries.random(random),
            part = random.nextDouble(0.3, 0.9),
            slowdown = random.nextDouble(4.0, 8.0),
            since = random.nextDouble(0.2, 0.6),
        )
    }
}

/** An answer as a gateway sees it. */
class SimulatedAnswer(val stratum: Stratum, val isFailure: Boolean, val time: Duration, val isBad: Boolean)

/**
 * What replicas of a service answer.
 *
 * @property fault fault of the target, null if it is good
 * @property greyReplicas replicas that fail a part of their requests for reasons of their own
 */
class VersionBehavior(
    val routes: List<Pair<RouteName, Double>>,
    private val usualTime: Map<RouteName, Duration>,
    private val failurePart: Double,
    val fault: Fault?,
    private val greyReplicas: Set<ReplicaId>,
    private val random: Random,
) {
    fun route(): RouteName {
        var position = random.nextDouble() * routes.sumOf { it.second }
        return routes.first { (_, weight) ->
            position -= weight
            position < 0
        }.first
    }

    /** Returns the answer of [replica] to a request of [route], of the target if [isTarget], at a part of the time. */
    fun answer(route: RouteName, replica: ReplicaId, isTarget: Boolean, elapsed: Double): SimulatedAnswer {
        val stratum = Stratum(route, listOf(0, 0, 1, 1, 1, 2).random(random), random.nextInt(2))
        val isBad = isTarget && fault != null && isHit(fault, stratum, elapsed) && random.nextDouble() < fault.part
        val isGrey = replica in greyReplicas && random.nextDouble() < GREY_PART
        val slowdown = if (isBad && fault?.kind == BadAnswers.SLOW) fault.slowdown else 1.0
        val busy = (1 + stratum.load) * (1 + stratum.reading)
        val time = usualTime.getValue(route) * (busy * slowdown * exp(SPREAD * gaussian()))
        val isFailure = isGrey || isBad && fault?.kind == BadAnswers.FAILED || random.nextDouble() < failurePart
        return SimulatedAnswer(stratum, isFailure, time.coerceAtMost(LONGEST), isBad)
    }

    private fun isHit(fault: Fault, stratum: Stratum, elapsed: Double) = when (fault.time) {
        BadWhen.AT_ONCE -> true
        BadWhen.LATE -> elapsed >= fault.since
        BadWhen.UNDER_LOAD -> stratum.load > 0
        BadWhen.ON_ONE_ROUTE -> stratum.route == routes.last().first
    }

    private fun gaussian() = sqrt(-2 * ln(1 - random.nextDouble())) * cos(2 * Math.PI * random.nextDouble())

    companion object {
        private const val GREY_PART = 0.4
        private const val SPREAD = 0.4
        private val LONGEST = 2500.milliseconds

        /** Returns a service of one to four routes, of which the last has the fewest requests. */
        fun random(fault: Fault?, targets: List<ReplicaId>, old: List<ReplicaId>, random: Random): VersionBehavior {
            val routes = List(random.nextInt(1, 5)) { RouteName("route-$it") to 1.0 / (1 + it) }
            val grey = if (random.nextInt(3) == 0) setOf(targets.random(random), old.random(random)) else emptySet()
            return VersionBehavior(
                routes,
                routes.associate { it.first to random.nextDouble(20.0, 120.0).milliseconds },
                failurePart = random.nextDouble(0.0, 0.02),
                fault,
                grey,
                random,
            )
        }
    }
}
