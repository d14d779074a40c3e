/**
 * HTTP client for model engines: completion streams, load reports and cache events.
 *
 * The engine numbers the events of a stream (`id:` lines) and repeats the identifier of the attempt
 * in them. `resume_text` in a request holds the text that an earlier attempt has generated.
 */
package org.guavapath.daemon.engine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runInterruptible
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.Call
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import okio.BufferedSource
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.routing.CacheEventBatch
import org.guavapath.core.routing.LoadReport
import org.guavapath.daemon.blockingCalls
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

private const val MAX_IDLE_CONNECTIONS = 64
private const val KEEP_ALIVE_SECONDS = 20L
private const val STREAM_QUEUE_CAPACITY = 64
private const val ID_FIELD = "id:"
private const val DATA_FIELD = "data:"
private const val END_LINE = "data: [DONE]"
private const val MIN_SERVER_ERROR = 500
private const val TOO_MANY_REQUESTS = 429
private val CONNECT_TIMEOUT = 1.seconds
private val REPORT_TIMEOUT = 1.seconds
private val EVENTS_TIMEOUT = 5.seconds
private val JSON_TYPE = "application/json".toMediaType()

/**
 * A completion request to an engine.
 *
 * @property id identifier that the engine repeats in every event
 * @property url base URL of the engine
 * @property path path of the call in the engine's API
 */
internal class EngineAttempt(val id: String, val url: String, val path: String, val body: String)

/** An item read from an engine's response. */
internal sealed class EngineItem {
    /** An event of the stream: its data and, if the engine numbers events, its sequence number. */
    class Event(val sequence: Long?, val data: String) : EngineItem()

    /** The regular end of the stream. */
    data object Done : EngineItem()

    /**
     * The connection failed or ended before the regular end of the stream.
     *
     * @property reachedEngine whether any part of the request may have reached the engine
     */
    class Failed(val reason: String, val reachedEngine: Boolean) : EngineItem()

    /** The engine responded with a status other than success. */
    class Refused(val status: Int, val body: String) : EngineItem() {
        /** Whether another engine may serve the request, as this one is overloaded or failing. */
        val isTemporary: Boolean get() = status >= MIN_SERVER_ERROR || status == TOO_MANY_REQUESTS
    }
}

/** The stream of a running attempt. Cancelling it closes the connection, which cancels the work at the engine. */
internal class EngineStream(private val call: Call, private val channel: Channel<EngineItem>) {
    val items: ReceiveChannel<EngineItem> get() = channel

    fun cancel() {
        call.cancel()
        channel.cancel()
    }
}

/** Client for all engines. Thread-safe. */
internal class EngineClient(private val readTimeout: Duration) {
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
        .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
        .dispatcher(Dispatcher())
        .build()
    private val streams = client.newBuilder()
        .eventListenerFactory { SendTracker.Listener }
        .readTimeout(readTimeout.toJavaDuration())
        .build()
    private val reports = client.newBuilder().callTimeout(REPORT_TIMEOUT.toJavaDuration()).build()
    private val eventPolls = client.newBuilder().callTimeout(EVENTS_TIMEOUT.toJavaDuration()).build()

    /** Starts [attempt]; a coroutine in [scope] reads its connection. */
    fun open(scope: CoroutineScope, attempt: EngineAttempt): EngineStream {
        val tracker = SendTracker()
        val request = Request.Builder().url(attempt.url + attempt.path)
            .header("X-Request-Id", attempt.id)
            .header("Accept", "text/event-stream")
            .tag(SendTracker::class.java, tracker)
            .post(attempt.body.toRequestBody(JSON_TYPE))
            .build()
        val call = streams.newCall(request)
        val items = Channel<EngineItem>(STREAM_QUEUE_CAPACITY)
        scope.launch(blockingCalls) {
            read(call, tracker) { items.send(it) }
            items.close()
        }
        return EngineStream(call, items)
    }

    /** Returns the load report of the engine at [url], or null if the engine gives no valid report. */
    suspend fun load(url: String): LoadReport? =
        get(reports, "$url/engine/load") { Json.decodeFromString(LoadReport.serializer(), it) }

    /** Returns the cache events after [sequence] of [incarnation], or null if the engine gives no valid response. */
    suspend fun events(url: String, incarnation: Incarnation?, sequence: Long): CacheEventBatch? {
        val incarnationParameter = incarnation?.let { "&incarnation=$it" }.orEmpty()
        return get(eventPolls, "$url/engine/events?after=$sequence$incarnationParameter") {
            Json.decodeFromString(CacheEventBatch.serializer(), it)
        }
    }

    private suspend fun <T> get(client: OkHttpClient, url: String, read: (String) -> T): T? =
        runInterruptible(blockingCalls) {
            try {
                client.newCall(Request.Builder().url(url).build()).execute().use { response ->
                    if (response.isSuccessful) read(response.body.string()) else null
                }
            } catch (_: IOException) {
                null
            } catch (_: SerializationException) {
                null
            }
        }

    private suspend fun read(call: Call, tracker: SendTracker, emit: suspend (EngineItem) -> Unit) {
        try {
            call.execute().use { response ->
                if (response.isSuccessful) readEvents(response.body.source(), emit) else emit(refusedItem(response))
            }
        } catch (exception: IOException) {
            emit(EngineItem.Failed(exception.message ?: exception.javaClass.simpleName, tracker.isStarted))
        }
    }

    private fun refusedItem(response: Response) = EngineItem.Refused(response.code, response.body.string())

    private suspend fun readEvents(source: BufferedSource, emit: suspend (EngineItem) -> Unit) {
        var sequence: Long? = null
        var line = source.readUtf8Line()
        while (line != null && line != END_LINE) {
            if (line.startsWith(ID_FIELD)) sequence = line.removePrefix(ID_FIELD).trim().toLongOrNull()
            if (line.startsWith(DATA_FIELD)) emit(EngineItem.Event(sequence, line.removePrefix(DATA_FIELD).trim()))
            line = source.readUtf8Line()
        }
        emit(
            if (line == END_LINE) EngineItem.Done else EngineItem.Failed("the stream ended early", reachedEngine = true)
        )
    }
}
