package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import org.guavapath.core.fleet.CacheScope
import org.guavapath.core.fleet.CacheStore
import org.guavapath.core.fleet.FleetConfiguration
import org.guavapath.core.fleet.FleetRequest
import org.guavapath.core.fleet.FleetRoute
import org.guavapath.core.fleet.FleetService
import org.guavapath.core.fleet.FleetWorkspace
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.quarantine.PartKey
import org.guavapath.core.quarantine.RequestKey
import org.guavapath.core.quarantine.Suspect
import org.guavapath.core.quota.RetryBudget
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Target service of a request, and the store of cached prompt parts if there is one. */
internal class Destination(val service: FleetService, val cacheStore: CacheStore?)

/**
 * A request that passed all admission checks.
 *
 * @property workspace the workspace of the caller's key, null on open routes
 * @property cost tokens charged to the workspace
 */
internal class AdmittedRequest(
    val incoming: IncomingRequest,
    val request: FleetRequest,
    val route: FleetRoute,
    val destination: Destination,
    val workspace: FleetWorkspace?,
    val cost: Long,
) {
    val service: FleetService get() = destination.service

    /** Identity of the whole request; repeats have the same. */
    val key: RequestKey = incoming.key(workspace?.name, request.prompt)

    /** What in the request may be the cause if a replica crashes: all parts of its prompt, and the whole request. */
    val suspects: Set<Suspect> by lazy(LazyThreadSafetyMode.NONE) {
        request.prompt?.let { PartKey.partsOf(it) }.orEmpty() + key
    }

    /** When the response is due: the caller's deadline or the end of the route's timeout, whichever is first. */
    val dueAt: MonotonicTime = minOf(request.deadline, request.receivedAt + route.timeout)

    /** When the request is refused if no part of the response was relayed; the caller gets that before its deadline. */
    val refuseAt: MonotonicTime = minOf(dueAt, request.receivedAt + timeToRefuse)

    private val timeToRefuse: Duration
        get() = (request.deadline - request.receivedAt).let { it - minOf(RETURN_TIME, it / RETURN_SHARE) }

    private companion object {
        /** Covers the way to the caller and back. */
        val RETURN_TIME = 30.milliseconds

        /** Part of a short deadline that is left to the way. */
        const val RETURN_SHARE = 10
    }
}

/** Services that the gateway provides to exchanges. */
internal interface ExchangeHost {
    /** Number of gateways in the fleet, this one included. */
    val fleetSize: Int

    /** The configuration in force, null before the first. */
    val configuration: FleetConfiguration?

    /** Keeps requests that crash replicas, and parts of prompts that do, away from them. */
    val quarantine: QuarantineTask

    /** Knows which replicas want no requests. */
    val availability: AvailabilityTask

    /** Records the rates that replicas name. */
    val namedRates: NamedRateTask

    /** Obtains permits for requests to replicas that have named a rate. */
    val permits: PermitTask

    /** Called when a request is sent to a replica. */
    fun requestSent()
}

/** State shared by all exchanges of a gateway; confined to the event loop. */
internal class ExchangeContext(
    val loop: EventLoop,
    val pool: ReplicaPool,
    val fleet: FleetState,
    val telemetry: GatewayTelemetry,
    private val settings: GatewaySettings,
    private val host: ExchangeHost,
) {
    private val startedAt = MonotonicTime.now()
    private val budgets = HashMap<ServiceName, RetryBudget>()

    /** The exchanges that have not ended. */
    val running = LinkedHashSet<Exchange>()

    /** Timers of the requests that have been sent to a replica and have not begun. */
    val waiting = LinkedHashSet<BeginningTimer>()

    val quarantine: QuarantineTask get() = host.quarantine
    val availability: AvailabilityTask get() = host.availability
    val namedRates: NamedRateTask get() = host.namedRates
    val permits: PermitTask get() = host.permits
    private val returnTimes = ReturnTimes(fleet)
    val crashes = CrashExaminer(ReplicaProbes(loop, pool, fleet.replicas), host.quarantine, telemetry)

    /** Counts the first send of a request to [service]. */
    fun recordFirstSend(service: FleetService) {
        val now = MonotonicTime.now()
        budget(service).recordFirstSend(retrySlack, fleet.stalls.earliestArrival(now), now)
    }

    /** Takes one retry from this VM's share of the fleet's budget; returns false if none is left. */
    fun takeRetry(service: FleetService): Boolean = budget(service).takeRetry(retrySlack, MonotonicTime.now())

    private val retrySlack: Double get() = settings.repeatSlack / host.fleetSize

    /** Returns when a caller may return whose request all replicas of [service] are too limited to take. */
    fun timeToReturn(service: FleetService): Duration = returnTimes.next(service, host.fleetSize)

    /** Returns when a caller may return whose request no replica of [service] takes until [pauseEnd]. */
    fun timeToReturn(service: FleetService, pauseEnd: MonotonicTime): Duration =
        returnTimes.afterPause(service, host.fleetSize, pauseEnd)

    /** This VM's share of the connections that one replica of [service] accepts. */
    fun maxConnectionsFor(service: FleetService): Int =
        maxOf(MIN_CONNECTIONS, service.connectionLimit / host.fleetSize)

    /** Returns who uses the cached prompt parts of a request of [workspace] that is sent now. */
    fun cacheScope(workspace: FleetWorkspace?): CacheScope =
        checkNotNull(host.configuration) { "a request was admitted without a configuration" }
            .cacheScope(workspace?.name)

    /** Reports that a request was sent to a replica, so that the other gateways learn of the load soon. */
    fun requestSent() = host.requestSent()

    private fun budget(service: FleetService): RetryBudget =
        budgets.getOrPut(service.name) {
            RetryBudget(settings.repeatWindow, settings.repeatRatio, startedAt, settings.isFirstStart)
        }

    private companion object {
        const val MIN_CONNECTIONS = 4
    }
}
