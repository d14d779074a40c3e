package org.guavapath.daemon.routing

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.guavapath.core.config.Configuration
import org.guavapath.core.config.EndpointKind
import org.guavapath.core.identity.EndpointName
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.WeightsVersion
import org.guavapath.core.routing.CacheEventBatch
import org.guavapath.core.routing.ConfiguredReplica
import org.guavapath.core.routing.LoadReport
import org.guavapath.core.routing.ReplicaTracker
import org.guavapath.core.routing.RoutingDecision
import org.guavapath.core.routing.RoutingPolicy
import org.guavapath.core.routing.RoutingRequest
import org.guavapath.core.time.MonotonicTime
import kotlin.random.Random

private const val MAILBOX_CAPACITY = 20_000

/**
 * Input of a routing decision.
 *
 * @property attempt identifier of the attempt, recorded as sent to the chosen replica
 * @property excluded endpoints that have already failed this request
 */
internal class RoutingQuery(
    val attempt: String,
    val model: ModelName,
    val version: WeightsVersion,
    val request: RoutingRequest,
    val excluded: Set<EndpointName>,
)

/** A message to [RoutingTask]. */
internal sealed class RoutingMessage {
    /** Asks for a replica; [decision] is completed with the decision, or null if no replica can serve the request. */
    class Choose(val query: RoutingQuery, val decision: CompletableDeferred<RoutingDecision?>) : RoutingMessage()

    /** The endpoint sent the first token of [attempt]. */
    class FirstToken(val endpoint: EndpointName, val attempt: String) : RoutingMessage()

    class Ended(val endpoint: EndpointName, val attempt: String) : RoutingMessage()

    /** A request to the endpoint failed. */
    class Failed(val endpoint: EndpointName) : RoutingMessage()

    /** The endpoint no longer responds to polls for load reports. */
    class StoppedReporting(val endpoint: EndpointName) : RoutingMessage()

    class Events(val endpoint: EndpointName, val batch: CacheEventBatch) : RoutingMessage()

    class Load(val endpoint: EndpointName, val report: LoadReport) : RoutingMessage()

    class Configured(val configuration: Configuration) : RoutingMessage()
}

/** Tracks the state of all replicas and chooses one for each request. All state changes go through its mailbox. */
internal class RoutingTask(private val policy: RoutingPolicy, private val random: Random) {
    private val mailbox = Channel<RoutingMessage>(MAILBOX_CAPACITY)
    private val tracker = ReplicaTracker()

    fun start(scope: CoroutineScope) {
        scope.launch { for (message in mailbox) handle(message) }
    }

    suspend fun send(message: RoutingMessage) = mailbox.send(message)

    /** Returns the decision, or null if no replica can serve the request. */
    suspend fun choose(query: RoutingQuery): RoutingDecision? {
        val decision = CompletableDeferred<RoutingDecision?>()
        mailbox.send(RoutingMessage.Choose(query, decision))
        return decision.await()
    }

    private fun handle(message: RoutingMessage) {
        val now = MonotonicTime.now()
        when (message) {
            is RoutingMessage.Choose -> message.decision.complete(decide(message.query, now))
            is RoutingMessage.FirstToken -> tracker.firstToken(message.endpoint, message.attempt)
            is RoutingMessage.Ended -> tracker.ended(message.endpoint, message.attempt)
            is RoutingMessage.Failed -> tracker.failed(message.endpoint, now)
            is RoutingMessage.StoppedReporting -> tracker.stoppedReporting(message.endpoint)
            is RoutingMessage.Events -> tracker.receive(message.endpoint, message.batch)
            is RoutingMessage.Load -> tracker.receive(message.endpoint, message.report, now)
            is RoutingMessage.Configured -> tracker.configure(replicasOf(message.configuration))
        }
    }

    private fun decide(query: RoutingQuery, now: MonotonicTime): RoutingDecision? {
        val request = query.request
        val candidates =
            tracker.candidates(query.model, query.version, request.chain, now, query.excluded)
        val decision = policy.choose(candidates, request, random) ?: return null
        val chosen = decision.chosen.candidate
        val prefillTokens = maxOf(0, request.promptTokens - chosen.matchedPieces.toLong() * request.pieceTokens)
        tracker.sent(chosen.endpoint, query.attempt, prefillTokens, now)
        return decision
    }

    private fun replicasOf(configuration: Configuration): List<ConfiguredReplica> = configuration.endpoints
        .filter { it.kind == EndpointKind.ENGINE }
        .map { ConfiguredReplica(it.name, it.failureDomain, it.models.toSet(), it.draining) }
}
