package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import org.guavapath.core.fleet.CacheStore
import org.guavapath.core.fleet.FleetRequest
import org.guavapath.core.fleet.FleetRoute
import org.guavapath.core.fleet.FleetService
import org.guavapath.core.fleet.FleetWorkspace
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.quota.RepeatBudget
import org.guavapath.core.time.MonotonicTime

/** The service that a request goes to, and the store of cached prompt parts if there is one. */
internal class Destination(val service: FleetService, val cacheStore: CacheStore?)

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
    val destination: Destination,
    val workspace: FleetWorkspace?,
    val charged: Long,
) {
    val service: FleetService get() = destination.service

    /** When the answer is due: the caller's deadline or the route's timeout, whichever is first. */
    val endAt: MonotonicTime = minOf(request.deadline, request.receivedAt + route.timeout)
}

/** What exchanges need of the rest of the gateway. */
internal interface Surroundings {
    /** Gateways in the fleet. */
    val fleetSize: Int

    /** A request goes to a replica. */
    fun sent()
}

/** What all exchanges of a gateway share; lives on the event loop. */
internal class ExchangeContext(
    val loop: EventLoop,
    val pool: ReplicaPool,
    val fleet: FleetState,
    val records: GatewayRecords,
    private val settings: GatewaySettings,
    private val surroundings: Surroundings,
) {
    private val budgets = HashMap<ServiceName, RepeatBudget>()

    /** Counts a request to [service] that is sent for the first time. */
    fun countFirst(service: FleetService) = budget(service).countFirst(MonotonicTime.now())

    /** Takes a repeat from this VM's part of the fleet's budget, if it has one left. */
    fun takeRepeat(service: FleetService): Boolean =
        budget(service).takeRepeat(settings.repeatSlack / surroundings.fleetSize, MonotonicTime.now())

    /** This VM's part of the connections that one replica of [service] accepts. */
    fun connectionsFor(service: FleetService): Int =
        maxOf(FEWEST_CONNECTIONS, service.connectionLimit / surroundings.fleetSize)

    /** A request goes to a replica; other gateways should hear of it soon. */
    fun sent() = surroundings.sent()

    private fun budget(service: FleetService): RepeatBudget =
        budgets.getOrPut(service.name) { RepeatBudget(settings.repeatWindow, settings.repeatRatio) }

    private companion object {
        const val FEWEST_CONNECTIONS = 4
    }
}
