package org.guavapath.core.weights

import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Troubles that have led to replicas with old weights: one [script] for each of [situations]. */
internal class ConvergenceCase(
    val situations: List<FleetSituation>,
    val script: (FleetSimulation, FleetSituation) -> Unit,
)

private val calmAt = 9.seconds

private fun situation(seed: Int, layout: ModelLayout, vararg names: Pair<Duration, Boolean>) =
    FleetSituation(seed, replicas = 6, gateways = 8, layout, emptySet(), calmAt, names.toList())

private fun kept(seed: Int, layout: ModelLayout, calmAt: Int, names: Map<Int, Boolean>, vararg troubles: FleetTrouble) =
    FleetSituation(
        seed,
        replicas = 6,
        gateways = 8,
        layout,
        troubles.toSet(),
        calmAt.milliseconds,
        names.map { (at, isSecond) -> at.milliseconds to isSecond },
    )

/** Kept situations of random troubles; times in milliseconds. */
internal val keptSituations = listOf(
    kept(
        seed = 383,
        ModelLayout.TWO_SERVICES,
        calmAt = 11_237,
        names = mapOf(2_340 to true, 2_815 to true, 4_756 to true),
        FleetTrouble.REPLICAS_CRASH,
        FleetTrouble.HOLDER_KILLED,
        FleetTrouble.MESSAGES_DELAYED,
        FleetTrouble.ORDERS_DOUBLED,
        FleetTrouble.HOLDER_FROZEN,
        FleetTrouble.REPLICAS_CRASH_IN_ORDERS,
        FleetTrouble.ORDERS_LATE,
    ),
    kept(
        seed = 7440,
        ModelLayout.TWO_SERVICES,
        calmAt = 16_153,
        names = mapOf(5_998 to false, 16_153 to true),
        FleetTrouble.ORDERS_LATE,
        FleetTrouble.ORDERS_DOUBLED,
        FleetTrouble.STORE_RESTORED,
        FleetTrouble.HOLDER_KILLED,
        FleetTrouble.CUT_FROM_STORE,
    ),
    kept(
        seed = 12,
        ModelLayout.TWO_SERVICES,
        calmAt = 17_375,
        names = mapOf(17_375 to true),
        FleetTrouble.HOLDER_KILLED,
        FleetTrouble.REQUESTS_LONG,
        FleetTrouble.REPLICAS_CRASH,
        FleetTrouble.REPLICAS_CRASH_IN_ORDERS,
        FleetTrouble.ORDERS_DOUBLED,
        FleetTrouble.MESSAGES_DELAYED,
    ).copy(replicas = 1_400, gateways = 340),
)

/** An order for older weights is carried out after a restart has cleared what the replica had accepted. */
internal val lateOrder = ConvergenceCase(
    List(48) { situation(it, ModelLayout.ONE, 3.seconds to false, 5.seconds to false) },
) { fleet, situation ->
    val replica = fleet.replicas.first()
    fleet.at(8.seconds) { fleet.crash(replica, 500.milliseconds, isSameId = true) }
    fleet.at(calmAt + 100.milliseconds) { fleet.requestsEnd = { Duration.ZERO } }
    val older = WeightsOrder(replica.id, ModelName("model-a"), WeightsNumber(2))
    // The load ends shortly before the replica writes its entry again.
    val arrival = 10_590.milliseconds - 2.milliseconds * situation.seed
    fleet.network.deliverLate(replica.id, FleetOrder(older, token = 1, expected = 0), MonotonicTime.ZERO + arrival)
}

/** The holder of the lease handles all events late, but confirms the lease in time. */
internal val slowHolder = ConvergenceCase(
    List(24) { situation(it, ModelLayout.ONE, 3.seconds to false, calmAt to false) },
) { fleet, situation ->
    fleet.at(calmAt - 1.seconds) { fleet.holder?.let { fleet.slow(it, 25.milliseconds * situation.seed) } }
}

/** Weights of two models on the same replicas are named right after each other. */
internal val twoModels = ConvergenceCase(
    List(24) { situation(it, ModelLayout.TWO_ON_EACH_REPLICA, calmAt - 200.milliseconds to true, calmAt to false) },
) { _, _ -> }

/** The holder of the lease is killed as weights of one of two services are named. */
internal val twoServices = ConvergenceCase(
    List(24) { situation(it, ModelLayout.TWO_SERVICES, 3.seconds to false, calmAt to true) },
) { fleet, _ ->
    fleet.at(calmAt) { fleet.holder?.let { fleet.kill(it, downFor = null) } }
}

/** The store gives no answers for a second after it has told of a name, so that all gateways watch it in vain. */
internal val silentStore = ConvergenceCase(
    List(8) { situation(it, ModelLayout.ONE, calmAt - 1.seconds to false, calmAt to false) },
) { fleet, _ ->
    fleet.at(calmAt - 1.seconds + 15.milliseconds) {
        fleet.vms.forEach { fleet.store.setAccess(it, StoreAccess.SILENT) }
    }
    fleet.at(calmAt) { fleet.vms.forEach { fleet.store.setAccess(it, StoreAccess.SERVED) } }
}

private fun FleetSimulation.at(time: Duration, action: () -> Unit) =
    clock.schedule(MonotonicTime.ZERO + time, action = action)
