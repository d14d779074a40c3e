/**
 * Sends a completion request to an engine and relays the response.
 *
 * If the stream of a repeatable request breaks, another engine resumes it after the text that the
 * caller already has. A non-repeatable request is not sent again once an engine may have run it.
 * The caller gets the complete response or an error with a result code.
 */
package org.guavapath.daemon.pipeline

import kotlinx.coroutines.coroutineScope
import org.guavapath.core.identity.EndpointName
import org.guavapath.core.results.DispatchCode
import org.guavapath.core.results.IdentityCode
import org.guavapath.core.results.ResultCode
import org.guavapath.core.routing.RoutingDecision
import org.guavapath.core.routing.RoutingRequest
import org.guavapath.daemon.engine.EngineAttempt
import org.guavapath.daemon.engine.EngineClient
import org.guavapath.daemon.observe.DecisionLog
import org.guavapath.daemon.routing.RoutingMessage
import org.guavapath.daemon.routing.RoutingQuery
import org.guavapath.daemon.routing.RoutingTask
import org.guavapath.daemon.settings.DaemonSettings
import kotlin.time.Duration.Companion.seconds

private const val MAX_ATTEMPTS = 4

/** How a dispatch ended. */
internal sealed class DispatchResult {
    /** The caller has the complete response. */
    class Served(val usedTokens: Long) : DispatchResult()

    /** The request failed with [refusal], which the caller has not received yet; it is charged [usedTokens]. */
    class Failed(val refusal: Refusal, val usedTokens: Long) : DispatchResult()
}

/** Dispatches completion requests. */
internal class ModelDispatch(
    private val routing: RoutingTask,
    private val engines: EngineClient,
    private val running: RunningRequests,
    private val settings: DaemonSettings,
    private val decisions: DecisionLog,
) {
    private val relay = EngineRelay(routing, settings.limits)

    /** Serves [request] and writes to [responder] unless the result is [DispatchResult.Failed]. */
    suspend fun serve(request: ModelRequest, responder: Responder): DispatchResult {
        val response = CompletionResponse.of(request, responder)
        val excluded = mutableSetOf<EndpointName>()
        var last: AttemptResult? = null
        for (number in 1..MAX_ATTEMPTS) {
            val attempt = "${request.routed.request.id}-$number"
            val decision = routing.choose(query(request, attempt, excluded))
                ?: return failure(request, response, last)
            decisions.routed(request, decision, number)
            last = attempt(request, decision, attempt, response)
            if (!mayRetry(request, last)) break
            excluded += decision.chosen.candidate.endpoint
        }
        return if (last is AttemptResult.Complete) served(response, last) else failure(request, response, last)
    }

    private fun served(response: CompletionResponse, result: AttemptResult.Complete): DispatchResult {
        response.finish(result.usage, result.endpoint)
        return DispatchResult.Served(result.usage.prompt + result.usage.completion)
    }

    private fun mayRetry(request: ModelRequest, result: AttemptResult): Boolean = when (result) {
        is AttemptResult.NotRun -> true
        is AttemptResult.Failed -> request.routed.route.repeatable
        is AttemptResult.Complete, is AttemptResult.Rejected, AttemptResult.KeyWithdrawn -> false
    }

    private fun query(request: ModelRequest, attempt: String, excluded: Set<EndpointName>) = RoutingQuery(
        attempt = attempt,
        model = request.model.name,
        version = request.model.version,
        request = RoutingRequest(
            chain = request.chain,
            promptTokens = request.promptTokens,
            pieceTokens = request.model.pieceTokens,
            domain = settings.failureDomain,
            priority = request.routed.route.priority,
            sharesWithBatch = request.routed.configuration.hasBatchRoute(request.model.name),
        ),
        excluded = excluded.toSet(),
    )

    private suspend fun attempt(
        request: ModelRequest,
        decision: RoutingDecision,
        attempt: String,
        response: CompletionResponse,
    ): AttemptResult = coroutineScope {
        val endpoint = decision.chosen.candidate.endpoint
        val url = request.routed.configuration.endpoint(endpoint)?.url
            ?: return@coroutineScope AttemptResult.NotRun("endpoint $endpoint is not configured")
        val body = EngineBody.of(request, response)
        val stream = engines.open(this, EngineAttempt(attempt, url, request.kind.enginePath, body))
        val entry = RunningRequest(request.routed.key?.hash) { stream.cancel() }
        running.add(request.routed.request.id, entry)
        try {
            val result = relay.run(stream.items, EngineAttemptId(endpoint, attempt), response)
            if (entry.isKeyWithdrawn) AttemptResult.KeyWithdrawn else result
        } finally {
            running.remove(request.routed.request.id)
            stream.cancel()
            routing.send(RoutingMessage.Ended(endpoint, attempt))
        }
    }

    /** A request that was not run costs nothing; one that broke off costs all, since the work done is unknown. */
    private fun failure(request: ModelRequest, response: CompletionResponse, last: AttemptResult?): DispatchResult {
        val refusal = when (last) {
            null -> Refusal(DispatchCode.NoEndpoint, retryAfter = 1.seconds)
            is AttemptResult.NotRun -> Refusal(DispatchCode.EndpointUnreachable, retryAfter = 1.seconds)
            is AttemptResult.Failed -> Refusal(codeOf(request, last))
            is AttemptResult.Rejected -> last.refusal
            is AttemptResult.KeyWithdrawn -> Refusal(IdentityCode.KeyWithdrawnMidway)
            is AttemptResult.Complete -> error("a complete attempt is not a failure")
        }
        val mayHaveRun = last is AttemptResult.Failed || last is AttemptResult.KeyWithdrawn || response.pieces > 0
        val used = if (mayHaveRun) request.cost else 0
        val reported = if (mayHaveRun && refusal.code.outcome != org.guavapath.core.results.RunOutcome.UNKNOWN) {
            Refusal(DispatchCode.AnswerIncomplete)
        } else {
            refusal
        }
        return DispatchResult.Failed(reported, used)
    }

    private fun codeOf(request: ModelRequest, last: AttemptResult.Failed): ResultCode =
        if (request.routed.route.repeatable) last.code else DispatchCode.OutcomeUnknown
}
