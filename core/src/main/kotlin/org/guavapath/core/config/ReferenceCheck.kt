/** Validation across the entries of a configuration: references, duplicates and related limits. */
package org.guavapath.core.config

import org.guavapath.core.schema.SchemaFault

/** Returns the faults of [configuration] that involve more than one value. */
internal fun referenceFaults(configuration: Configuration): List<SchemaFault> =
    duplicateFaults(configuration) +
        workspaceFaults(configuration) +
        keyFaults(configuration) +
        endpointFaults(configuration) +
        routeFaults(configuration)

private fun workspaceFaults(configuration: Configuration): List<SchemaFault> =
    configuration.workspaces.filter { it.burst < it.rate }.map {
        SchemaFault("$.workspaces[${it.name}].burst", it.burst.toString(), "at least the rate, ${it.rate}")
    }

private fun keyFaults(configuration: Configuration): List<SchemaFault> {
    val workspaces = configuration.workspaces.map { it.name }.toSet()
    return configuration.keys.filter { it.workspace !in workspaces }.map {
        SchemaFault("$.keys[${it.name}].workspace", it.workspace.text, oneOf("workspace", workspaces))
    }
}

private fun endpointFaults(configuration: Configuration): List<SchemaFault> {
    val domains = configuration.failureDomains.map { it.name }.toSet()
    val models = configuration.models.map { it.name }.toSet()
    return configuration.endpoints.flatMap { endpoint ->
        val path = "$.endpoints[${endpoint.name}]"
        val domain = listOf(endpoint.failureDomain).filter { it !in domains }
            .map { SchemaFault("$path.failureDomain", it.text, oneOf("failure domain", domains)) }
        domain + endpoint.models.filter { it !in models }
            .map { SchemaFault("$path.models", it.text, oneOf("model", models)) }
    }
}

private fun routeFaults(configuration: Configuration): List<SchemaFault> {
    val models = configuration.models.map { it.name }.toSet()
    val services = configuration.endpoints.filter { it.kind == EndpointKind.SERVICE }.map { it.name }.toSet()
    val workspaces = configuration.workspaces.map { it.name }.toSet()
    return configuration.routes.flatMap { route ->
        val path = "$.routes[${route.name}]"
        targetFaults(route, path) +
            route.models.filter { it !in models }.map { SchemaFault("$path.models", it.text, oneOf("model", models)) } +
            route.endpoints.filter { it !in services }
                .map { SchemaFault("$path.endpoints", it.text, oneOf("service endpoint", services)) } +
            route.workspaces.filter { it !in workspaces }
                .map { SchemaFault("$path.workspaces", it.text, oneOf("workspace", workspaces)) }
    }
}

private fun targetFaults(route: Route, path: String): List<SchemaFault> {
    if (route.models.isEmpty() != route.endpoints.isEmpty()) return emptyList()
    return listOf(SchemaFault(path, "the route", "either models or endpoints, and not both"))
}

private fun duplicateFaults(configuration: Configuration): List<SchemaFault> {
    val hashes = configuration.keys.groupBy { it.hash }.filter { it.value.size > 1 }.values
    val paths = configuration.routes.groupBy { it.path }.filter { it.value.size > 1 }.values
    return hashes.map { SchemaFault("$.keys[${it.last().name}].hash", "the hash", "a hash that no other key has") } +
        paths.map { SchemaFault("$.routes[${it.last().name}].path", it.last().path, "a path that no other route has") }
}

private fun oneOf(kind: String, known: Set<Any>): String =
    if (known.isEmpty()) "a $kind that exists; there is none" else "a $kind that exists: ${known.joinToString(", ")}"
