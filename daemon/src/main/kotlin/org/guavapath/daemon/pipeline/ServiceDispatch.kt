/**
 * Forwards a request to a service and relays the response.
 *
 * A non-repeatable request is sent on a new connection and at most once: another endpoint is tried
 * only if no byte of the request can have left this VM.
 */
package org.guavapath.daemon.pipeline

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.runInterruptible
import okhttp3.ConnectionPool
import okhttp3.EventListener
import okhttp3.Interceptor
import okhttp3.MediaType.Companion.toMediaTypeOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.guavapath.core.config.Endpoint
import org.guavapath.core.connections.UnconnectedSocketFactory
import org.guavapath.core.results.DispatchCode
import org.guavapath.core.results.HttpStatus
import org.guavapath.core.results.IdentityCode
import org.guavapath.core.results.ResultCode
import org.guavapath.core.results.Served
import org.guavapath.daemon.blockingCalls
import org.guavapath.daemon.observe.DecisionLog
import java.io.IOException
import java.nio.channels.SocketChannel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

private const val RETRY_AFTER = "Retry-After"
private const val HELD_RETRY_AFTER = "X-Held-Retry-After"
private const val BUFFER_BYTES = 16_384
private val CONNECT_TIMEOUT = 1.seconds
private val READ_TIMEOUT = 60.seconds

/** Request headers forwarded to services. Keys are not among them. */
private val FORWARDED_REQUEST_HEADERS =
    setOf("accept", "accept-language", "content-type", "if-match", "if-none-match", "user-agent", "x-operation")

/** Response headers relayed to callers. */
private val FORWARDED_RESPONSE_HEADERS =
    setOf("cache-control", "content-language", "content-type", "etag", "last-modified", "location", "retry-after")

/** Dispatches requests of service routes. */
internal class ServiceDispatch(private val running: RunningRequests, private val decisions: DecisionLog) {
    private val logger = KotlinLogging.logger {}
    private val repeatableClient = serviceClient()
    private val oneShotClient = repeatableClient.newBuilder()
        .connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS))
        .build()
    private val outstanding = ConcurrentHashMap<String, AtomicInteger>()

    /** Serves [routed] and writes to [responder] unless the result is [DispatchResult.Failed]. */
    suspend fun serve(routed: RoutedRequest, responder: Responder): DispatchResult {
        val endpoints = endpointsOf(routed).sortedBy { outstandingAt(it).get() }
        if (endpoints.isEmpty()) return DispatchResult.Failed(Refusal(DispatchCode.NoEndpoint), usedTokens = 0)
        var last: ServiceResult = ServiceResult.NotRun
        for (endpoint in endpoints) {
            decisions.routedService(routed, endpoint)
            last = attempt(routed, endpoint, responder)
            if (!mayRetry(routed, responder, last)) break
        }
        return resultOf(routed, last)
    }

    private fun endpointsOf(routed: RoutedRequest): List<Endpoint> = routed.route.endpoints
        .mapNotNull { routed.configuration.endpoint(it) }
        .filter { !it.draining }
        .shuffled(Random.Default)

    private fun outstandingAt(endpoint: Endpoint) = outstanding.computeIfAbsent(endpoint.name.text) { AtomicInteger() }

    private fun mayRetry(routed: RoutedRequest, responder: Responder, result: ServiceResult): Boolean =
        when (result) {
            ServiceResult.Complete -> false
            ServiceResult.NotRun -> true
            is ServiceResult.Failed -> routed.route.repeatable && !responder.isBegun && !result.isKeyWithdrawn
        }

    private fun resultOf(routed: RoutedRequest, last: ServiceResult): DispatchResult {
        val tokens = routed.route.tokens
        return when (last) {
            ServiceResult.Complete -> DispatchResult.Served(tokens)
            ServiceResult.NotRun ->
                DispatchResult.Failed(Refusal(DispatchCode.EndpointUnreachable, retryAfter = 1.seconds), usedTokens = 0)
            is ServiceResult.Failed -> DispatchResult.Failed(Refusal(codeOf(routed, last)), tokens)
        }
    }

    private fun codeOf(routed: RoutedRequest, result: ServiceResult.Failed): ResultCode = when {
        result.isKeyWithdrawn -> IdentityCode.KeyWithdrawnMidway
        routed.route.repeatable -> DispatchCode.AnswerIncomplete
        else -> DispatchCode.OutcomeUnknown
    }

    private suspend fun attempt(routed: RoutedRequest, endpoint: Endpoint, responder: Responder): ServiceResult {
        val tracker = ServiceCallTracker()
        val client = if (routed.route.repeatable) repeatableClient else oneShotClient
        val call = client.newCall(outgoingRequest(routed, endpoint, tracker))
        val entry = RunningRequest(routed.key?.hash) { call.cancel() }
        running.add(routed.request.id, entry)
        outstandingAt(endpoint).incrementAndGet()
        return try {
            runInterruptible(blockingCalls) { call.execute() }.use { relayResponse(routed, endpoint, it, responder) }
            if (tracker.isReset) throw IOException("the connection was reset after its end")
            ServiceResult.Complete
        } catch (exception: CallerDisconnectedException) {
            throw exception
        } catch (exception: IOException) {
            logger.info { "request ${routed.request.id} failed at ${endpoint.name}: ${exception.message}" }
            if (tracker.isStarted) ServiceResult.Failed(entry.isKeyWithdrawn) else ServiceResult.NotRun
        } finally {
            outstandingAt(endpoint).decrementAndGet()
            running.remove(routed.request.id)
        }
    }

    private fun outgoingRequest(routed: RoutedRequest, endpoint: Endpoint, tracker: ServiceCallTracker): Request {
        val request = routed.request
        val query = request.target.query?.let { "?$it" }.orEmpty()
        val builder = Request.Builder().url(endpoint.url + request.path + query)
            .tag(ServiceCallTracker::class.java, tracker)
        request.headers.filter { it.name.lowercase() in FORWARDED_REQUEST_HEADERS }
            .forEach { builder.addHeader(it.name, it.value) }
        builder.header(REQUEST_ID_HEADER, request.id.text)
        return builder.method(request.method, bodyOf(request)).build()
    }

    private fun bodyOf(request: CallerRequest): RequestBody? = when (request.method) {
        "GET", "HEAD" -> null
        else -> request.body.toRequestBody(request.header("Content-Type")?.toMediaTypeOrNull())
    }

    private fun relayResponse(routed: RoutedRequest, endpoint: Endpoint, response: Response, responder: Responder) {
        val forwarded = response.headers.filter { it.first.lowercase() in FORWARDED_RESPONSE_HEADERS }
            .map { HeaderField(it.first, it.second) }
        val added = listOf(
            HeaderField(RESULT_HEADER, Served.number.toString()),
            HeaderField(REQUEST_ID_HEADER, routed.request.correlationId),
            HeaderField("X-Guavapath-Endpoint", endpoint.name.text),
        )
        val source = response.body.source()
        val buffer = ByteArray(BUFFER_BYTES)
        var size = source.read(buffer)
        responder.begin(response.code, forwarded + added)
        while (size >= 0) {
            responder.write(buffer.copyOf(size))
            size = source.read(buffer)
        }
    }
}

/** Returns a client for services. A call is tracked by the [ServiceCallTracker] that its request is tagged with. */
internal fun serviceClient(): OkHttpClient = OkHttpClient.Builder()
    .retryOnConnectionFailure(false)
    .followRedirects(false)
    .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
    .readTimeout(READ_TIMEOUT.toJavaDuration())
    .socketFactory(UnconnectedSocketFactory { SocketChannel.open().socket() })
    .eventListenerFactory { it.request().tag(ServiceCallTracker::class.java) ?: EventListener.NONE }
    .addInterceptor(RetryAfterHolder.Restore)
    .addNetworkInterceptor(RetryAfterHolder.Hold)
    .addNetworkInterceptor(ValidStatus)
    .build()

/** How one attempt at a service ended. */
private sealed class ServiceResult {
    /** The response was relayed to the caller. */
    data object Complete : ServiceResult()

    /** No byte of the request left this VM. */
    data object NotRun : ServiceResult()

    /** The attempt failed after the endpoint may have run the request. */
    class Failed(val isKeyWithdrawn: Boolean) : ServiceResult()
}

/** Fails a response whose status is none of HTTP; the client takes any three digits. */
private val ValidStatus = Interceptor { chain ->
    val response = chain.proceed(chain.request())
    if (response.code !in HttpStatus.NUMBERS) response.use { throw IOException("the status is ${it.code}") }
    response
}

/**
 * Renames `Retry-After` while the HTTP client handles a response, which would otherwise resend the
 * request by itself if the header is 0.
 */
private object RetryAfterHolder {
    /** Renames the header as the response comes in from the network. */
    val Hold = Interceptor { chain -> chain.proceed(chain.request()).renamed(RETRY_AFTER, HELD_RETRY_AFTER) }

    /** Restores the header once the client has handled the response. */
    val Restore = Interceptor { chain -> chain.proceed(chain.request()).renamed(HELD_RETRY_AFTER, RETRY_AFTER) }

    private fun Response.renamed(from: String, to: String): Response {
        val value = header(from) ?: return this
        return newBuilder().removeHeader(from).header(to, value).build()
    }
}
