package org.guavapath.daemon.gateway

import com.github.michaelbull.result.getOrElse
import org.guavapath.core.fleet.CallerLimits
import org.guavapath.core.fleet.FleetConfiguration
import org.guavapath.core.fleet.FleetRequest
import org.guavapath.core.fleet.FleetRoute
import org.guavapath.core.fleet.FleetWorkspace
import org.guavapath.core.identity.KeyHash
import org.guavapath.core.identity.RequestId
import org.guavapath.core.memory.BodyBudget
import org.guavapath.core.quota.QuotaVerdict
import org.guavapath.core.quota.RequestCost
import org.guavapath.core.results.DispatchCode
import org.guavapath.core.results.IdentityCode
import org.guavapath.core.results.LimitCode
import org.guavapath.core.results.RequestCode
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal
import org.guavapath.platform.wire.RequestCodec
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Admits callers' requests: checks syntax, route, key and rate limit in turn, then starts an [Exchange]. */
internal class AdmissionHandler(
    private val context: ExchangeContext,
    private val operator: OperatorState,
) : RequestHandler {
    override val connections = CallerConnections()
    override val bodies = BodyBudget.ofHeap(Runtime.getRuntime().maxMemory())
    override val callerLimits: CallerLimits get() = operator.configuration?.callerLimits ?: STARTUP_CALLER_LIMITS

    override fun failed(cause: Throwable) {
        endIfOutOfMemory(cause)
        context.telemetry.log.requestFailed(cause)
    }

    override fun leftUnanswered(unanswered: UnansweredRequests) {
        val ids = unanswered.requests.map { decode(it).getOrElse { null }?.id?.text }
        val version = operator.configuration?.version
        context.telemetry.log.unanswered(unanswered, ids, version, operator.configuredAt)
        context.telemetry.metrics.count("guavapath.gateway.unanswered", "end", unanswered.end.name.lowercase())
    }

    override fun misplacedWrite(request: IncomingRequest?, write: String, state: ResponseState) {
        val id = request?.let { decode(it).getOrElse { null }?.id }
        context.telemetry.log.misplacedWrite(id, write, state)
        context.telemetry.metrics.count("guavapath.gateway.misplaced.writes", "state", state.name.lowercase())
    }

    override fun serve(request: IncomingRequest, sink: ResponseSink): RunningExchange? = try {
        val exchange = Exchange(context, admit(request), sink)
        exchange.start()
        exchange
    } catch (refused: RefusedException) {
        val id = decode(request).getOrElse { null }?.id
        record(refused, id, request)
        sink.refuse(refused.refusal, id)
        null
    }

    private fun admit(request: IncomingRequest): AdmittedRequest {
        if (connections.isStopped) refuse(Refusal(DispatchCode.Draining, retryAfter = STARTUP_RETRY_AFTER))
        val configuration = operator.configuration
            ?: refuse(Refusal(DispatchCode.NotConfigured, retryAfter = STARTUP_RETRY_AFTER))
        request.validate()?.let { refuse(Refusal(RequestCode.MalformedHttp, it)) }
        val route = configuration.route(request.host, request.path) ?: refuse(Refusal(RequestCode.RouteNotFound))
        val workspace = workspace(configuration, route, request)
        val decoded = decode(request).getOrElse { refuse(Refusal(RequestCode.InvalidRequest, it)) }
        val service = route.targetFor(decoded.id)?.let { configuration.services[it] }
            ?: refuse(Refusal(DispatchCode.NoEndpoint))
        val cost = workspace?.let { charge(it, decoded) } ?: 0
        val destination = Destination(service, configuration.cacheStore)
        return AdmittedRequest(request, decoded, route, destination, workspace, cost)
    }

    private fun decode(request: IncomingRequest) = RequestCodec.decode({ request.headers.get(it) }, request.receivedAt)

    private fun workspace(
        configuration: FleetConfiguration,
        route: FleetRoute,
        request: IncomingRequest,
    ): FleetWorkspace? {
        if (configuration.workspaces == null || route.isOpen) return null
        val key = RequestCodec.key { request.headers.get(it) } ?: refuse(Refusal(IdentityCode.KeyMissing))
        return configuration.workspace(KeyHash.of(key)) ?: refuse(Refusal(IdentityCode.KeyUnknown))
    }

    private fun charge(workspace: FleetWorkspace, request: FleetRequest): Long {
        val prompt = request.prompt
        val tokens = when {
            !workspace.countsTokens -> 1
            prompt == null -> workspace.plainTokens
            else -> prompt.promptTokens + prompt.maxOutputTokens
        }
        val cost = RequestCost(tokens, isPlain = prompt == null)
        return when (val verdict = context.fleet.quota.admit(workspace.name, cost, MonotonicTime.now())) {
            QuotaVerdict.Admitted -> tokens
            is QuotaVerdict.Exhausted -> throw RefusedException(
                Refusal(LimitCode.RateExceeded, retryAfter = verdict.retryAfter),
                ExceededLimit(workspace.name, tokens, verdict.bucket),
            )
        }
    }

    override fun refusedUnread(request: IncomingRequest, refusal: Refusal) =
        record(RefusedException(refusal), decode(request).getOrElse { null }?.id, request)

    private fun record(refused: RefusedException, id: RequestId?, request: IncomingRequest) {
        val configuration = operator.configuration
        val route = configuration?.route(request.host, request.path)?.name
        context.telemetry.log.refused(id, refused.refusal, configuration?.version, route, refused.limit)
        context.telemetry.metrics.refused(refused.refusal.code)
    }

    private companion object {
        /** With a reachable store, the configuration arrives within a few hundred milliseconds of the start. */
        val STARTUP_RETRY_AFTER = 300.milliseconds
        val STARTUP_CALLER_LIMITS = CallerLimits(
            headerBytes = 16_384,
            bodyBytes = 4_194_304,
            headerTimeout = 3.seconds,
            idleTimeout = 15.seconds,
        )
    }
}

/** Carries a refusal out of the checks of [AdmissionHandler]; never leaves that class. */
private class RefusedException(val refusal: Refusal, val limit: ExceededLimit? = null) :
    Exception(refusal.detail, null, false, false)

private fun refuse(refusal: Refusal): Nothing = throw RefusedException(refusal)
