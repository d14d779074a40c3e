package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import org.guavapath.core.fleet.FleetRequest
import org.guavapath.core.fleet.FleetRoute
import org.guavapath.core.fleet.FleetService
import org.guavapath.core.fleet.FleetWorkspace
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.placement.Placement
import org.guavapath.core.placement.PromptDirectory
import org.guavapath.core.placement.ReplicaBook
import org.guavapath.core.quota.FleetQuota
import org.guavapath.core.quota.RepeatBudget
import org.guavapath.core.weights.NamedWeights

/**
 * A request that passed all checks.
 *
 * @property workspace the workspace of the caller's key, null on open routes
 * @property charged tokens that its workspace was charged
 */
internal class AdmittedRequest(
    val incoming: IncomingRequest,
    val request: FleetRequest,
    val route: FleetRoute,
    val service: FleetService,
    val workspace: FleetWorkspace?,
    val charged: Long,
)

/** What all exchanges of a gateway share; lives on the event loop. */
internal class ExchangeContext(
    val loop: EventLoop,
    val pool: ReplicaPool,
    val book: ReplicaBook,
    val directory: PromptDirectory,
    val weights: NamedWeights,
    val placement: Placement,
    val quota: FleetQuota,
    val log: GatewayLog,
    val metrics: GatewayMetrics,
    private val settings: GatewaySettings,
    private val fleetSize: () -> Int,
) {
    private val budgets = HashMap<ServiceName, RepeatBudget>()

    /** This VM's part of the repeats that the fleet may send beyond the ratio. */
    val repeatSlack: Double get() = settings.repeatSlack / fleetSize()

    fun budget(service: ServiceName): RepeatBudget =
        budgets.getOrPut(service) { RepeatBudget(settings.repeatWindow, settings.repeatRatio) }

    /** This VM's part of the connections that one replica of [service] accepts. */
    fun connectionsFor(service: FleetService): Int =
        maxOf(FEWEST_CONNECTIONS, service.connectionLimit / fleetSize())

    private companion object {
        const val FEWEST_CONNECTIONS = 4
    }
}
