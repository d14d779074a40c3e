package org.guavapath.daemon.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.Serializable
import org.guavapath.core.config.Endpoint
import org.guavapath.core.routing.RoutingDecision
import org.guavapath.daemon.pipeline.ModelRequest
import org.guavapath.daemon.pipeline.RoutedRequest
import kotlin.math.round

private const val SCORE_SCALE = 1e4

/** A candidate in a log line; [score] is the expected time to the first token in seconds. */
@Serializable
internal data class LoggedCandidate(val endpoint: String, val score: Double, val matchedPieces: Int, val queued: Long)

/** Logs each routing decision. The log lines never contain keys or prompts. */
internal class DecisionLog {
    private val logger = KotlinLogging.logger("org.guavapath.routing")

    fun routed(request: ModelRequest, decision: RoutingDecision, attempt: Int) {
        logger.atInfo {
            message = "routed"
            payload = mapOf(
                "requestId" to request.routed.request.correlationId,
                "attempt" to "${request.routed.request.id}-$attempt",
                "workspace" to request.workspace.text,
                "route" to request.routed.route.name,
                "model" to request.model.name.text,
                "promptTokens" to request.promptTokens,
                "endpoint" to decision.chosen.candidate.endpoint.text,
                "matchedPieces" to decision.chosen.candidate.matchedPieces,
                "reason" to decision.reason.name,
                "candidates" to decision.scored.map {
                    LoggedCandidate(
                        it.candidate.endpoint.text,
                        round(it.score * SCORE_SCALE) / SCORE_SCALE,
                        it.candidate.matchedPieces,
                        it.candidate.queuedTokens.toLong(),
                    )
                },
            )
        }
    }

    fun routedService(request: RoutedRequest, endpoint: Endpoint) {
        logger.atInfo {
            message = "routed"
            payload = mapOf(
                "requestId" to request.request.correlationId,
                "workspace" to request.key?.workspace?.text,
                "route" to request.route.name,
                "endpoint" to endpoint.name.text,
                "reason" to "FEWEST_OUTSTANDING",
            )
        }
    }
}
