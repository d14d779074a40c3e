package org.guavapath.daemon.gateway

import com.github.michaelbull.result.getOrElse
import org.guavapath.core.fleet.CallerLimits
import org.guavapath.core.fleet.FleetConfiguration
import org.guavapath.core.fleet.FleetRequest
import org.guavapath.core.fleet.FleetRoute
import org.guavapath.core.fleet.FleetWorkspace
import org.guavapath.core.identity.KeyHash
import org.guavapath.core.identity.RequestId
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

/** Takes requests from callers: checks form, route, key and limit in turn, and starts an exchange. */
internal class Reception(
    private val context: ExchangeContext,
    private val operator: OperatorState,
) : FrontDoor {
    private val connections = HashSet<CallerConnection>()

    override var isDraining = false
        private set

    override val callerLimits: CallerLimits get() = operator.configuration?.callerLimits ?: LIMITS_AT_START

    override fun opened(connection: CallerConnection) {
        connections.add(connection)
    }

    override fun closed(connection: CallerConnection) {
        connections.remove(connection)
    }

    /** From now on, connections end after the request that they carry. */
    fun drain() {
        isDraining = true
    }

    /** Closes the connections that carry no request, and returns how many are left. */
    fun closeIdle(): Int {
        connections.toList().forEach { it.closeIfIdle() }
        return connections.size
    }

    override fun serve(request: IncomingRequest, sink: AnswerSink): RunningExchange? = try {
        val exchange = Exchange(context, admit(request), sink)
        exchange.start()
        exchange
    } catch (refused: Refused) {
        val id = RequestCodec.decode({ request.headers.get(it) }, request.receivedAt).getOrElse { null }?.id
        refuse(refused, id, request, sink)
        null
    }

    private fun admit(request: IncomingRequest): AdmittedRequest {
        val active = operator.configuration ?: refuse(Refusal(DispatchCode.NotConfigured, retryAfter = START_PAUSE))
        request.fault()?.let { refuse(Refusal(RequestCode.MalformedHttp, it)) }
        val route = active.route(request.host, request.path) ?: refuse(Refusal(RequestCode.RouteNotFound))
        val workspace = workspace(active, route, request)
        val decoded = RequestCodec.decode({ request.headers.get(it) }, request.receivedAt)
            .getOrElse { refuse(Refusal(RequestCode.InvalidRequest, it)) }
        val service = route.targetFor(decoded.id)?.let { active.services[it] }
            ?: refuse(Refusal(DispatchCode.NoEndpoint))
        val cost = workspace?.let { charge(it, decoded) } ?: 0
        val destination = Destination(service, active.cacheStore)
        return AdmittedRequest(request, decoded, route, destination, workspace, cost)
    }

    private fun workspace(active: FleetConfiguration, route: FleetRoute, request: IncomingRequest): FleetWorkspace? {
        if (active.workspaces == null || route.isOpen) return null
        val key = RequestCodec.key { request.headers.get(it) } ?: refuse(Refusal(IdentityCode.KeyMissing))
        return active.workspace(KeyHash.of(key)) ?: refuse(Refusal(IdentityCode.KeyUnknown))
    }

    private fun charge(workspace: FleetWorkspace, request: FleetRequest): Long {
        val prompt = request.prompt
        val tokens = when {
            !workspace.countsTokens -> 1
            prompt == null -> workspace.plainTokens
            else -> prompt.promptTokens + prompt.largestOutput
        }
        val cost = RequestCost(tokens, isPlain = prompt == null)
        return when (val verdict = context.fleet.quota.admit(workspace.name, cost, MonotonicTime.now())) {
            QuotaVerdict.Admitted -> tokens
            is QuotaVerdict.Exhausted -> throw Refused(
                Refusal(LimitCode.RateExceeded, retryAfter = verdict.retryAfter),
                LimitInputs(workspace.name, tokens, verdict.bucket),
            )
        }
    }

    private fun refuse(refused: Refused, id: RequestId?, request: IncomingRequest, sink: AnswerSink) {
        val active = operator.configuration
        val route = active?.route(request.host, request.path)?.name
        context.records.log.refused(id, refused.refusal, active?.version, route, refused.limit)
        context.records.metrics.refused(refused.refusal.code)
        sink.refuse(refused.refusal, id)
    }

    private companion object {
        /** A configuration comes within a few hundred milliseconds of the start if the store can be reached. */
        val START_PAUSE = 300.milliseconds
        val LIMITS_AT_START = CallerLimits(
            headerBytes = 16_384,
            bodyBytes = 4_194_304,
            headerTimeout = 3.seconds,
            idleTimeout = 15.seconds,
        )
    }
}

/** The reason to refuse a request, thrown from the checks of [Reception] only. */
private class Refused(val refusal: Refusal, val limit: LimitInputs? = null) :
    Exception(refusal.detail, null, false, false)

private fun refuse(refusal: Refusal): Nothing = throw Refused(refusal)
