package org.guavapath.core.weights

import org.guavapath.core.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Which models the replicas serve. */
internal enum class ModelLayout { ONE, TWO_SERVICES, TWO_ON_EACH_REPLICA }

/** Kinds of troubles. */
internal enum class FleetTrouble {
    REPLICAS_CRASH,
    REPLICAS_CRASH_IN_ORDERS,
    REPLICAS_COME_AND_GO,
    HOLDER_KILLED,
    HOLDER_FROZEN,
    GATEWAYS_RESTART,
    GATEWAYS_SLOW,
    CUT_FROM_REPLICAS,
    CUT_FROM_STORE,
    STORE_AWAY,
    STORE_RESTORED,
    ORDERS_LOST,
    ORDERS_LATE,
    ORDERS_REFUSED,
    ORDERS_DOUBLED,
    REPORTS_LOST,
    MESSAGES_DELAYED,
    REQUESTS_LONG,
}

/**
 * What happens in one simulation.
 *
 * @property gateways all gateways; only hubs may hold the lease if there are more than 16
 * @property calmAt when all troubles end, other than those of processes that have begun
 * @property names when weights are named, and whether for the second model
 */
internal data class FleetSituation(
    val seed: Int,
    val replicas: Int,
    val gateways: Int,
    val layout: ModelLayout,
    val troubles: Set<FleetTrouble>,
    val calmAt: Duration,
    val names: List<Pair<Duration, Boolean>>,
) {
    /** Number of gateways that may hold the lease. */
    val candidates: Int get() = if (gateways <= MAX_FULL_MESH_SIZE) gateways else gateways / GATEWAYS_PER_HUB

    val calmTime: MonotonicTime get() = MonotonicTime.ZERO + calmAt

    companion object {
        private const val MAX_FULL_MESH_SIZE = 16
        private const val GATEWAYS_PER_HUB = 17

        /** Troubles by which an order may be carried out in another state than that in which it was sent. */
        private val LATE_ORDERS = listOf(
            FleetTrouble.REPLICAS_CRASH,
            FleetTrouble.REPLICAS_CRASH_IN_ORDERS,
            FleetTrouble.HOLDER_KILLED,
            FleetTrouble.HOLDER_FROZEN,
            FleetTrouble.ORDERS_LATE,
            FleetTrouble.ORDERS_DOUBLED,
            FleetTrouble.MESSAGES_DELAYED,
            FleetTrouble.REQUESTS_LONG,
        )

        /** Returns the situation of [seed]. */
        fun of(seed: Int, replicas: Int = 6, gateways: Int = 8): FleetSituation {
            val random = Random(seed)
            val layout = ModelLayout.entries.random(random)
            val kinds = if (random.nextInt(3) > 0) FleetTrouble.entries else LATE_ORDERS
            val troubles = kinds.shuffled(random).take(random.nextInt(1, 8)).toSet()
            val calmAt = random.nextInt(6_000, 18_000).milliseconds
            return FleetSituation(seed, replicas, gateways, layout, troubles, calmAt, names(random, layout, calmAt))
        }

        /** Names are spread, or follow each other within two seconds; the last may come right before the calm. */
        private fun names(random: Random, layout: ModelLayout, calmAt: Duration): List<Pair<Duration, Boolean>> {
            val count = random.nextInt(1, 6)
            val isSeries = random.nextBoolean()
            val end = if (random.nextBoolean()) calmAt else random.nextInt(3_000, 6_000).milliseconds
            return List(count) { index ->
                val before = when {
                    index == 0 -> Duration.ZERO
                    isSeries -> random.nextInt(0, 2_000).milliseconds
                    else -> random.nextInt(0, (end - 2.seconds).inWholeMilliseconds.toInt()).milliseconds
                }
                end - before to (layout != ModelLayout.ONE && random.nextBoolean())
            }.sortedBy { it.first }
        }
    }
}
