/**
 * Relays the stream of one attempt from an engine to the caller.
 *
 * The attempt fails if an event belongs to another request or is out of order, or if the stream
 * ends early. Such events are never relayed.
 */
package org.guavapath.daemon.pipeline

import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.longOrNull
import org.guavapath.core.identity.EndpointName
import org.guavapath.core.results.DispatchCode
import org.guavapath.core.results.RequestCode
import org.guavapath.core.streams.StreamGuard
import org.guavapath.daemon.engine.EngineItem
import org.guavapath.daemon.routing.RoutingMessage
import org.guavapath.daemon.routing.RoutingTask
import org.guavapath.daemon.settings.EdgeLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time between two keep-alive comments to a waiting caller. */
private val KEEP_ALIVE_INTERVAL = 1.seconds

/** Identifies an attempt and the endpoint it was sent to. */
internal class EngineAttemptId(val endpoint: EndpointName, val attempt: String)

/** Relays streams and reports first tokens and failures to [routing]. */
internal class EngineRelay(private val routing: RoutingTask, private val limits: EdgeLimits) {
    /** Relays the events of [items] to [response] until the attempt has ended. */
    suspend fun run(
        items: ReceiveChannel<EngineItem>,
        id: EngineAttemptId,
        response: CompletionResponse,
    ): AttemptResult {
        val stream = RelayedStream(id, response)
        var timeout = limits.firstTokenMilliseconds.milliseconds
        var result: AttemptResult? = null
        while (result == null) {
            val before = response.pieces
            val item = next(items, timeout, response)
            timeout = limits.tokenGapMilliseconds.milliseconds
            result = stream.handle(item)
            if (before == 0L && response.pieces > 0) routing.send(RoutingMessage.FirstToken(id.endpoint, id.attempt))
        }
        if (result is AttemptResult.Failed || result is AttemptResult.NotRun) {
            routing.send(RoutingMessage.Failed(id.endpoint))
        }
        return result
    }

    /** Returns the next item, or null after [timeout]. Sends keep-alives to the caller while it waits. */
    private suspend fun next(
        items: ReceiveChannel<EngineItem>,
        timeout: Duration,
        response: CompletionResponse,
    ): EngineItem? {
        var waited = Duration.ZERO
        while (waited < timeout) {
            val slice = minOf(KEEP_ALIVE_INTERVAL, timeout - waited)
            val received = withTimeoutOrNull(slice) { items.receiveCatching() }
            if (received != null) return received.getOrNull() ?: EngineItem.Failed("cancelled", reachedEngine = true)
            waited += slice
            if (waited < timeout) response.keepAlive()
        }
        return null
    }
}

/** State of one relayed stream. */
private class RelayedStream(private val id: EngineAttemptId, private val response: CompletionResponse) {
    private val guard = StreamGuard(id.attempt)
    private var usage: Usage? = null

    /** Handles [item], null for a timeout; returns the result once the attempt has ended. */
    fun handle(item: EngineItem?): AttemptResult? = when (item) {
        null -> AttemptResult.Failed(DispatchCode.EndpointTimeout, "the endpoint sent nothing in time")
        is EngineItem.Failed -> connectionFailed(item)
        is EngineItem.Refused -> refused(item)
        is EngineItem.Event -> event(item)
        EngineItem.Done -> usage?.let { AttemptResult.Complete(it, id.endpoint) }
            ?: incomplete("the stream ended without its usage")
    }

    private fun event(item: EngineItem.Event): AttemptResult? {
        val event = parse(item.data) ?: return incomplete("an event is not a JSON object")
        val fault = guard.check((event["id"] as? JsonPrimitive)?.contentOrNull.orEmpty(), item.sequence)
        if (fault == null) {
            CompletionResponse.pieceOf(event)?.let { response.add(it, id.endpoint) }
            usage = usageOf(event) ?: usage
        }
        return fault?.let { incomplete(it.toString()) }
    }

    private fun connectionFailed(item: EngineItem.Failed): AttemptResult =
        if (item.reachedEngine) incomplete(item.reason) else AttemptResult.NotRun(item.reason)

    private fun refused(item: EngineItem.Refused): AttemptResult =
        if (item.isTemporary) {
            AttemptResult.NotRun("status ${item.status}")
        } else {
            AttemptResult.Rejected(Refusal(RequestCode.InvalidRequest, "The engine refused the request."))
        }

    private fun incomplete(reason: String) = AttemptResult.Failed(DispatchCode.AnswerIncomplete, reason)

    private fun parse(data: String): JsonObject? = try {
        Json.parseToJsonElement(data) as? JsonObject
    } catch (_: SerializationException) {
        null
    }

    private fun usageOf(event: JsonObject): Usage? {
        val usage = event["usage"] as? JsonObject ?: return null
        val cached = usage["prompt_tokens_details"]?.jsonObject?.get("cached_tokens")
        return Usage(usage["prompt_tokens"].asNumber(), response.pieces, cached.asNumber())
    }

    private fun JsonElement?.asNumber(): Long = (this as? JsonPrimitive)?.longOrNull ?: 0
}
