package org.guavapath.daemon.pipeline

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.guavapath.core.results.DispatchCode
import org.guavapath.core.results.RequestCode
import org.guavapath.daemon.configuration.ActiveConfiguration

/** Request headers that may occur only once. */
private val SINGLE_HEADERS = setOf("authorization", "content-length", "content-type", "host", "idempotency-key")

/** Finds the route of a request and refuses repeated headers that must be unique. */
internal class RouteFilter(private val configuration: () -> ActiveConfiguration?) :
    Filter<CallerRequest, RoutedRequest> {
    override suspend fun apply(input: CallerRequest): Result<RoutedRequest, Refusal> {
        val repeated = repeatedHeader(input)
        val active = configuration()
        val route = active?.route(input.path)
        return when {
            repeated != null -> Err(Refusal(RequestCode.DuplicateHeader, "The header $repeated is repeated."))
            active == null -> Err(Refusal(DispatchCode.NotConfigured))
            route == null -> Err(Refusal(RequestCode.RouteNotFound))
            else -> Ok(RoutedRequest(input, active, route, key = null))
        }
    }

    private fun repeatedHeader(request: CallerRequest): String? =
        request.headers.groupingBy { it.name.lowercase() }.eachCount()
            .filter { it.value > 1 && it.key in SINGLE_HEADERS }.keys.firstOrNull()
}
