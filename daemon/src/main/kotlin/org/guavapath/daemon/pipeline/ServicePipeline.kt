package org.guavapath.daemon.pipeline

/** Serves requests of service routes: claims the idempotency key, then dispatches the request. */
internal class ServicePipeline(private val claims: ClaimStep, private val dispatch: ServiceDispatch) {
    suspend fun serve(routed: RoutedRequest, responder: Responder): DispatchResult =
        claims.run(routed) { dispatch.serve(routed, responder) }
}
