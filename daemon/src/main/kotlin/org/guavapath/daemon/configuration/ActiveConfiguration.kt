package org.guavapath.daemon.configuration

import org.guavapath.core.config.AcceptedChange
import org.guavapath.core.config.CallerKey
import org.guavapath.core.config.Configuration
import org.guavapath.core.config.ConfigurationVersion
import org.guavapath.core.config.Endpoint
import org.guavapath.core.config.Model
import org.guavapath.core.config.PriorityClass
import org.guavapath.core.config.Route
import org.guavapath.core.config.StoredDocument
import org.guavapath.core.identity.EndpointName
import org.guavapath.core.identity.KeyHash
import org.guavapath.core.identity.ModelName

/** An immutable configuration in force, indexed for the lookups of request handling. */
internal class ActiveConfiguration(val change: AcceptedChange, val document: StoredDocument) {
    val configuration: Configuration = document.effective()
    val version: ConfigurationVersion get() = change.version

    private val keys = configuration.keys.associateBy { it.hash.hexadecimal }
    private val models = configuration.models.associateBy { it.name }
    private val endpoints = configuration.endpoints.associateBy { it.name }
    private val routes = configuration.routes.sortedByDescending { it.path.length }

    private val batchModels =
        configuration.routes.filter { it.priority == PriorityClass.BATCH }.flatMap { it.models }.toSet()

    /** Returns the key with this [hash]. The found hash is compared once more in constant time. */
    fun key(hash: KeyHash): CallerKey? = keys[hash.hexadecimal]?.takeIf { it.hash.matches(hash) }

    fun isWithdrawn(hash: KeyHash): Boolean = hash in document.withdrawnKeys

    fun model(name: ModelName): Model? = models[name]

    /** Returns whether a route of batch priority leads to [model]. */
    fun hasBatchRoute(model: ModelName): Boolean = model in batchModels

    fun endpoint(name: EndpointName): Endpoint? = endpoints[name]

    /** Returns the route with the longest path that is a prefix of [path] ending at a segment boundary. */
    fun route(path: String): Route? = routes.firstOrNull { route ->
        path == route.path || path.startsWith(route.path.removeSuffix("/") + "/")
    }
}
