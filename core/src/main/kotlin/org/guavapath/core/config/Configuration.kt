/**
 * The configuration that operators write: workspaces, keys, models, endpoints, routes and failure domains.
 *
 * The types mirror the merged JSON document. In a [Configuration] returned by [ConfigurationReader],
 * every reference names an existing entry.
 */
package org.guavapath.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.guavapath.core.identity.EndpointName
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.KeyHash
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.WeightsVersion
import org.guavapath.core.identity.WorkspaceName

private const val DEFAULT_BYTES_PER_TOKEN = 4
private const val DEFAULT_LARGEST_OUTPUT = 1_024L
private const val DEFAULT_PIECE_TOKENS = 2_000

/**
 * A failure domain.
 *
 * @property name its name
 */
@Serializable
public data class FailureDomain(public val name: FailureDomainName)

/**
 * A workspace and its fleet-wide limit.
 *
 * @property name its name
 * @property rate sustained limit in tokens per second
 * @property burst tokens that may be used at once after an idle period
 */
@Serializable
public data class Workspace(public val name: WorkspaceName, public val rate: Long, public val burst: Long)

/**
 * A caller's key, stored only as a hash.
 *
 * @property name name that operators use
 * @property workspace the workspace that the key belongs to
 * @property hash the key's hash
 */
@Serializable
public data class CallerKey(public val name: String, public val workspace: WorkspaceName, public val hash: KeyHash)

/**
 * A model that callers name in requests.
 *
 * @property name name that callers use
 * @property version version of the weights that requests use
 * @property bytesPerToken UTF-8 bytes counted as one token when the cost of a request is estimated
 * @property largestOutput output tokens charged and allowed if a request sets no maximum
 * @property pieceTokens tokens in one piece of the prefix cache
 */
@Serializable
public data class Model(
    public val name: ModelName,
    public val version: WeightsVersion,
    public val bytesPerToken: Int = DEFAULT_BYTES_PER_TOKEN,
    public val largestOutput: Long = DEFAULT_LARGEST_OUTPUT,
    public val pieceTokens: Int = DEFAULT_PIECE_TOKENS,
)

/** Kind of an endpoint. */
@Serializable
public enum class EndpointKind {
    /** A model engine. */
    @SerialName("engine")
    ENGINE,

    /** A plain HTTP service. */
    @SerialName("service")
    SERVICE,

    /** A store to which engines export KV cache and from which they import it; no request is routed to it. */
    @SerialName("cache-store")
    CACHE_STORE,
}

/**
 * A back end that requests are routed to, or a cache store.
 *
 * @property name its name
 * @property kind its kind
 * @property url base URL: scheme, host and port
 * @property failureDomain the failure domain that it runs in
 * @property models the models that an engine serves
 * @property draining whether new requests are no longer routed to it
 */
@Serializable
public data class Endpoint(
    public val name: EndpointName,
    public val kind: EndpointKind,
    public val url: String,
    public val failureDomain: FailureDomainName,
    public val models: List<ModelName> = emptyList(),
    public val draining: Boolean = false,
)

/** Access rule of a route. */
@Serializable
public enum class RouteAccess {
    /** Any caller, without a key. */
    @SerialName("open")
    OPEN,

    /** Callers with a key of an allowed workspace. */
    @SerialName("keyed")
    KEYED,
}

/** Priority of waiting requests at engines; the lowest ordinal is served first. */
@Serializable
public enum class PriorityClass {
    /** Requests for which a person waits for the first token. */
    @SerialName("interactive")
    INTERACTIVE,

    /** The default priority. */
    @SerialName("standard")
    STANDARD,

    /** Long-running requests that nobody waits for. */
    @SerialName("batch")
    BATCH,
}

/**
 * Maps requests below a path to models or service endpoints.
 *
 * @property name its name
 * @property path path prefix; the longest matching prefix selects the route
 * @property access who may use it
 * @property models models served by the model API below [path]; empty for a service route
 * @property endpoints service endpoints that requests are routed to; empty for a model route
 * @property repeatable whether a request may be sent to an endpoint more than once
 * @property priority priority of its requests at engines
 * @property workspaces workspaces that may use a keyed route; empty for all
 * @property tokens cost in tokens of one request of a service route
 */
@Serializable
public data class Route(
    public val name: String,
    public val path: String,
    public val access: RouteAccess = RouteAccess.KEYED,
    public val repeatable: Boolean,
    public val priority: PriorityClass = PriorityClass.STANDARD,
    public val models: List<ModelName> = emptyList(),
    public val endpoints: List<EndpointName> = emptyList(),
    public val workspaces: List<WorkspaceName> = emptyList(),
    public val tokens: Long = 1,
)

/**
 * A complete, merged configuration.
 *
 * @property failureDomains all failure domains
 * @property workspaces all workspaces
 * @property keys all valid keys
 * @property models all models
 * @property endpoints all endpoints
 * @property routes all routes
 */
@Serializable
public data class Configuration(
    public val failureDomains: List<FailureDomain> = emptyList(),
    public val workspaces: List<Workspace> = emptyList(),
    public val keys: List<CallerKey> = emptyList(),
    public val models: List<Model> = emptyList(),
    public val endpoints: List<Endpoint> = emptyList(),
    public val routes: List<Route> = emptyList(),
)
