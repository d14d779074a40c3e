package org.guavapath.daemon.pipeline

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import org.guavapath.core.config.CallerKey
import org.guavapath.core.config.RouteAccess
import org.guavapath.core.identity.KeyHash
import org.guavapath.core.results.IdentityCode

private const val SCHEME = "Bearer "

/** Authenticates the caller by its key and checks that the key may use the route; open routes need no key. */
internal class AuthenticateFilter : Filter<RoutedRequest, RoutedRequest> {
    override suspend fun apply(input: RoutedRequest): Result<RoutedRequest, Refusal> {
        if (input.route.access == RouteAccess.OPEN) return Ok(input)
        return hashOf(input)
            .flatMap { keyOf(input, it) }
            .map { RoutedRequest(input.request, input.configuration, input.route, it) }
    }

    private fun hashOf(input: RoutedRequest): Result<KeyHash, Refusal> {
        val header = input.request.header("Authorization").orEmpty()
        if (!header.startsWith(SCHEME, ignoreCase = true)) return Err(Refusal(IdentityCode.KeyMissing))
        return Ok(KeyHash.of(header.substring(SCHEME.length).trim()))
    }

    private fun keyOf(input: RoutedRequest, hash: KeyHash): Result<CallerKey, Refusal> {
        val key = input.configuration.key(hash)
        return when {
            input.configuration.isWithdrawn(hash) -> Err(Refusal(IdentityCode.KeyWithdrawn))
            key == null -> Err(Refusal(IdentityCode.KeyUnknown))
            !mayUse(input, key) -> Err(Refusal(IdentityCode.RouteForbidden))
            else -> Ok(key)
        }
    }

    private fun mayUse(input: RoutedRequest, key: CallerKey): Boolean =
        input.route.workspaces.isEmpty() || key.workspace in input.route.workspaces
}
