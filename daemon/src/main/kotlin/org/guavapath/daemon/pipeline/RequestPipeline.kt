/**
 * The stages that a request passes: find its route, authenticate its key, parse it, charge its
 * workspace, dispatch it to an endpoint, relay the response, settle the charge.
 */
package org.guavapath.daemon.pipeline

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.guavapath.core.results.Served
import org.guavapath.daemon.observe.RequestMetrics

private const val OK = 200
private const val MODELS_PATH = "/models"

/** Runs each request through the filters in order and dispatches it. */
internal class RequestPipeline(
    private val entry: Filter<CallerRequest, RoutedRequest>,
    private val readModelRequest: ModelRequestFilter,
    private val admission: AdmissionFilter,
    private val models: ModelDispatch,
    private val services: ServicePipeline,
    private val metrics: RequestMetrics,
) {
    /** Serves [request] and writes the response or the refusal to [responder]. */
    suspend fun serve(request: CallerRequest, responder: Responder) {
        val routed = entry.apply(request)
        val refusal = routed.fold(success = { serveRouted(it, responder) }, failure = { it })
        val code = refusal?.code ?: Served
        metrics.ended(code, routed.fold(success = { it.key?.workspace }, failure = { null }))
        if (refusal == null) return
        if (responder.isBegun) responder.abort() else responder.refuse(refusal, request.correlationId)
    }

    private suspend fun serveRouted(routed: RoutedRequest, responder: Responder): Refusal? = when {
        routed.route.models.isEmpty() -> serveService(routed, responder)
        isModelList(routed) -> listModels(routed, responder)
        else -> readModelRequest.apply(routed).then { serveModel(it, responder) }
    }

    private fun isModelList(routed: RoutedRequest): Boolean =
        routed.request.method == "GET" && routed.request.path.endsWith(MODELS_PATH)

    private fun listModels(routed: RoutedRequest, responder: Responder): Refusal? {
        val body = buildJsonObject {
            put("object", "list")
            putJsonArray("data") {
                routed.route.models.forEach { model ->
                    addJsonObject {
                        put("id", model.text)
                        put("object", "model")
                    }
                }
            }
        }
        val headers = listOf(
            HeaderField("Content-Type", "application/json"),
            HeaderField(RESULT_HEADER, Served.number.toString()),
            HeaderField(REQUEST_ID_HEADER, routed.request.correlationId),
        )
        responder.begin(OK, headers)
        responder.write(body.toString().toByteArray())
        return null
    }

    private suspend fun serveModel(request: ModelRequest, responder: Responder): Refusal? {
        val charge = RequestCharge(request.routed.request.id, request.routed.key?.workspace, request.cost)
        return withCharge(charge) { models.serve(request, responder) }
            ?.takeUnless { endStreamWithError(request, responder, it) }
    }

    /**
     * Ends a stream that is already under way with an error event instead of an error response;
     * returns false if no stream has begun.
     */
    private fun endStreamWithError(request: ModelRequest, responder: Responder, refusal: Refusal): Boolean {
        if (!responder.isBegun || !request.stream) return false
        metrics.ended(refusal.code, request.routed.key?.workspace)
        CompletionResponse.of(request, responder).fail(refusal)
        return true
    }

    private suspend fun serveService(routed: RoutedRequest, responder: Responder): Refusal? {
        val charge = RequestCharge(routed.request.id, routed.key?.workspace, routed.route.tokens)
        return withCharge(charge) { services.serve(routed, responder) }
    }

    /** Applies [charge], runs [dispatch] and settles the charge, as used in full if [dispatch] throws. */
    private suspend fun withCharge(charge: RequestCharge, dispatch: suspend () -> DispatchResult): Refusal? =
        admission.apply(charge).then {
            var used = charge.tokens
            try {
                when (val result = dispatch()) {
                    is DispatchResult.Served -> null.also { used = result.usedTokens }
                    is DispatchResult.Failed -> result.refusal.also { used = result.usedTokens }
                }
            } finally {
                admission.settle(charge, used)
            }
        }

    private inline fun <T> Result<T, Refusal>.then(next: (T) -> Refusal?): Refusal? =
        fold(success = { next(it) }, failure = { it })
}
