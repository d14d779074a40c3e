/**
 * The fleet's configuration, which the platform's operator writes as one document: routes by host and path, services,
 * and workspaces with their keys and limits. It is immutable; a newer version replaces it as a whole.
 */
package org.guavapath.core.fleet

import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.KeyHash
import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.WorkspaceName
import kotlin.time.Duration

/**
 * Version of the fleet's configuration. Versions increase, but are not consecutive.
 *
 * @property number the version number
 */
@JvmInline
public value class FleetVersion(public val number: Long) : Comparable<FleetVersion> {
    override fun compareTo(other: FleetVersion): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/**
 * Name of a service, a group of interchangeable replicas.
 *
 * @property text the name
 */
@JvmInline
public value class ServiceName(public val text: String) {
    override fun toString(): String = text
}

/** Whether and how a request may be retried when its outcome is unknown. */
public sealed class RetryPolicy {
    /** The request may run more than once. */
    public data object Idempotent : RetryPolicy()

    /** The request may run at most once. */
    public data object AtMostOnce : RetryPolicy()

    /**
     * The response is a stream of events.
     *
     * @property isResumable whether another replica may continue after the last relayed event
     * @property maxEventGap longest pause between two events with which the response is on time
     */
    public data class Stream(public val isResumable: Boolean, public val maxEventGap: Duration) : RetryPolicy()

    /** Whether a request may be retried although it may already have run. */
    public val mayRunAgain: Boolean
        get() = when (this) {
            Idempotent -> true
            AtMostOnce -> false
            is Stream -> isResumable
        }
}

/**
 * A service that a route sends requests to.
 *
 * @property service the service
 * @property weight its share of the route's requests, relative to the other services of the route
 */
public data class RouteTarget(public val service: ServiceName, public val weight: Int)

/**
 * A route: requests to [host] whose path starts with [pathPrefix] go to one of [targets].
 *
 * @property name its name
 * @property retryPolicy whether a request may be retried when its outcome is unknown
 * @property timeout maximum time that a caller is kept waiting
 * @property targetLatency time within which a response is most useful to the caller
 * @property priority rank among routes; 0 is the highest priority
 * @property maxReplicas maximum number of replicas that may run one request
 * @property isOpen whether callers need no key
 */
public data class FleetRoute(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val retryPolicy: RetryPolicy,
    public val timeout: Duration,
    public val targetLatency: Duration,
    public val priority: Int,
    public val targets: List<RouteTarget>,
    public val maxReplicas: Int,
    public val isOpen: Boolean,
) {
    /** Returns a service for the request [id], distributed by weight; the same id always gets the same service. */
    public fun targetFor(id: RequestId): ServiceName? {
        val total = targets.sumOf { it.weight }
        var position = if (total > 0) Math.floorMod(id.text.hashCode(), total) else 0
        val selected = targets.firstOrNull {
            position -= it.weight
            position < 0
        }
        return (selected ?: targets.firstOrNull())?.service
    }
}

/**
 * A store of cached prompt parts that replicas save to and fetch from.
 *
 * @property address host and port
 * @property failureDomain where it runs
 */
public data class CacheStore(public val address: String, public val failureDomain: FailureDomainName)

/**
 * A service.
 *
 * @property name its name
 * @property connectionLimit maximum connections that one replica accepts from all callers
 * @property cacheStore set if the service is a store of cached prompt parts
 */
public data class FleetService(
    public val name: ServiceName,
    public val connectionLimit: Int,
    public val cacheStore: CacheStore?,
)

/**
 * A workspace with its keys and its fleet-wide limit.
 *
 * @property name its name
 * @property keys hashes of the valid keys
 * @property priority rank that overrides the route's, null to use the route's
 * @property isIsolated whether cached prompt parts must not be shared with other workspaces
 * @property countsTokens whether the limit counts tokens; otherwise it counts requests
 * @property plainTokens cost of a request without token counts
 * @property ratePerSecond tokens or requests per second, 0 for no limit
 * @property burst tokens or requests that may be used at once after an idle period
 */
public data class FleetWorkspace(
    public val name: WorkspaceName,
    public val keys: Set<KeyHash>,
    public val priority: Int?,
    public val isIsolated: Boolean,
    public val countsTokens: Boolean,
    public val plainTokens: Long,
    public val ratePerSecond: Long,
    public val burst: Long,
)

/**
 * Limits on callers.
 *
 * @property headerBytes maximum size of a request's header section
 * @property bodyBytes maximum size of a request's body
 * @property headerTimeout maximum time for a request's header section to arrive
 * @property idleTimeout maximum idle time of a connection between two requests
 */
public data class CallerLimits(
    public val headerBytes: Int,
    public val bodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
)

/**
 * One version of the fleet's configuration.
 *
 * @property version its version
 * @property routes all routes
 * @property services all services by name
 * @property workspaces all workspaces, null if callers need no keys at all
 * @property callerLimits limits on callers
 */
public class FleetConfiguration(
    public val version: FleetVersion,
    public val routes: List<FleetRoute>,
    public val services: Map<ServiceName, FleetService>,
    public val workspaces: List<FleetWorkspace>?,
    public val callerLimits: CallerLimits,
) {
    private val routesByHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, group) -> group.sortedByDescending { it.pathPrefix.length } }
    private val workspaceByKey = workspaces.orEmpty()
        .flatMap { workspace -> workspace.keys.map { it to workspace } }
        .toMap()
    private val isolated = workspaces.orEmpty().filter { it.isIsolated }.map { it.name }.toSet()
    private val sharing = workspaces.orEmpty().map { it.name }.toSet() - isolated
    private val sharedScope = CacheScope.Shared(isolated)

    /** Returns the route with the longest prefix of [path] on [host], null if none matches. */
    public fun route(host: String, path: String): FleetRoute? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The store of cached prompt parts, null if there is none. */
    public val cacheStore: CacheStore? = services.values.firstNotNullOfOrNull { it.cacheStore }

    /** Returns the workspace of the key with [hash], null if the key is not valid. */
    public fun workspace(hash: KeyHash): FleetWorkspace? = workspaceByKey[hash]

    /**
     * Returns who uses the cached prompt parts of a request of [workspace], null for a request without a key.
     *
     * A workspace that is not listed, as it has been removed since the request arrived, shares nothing.
     */
    public fun cacheScope(workspace: WorkspaceName?): CacheScope =
        if (workspace == null || workspace in sharing) sharedScope else CacheScope.Owned(workspace)
}
