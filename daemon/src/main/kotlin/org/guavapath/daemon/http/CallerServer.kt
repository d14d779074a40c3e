/** The HTTP server for callers. Each request is served by its own thread. */
package org.guavapath.daemon.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.Javalin
import io.javalin.http.Context
import io.javalin.http.HandlerType
import kotlinx.coroutines.runBlocking
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.guavapath.core.identity.RequestId
import org.guavapath.core.results.DispatchCode
import org.guavapath.core.results.InvariantViolation
import org.guavapath.core.results.LimitCode
import org.guavapath.core.results.ProgramCode
import org.guavapath.core.results.RequestCode
import org.guavapath.daemon.pipeline.CallerDisconnectedException
import org.guavapath.daemon.pipeline.CallerRequest
import org.guavapath.daemon.pipeline.HeaderField
import org.guavapath.daemon.pipeline.REQUEST_ID_HEADER
import org.guavapath.daemon.pipeline.Refusal
import org.guavapath.daemon.pipeline.RequestPipeline
import org.guavapath.daemon.pipeline.RequestTarget
import org.guavapath.daemon.pipeline.RunningRequests
import org.guavapath.daemon.pipeline.refuse
import org.guavapath.daemon.settings.DaemonSettings
import java.io.IOException
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicLong

private const val SPARE_THREADS = 50
private const val CONNECTIONS_PER_REQUEST = 4
private val REQUEST_ID_PATTERN = Regex("[A-Za-z0-9._:-]{1,128}")
private val SERVED_METHODS = listOf(
    HandlerType.GET,
    HandlerType.POST,
    HandlerType.PUT,
    HandlerType.PATCH,
    HandlerType.DELETE,
    HandlerType.HEAD,
    HandlerType.OPTIONS,
)

/** Serves callers at the address [DaemonSettings.callers]. */
internal class CallerServer(
    private val settings: DaemonSettings,
    private val incarnation: Long,
    private val pipeline: RequestPipeline,
    private val running: RunningRequests,
    private val isDraining: () -> Boolean,
) {
    private val logger = KotlinLogging.logger {}
    private val nextRequest = AtomicLong()
    private val server: Javalin = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.http.maxRequestSize = settings.limits.bodyBytes
        config.http.compressionStrategy = io.javalin.compression.CompressionStrategy.NONE
        config.jetty.threadPool = QueuedThreadPool(settings.limits.requests + SPARE_THREADS)
        config.jetty.addConnector { jetty, http ->
            http.requestHeaderSize = settings.limits.headerBytes
            http.sendServerVersion = false
            ServerConnector(jetty, HttpConnectionFactory(http)).apply {
                host = settings.callers.host
                port = settings.callers.port
                idleTimeout = settings.limits.slowRequestMilliseconds
            }
        }
        config.jetty.modifyServer { jetty ->
            jetty.errorHandler = ResultCodeErrorHandler()
            jetty.addBean(
                org.eclipse.jetty.server.NetworkConnectionLimit(
                    settings.limits.requests * CONNECTIONS_PER_REQUEST,
                    jetty,
                ),
            )
        }
        SERVED_METHODS.forEach { method ->
            config.routes.addHttpHandler(method, "/") { handle(it) }
            config.routes.addHttpHandler(method, "/<path>") { handle(it) }
        }
    }

    /** Starts listening and returns the port in use. */
    fun start(): Int {
        server.start()
        return server.port()
    }

    fun stop() {
        server.stop()
    }

    private fun handle(context: Context) {
        val responder = ServletResponder(context.res())
        val correlationId = context.header(REQUEST_ID_HEADER)?.takeIf { REQUEST_ID_PATTERN.matches(it) }
        val id = "${settings.vm}-$incarnation-${nextRequest.incrementAndGet()}"
        if (!running.tryReserve()) {
            responder.refuse(Refusal(LimitCode.TooManyRequests), correlationId ?: id)
            return
        }
        try {
            serve(context, responder, correlationId ?: id, id)
        } catch (exception: CallerDisconnectedException) {
            logger.debug(exception) { "request $id ended because the caller disconnected" }
        } catch (exception: InvariantViolation) {
            logger.error(exception) { "request $id failed" }
            responder.failWith(Refusal(ProgramCode.InvariantViolated), correlationId ?: id)
        } finally {
            running.release()
        }
    }

    private fun serve(context: Context, responder: ServletResponder, correlationId: String, id: String) {
        readBody(context).fold(
            success = { body ->
                runBlocking { pipeline.serve(requestOf(context, correlationId, id, body), responder) }
            },
            failure = { responder.refuse(it, correlationId) },
        )
    }

    private fun requestOf(context: Context, correlationId: String, id: String, body: ByteArray) = CallerRequest(
        id = RequestId(id),
        correlationId = correlationId,
        target = RequestTarget(context.req().method, context.req().requestURI, context.queryString()),
        headers = headersOf(context),
        body = body,
    )

    private fun readBody(context: Context): Result<ByteArray, Refusal> {
        val maxBytes = settings.limits.bodyBytes
        return when {
            isDraining() -> Err(Refusal(DispatchCode.Draining))
            context.req().contentLengthLong > maxBytes -> Err(Refusal(RequestCode.BodyTooLarge))
            else -> readAtMost(context, Math.toIntExact(maxBytes))
        }
    }

    private fun readAtMost(context: Context, maxBytes: Int): Result<ByteArray, Refusal> = try {
        val body = context.req().inputStream.readNBytes(maxBytes + 1)
        if (body.size > maxBytes) Err(Refusal(RequestCode.BodyTooLarge)) else Ok(body)
    } catch (exception: IOException) {
        logger.debug(exception) { "failed to read a request body" }
        Err(bodyReadRefusal(exception))
    }

    private fun bodyReadRefusal(exception: IOException): Refusal {
        val isSlow = exception.cause is TimeoutException
        return Refusal(if (isSlow) RequestCode.SlowRequest else RequestCode.MalformedHttp)
    }

    private fun headersOf(context: Context): List<HeaderField> {
        val request = context.req()
        return request.headerNames.asSequence()
            .flatMap { name -> request.getHeaders(name).asSequence().map { HeaderField(name, it) } }
            .toList()
    }

    private fun ServletResponder.failWith(refusal: Refusal, correlationId: String) {
        if (isBegun) abort() else refuse(refusal, correlationId)
    }
}
