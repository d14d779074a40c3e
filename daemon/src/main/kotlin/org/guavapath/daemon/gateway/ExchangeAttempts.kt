package org.guavapath.daemon.gateway

import org.guavapath.core.dispatch.Admission
import org.guavapath.core.dispatch.AdmissionDecision
import org.guavapath.core.dispatch.SendHistory
import org.guavapath.core.fleet.CacheScope
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.placement.PlacementRequest
import org.guavapath.core.placement.PlacementResult
import org.guavapath.core.placement.ScoredReplica
import org.guavapath.core.results.DispatchCode
import org.guavapath.core.results.ProgramCode
import org.guavapath.core.throttling.PermitDecision
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tracks the replicas that one request was sent to, and chooses the next one.
 *
 * @param onRefused called if there is no replica to send the request to
 */
internal class ExchangeAttempts(
    private val context: ExchangeContext,
    private val admitted: AdmittedRequest,
    private val relay: ResponseRelay,
    private val onEvent: (Attempt, AttemptEvent) -> Unit,
    private val onRefused: (Refusal) -> Unit,
) {
    private val history = SendHistory(admitted.route.retryPolicy, admitted.route.maxReplicas)
    private val instructions = InstructionsFactory(context, admitted)
    private val tried = HashSet<ReplicaId>()
    private val quarantine = QuarantineRefusals(context, admitted)
    private var searches = 0

    /** Whether a retry was taken from the budget for which the request has not been sent yet. */
    private var hasRetry = false

    /** The attempts that have not ended. */
    val running = RunningAttempts { attempt, reason -> context.telemetry.log.attemptEnded(admitted, attempt, reason) }
    val sends: Int get() = history.sends
    val isKnownNotRun: Boolean get() = history.isKnownNotRun

    /** Whether the request shows whether a part of its prompt, quarantined until now, still crashes replicas. */
    var isTrial = false
        private set

    /** Returns how the request is refused if it would not be sent any more, null if it would. */
    val refusalSinceSent: Refusal? get() = quarantine.ofNow()

    /** Whether the request has ended and is not sent any more. */
    var isOver = false

    /** Whether the request may be sent to another replica at all, whatever the time and the budget. */
    val allowsAnotherSend: Boolean get() = history.allowsAnotherSend

    /** Sends the request, soon, to the best replica not yet tried that takes it, or refuses it. */
    fun sendNext() {
        val search = ++searches
        ifStillWanted(search) { sendToBest(search) }
    }

    /** Records that the response has advanced by [attempt]: the request is not sent anywhere else. */
    fun advanced(attempt: Attempt) {
        if (running.silent == null) return
        searches += 1
        listOfNotNull(running.silent, running.current).forEach(::countPossibleRun)
        running.advanced(attempt)
    }

    /**
     * Calls [then] soon, if the caller still waits for this [search] and the request can begin in time; refuses the
     * request if it cannot.
     *
     * A loop that is late handles responses before timers, and in no order among connections.
     */
    private fun ifStillWanted(search: Int, then: () -> Unit) = context.loop.afterNextPoll {
        when {
            isOver || search != searches -> Unit
            admitted.dueAt - MonotonicTime.now() < MIN_TIME_TO_BEGIN ->
                onRefused(Refusal(DispatchCode.DeadlinePassed, "no time is left"))
            else -> runCatching(then).onFailure {
                context.telemetry.log.requestFailed(it)
                onRefused(Refusal(ProgramCode.InternalError))
            }
        }
    }

    private fun sendToBest(search: Int) {
        quarantine.ofNow()?.let { return onRefused(it) }
        val scope = context.cacheScope(admitted.workspace)
        val placementRequest = PlacementRequest(
            admitted.service.name,
            admitted.request.prompt,
            scope,
            tried,
            admitted.destination.cacheStore,
            context.permits.closedReplicas,
        )
        when (val result = context.fleet.placement.choose(placementRequest, MonotonicTime.now())) {
            is PlacementResult.NoReplica -> onRefused(Refusal(DispatchCode.NoEndpoint, result.reason))
            is PlacementResult.AllClosed -> waitOrRefuse(search)
            is PlacementResult.Chosen ->
                overloadRefusal(result.chosen)?.let(onRefused) ?: sendIfPermitted(search, result, scope)
        }
    }

    /** Waits for the first replica that takes requests again if the response can still be on time. */
    private fun waitOrRefuse(search: Int) {
        val now = MonotonicTime.now()
        val pauseEnd = context.fleet.replicas.firstPauseEnd(admitted.service.name, now, tried)
            ?: return onRefused(
                Refusal(DispatchCode.EndpointsAtRate, retryAfter = context.timeToReturn(admitted.service)),
            )
        val latestStart = admitted.request.receivedAt + admitted.route.targetLatency / 2
        val waitsUntil = if (relay.hasBegun) admitted.dueAt else minOf(latestStart, admitted.dueAt)
        if (pauseEnd + MIN_TIME_TO_BEGIN < waitsUntil) {
            val delay = (pauseEnd - now).inWholeMilliseconds + 1
            context.loop.schedule({ ifStillWanted(search) { sendToBest(search) } }, delay, TimeUnit.MILLISECONDS)
        } else {
            val detail = "no replica takes requests for ${(pauseEnd - now).inWholeMilliseconds} ms"
            onRefused(Refusal(DispatchCode.EndpointsBusy, detail, context.timeToReturn(admitted.service, pauseEnd)))
        }
    }

    /** Sends the request at once if its replica has named no rate, otherwise once there is a permit. */
    private fun sendIfPermitted(search: Int, result: PlacementResult.Chosen, scope: CacheScope) {
        val replica = result.chosen.record.entry
        val rate = context.fleet.rates.rate(replica.incarnation) ?: return send(search, result, scope)
        context.permits.request(replica) { decision ->
            val isGranted = decision is PermitDecision.Granted
            context.telemetry.metrics.count("guavapath.gateway.permits", "granted", isGranted.toString())
            if (decision is PermitDecision.Denied) {
                context.telemetry.log.permitDenied(admitted, replica.id, rate, decision)
            }
            when {
                isOver -> Unit
                decision is PermitDecision.Granted -> ifStillWanted(search) { send(search, result, scope) }
                else -> ifStillWanted(search) { sendToBest(search) }
            }
        }
    }

    /** Returns a refusal if the response would be late, unless it has begun or the request has no prompt. */
    private fun overloadRefusal(chosen: ScoredReplica): Refusal? {
        val timeLeft = admitted.dueAt - MonotonicTime.now()
        val target = admitted.route.targetLatency
        val decision = Admission.decide(chosen.expected, target, timeLeft, wasSent = history.sends > 0)
        return (decision as? AdmissionDecision.Refuse)?.takeIf { !relay.hasBegun && admitted.request.prompt != null }
            ?.let { Refusal(DispatchCode.EndpointsBusy, "first event expected in ${chosen.expected}", it.retryAfter) }
    }

    /**
     * Returns whether the request may be sent to another replica.
     *
     * @param hasArrived whether the last attempt reached its replica; the retry then counts against the fleet's budget
     */
    fun mayRetry(hasArrived: Boolean): Boolean {
        val hasTime = admitted.dueAt - MonotonicTime.now() > MIN_TIME_FOR_RETRY
        if (!history.allowsAnotherSend || !hasTime || !hasArrived) return history.allowsAnotherSend && hasTime
        hasRetry = hasRetry || context.takeRetry(admitted.service)
        return hasRetry
    }

    /** Records that the replica of [attempt] may have run the request; each attempt counts once. */
    fun countPossibleRun(attempt: Attempt) {
        if (!attempt.isCountedAsRun) history.mayHaveRun()
        attempt.isCountedAsRun = true
    }

    private fun send(search: Int, result: PlacementResult.Chosen, scope: CacheScope) {
        // While the request waited for a permit, its replica or the configuration may have changed.
        val replica = result.chosen.record
        val isTaken = !replica.entry.isDraining && context.availability.refusal(replica.entry) == null
        if (!isTaken || scope != context.cacheScope(admitted.workspace)) return sendToBest(search)
        history.sent()
        hasRetry = false
        tried.add(result.chosen.record.entry.id)
        val namedRate = context.fleet.rates.rate(result.chosen.record.entry.incarnation)
        context.telemetry.log.dispatched(admitted, result, history.sends, namedRate, context.fleet.weights)
        val holdNow = { quarantine.beforeSend { isTrial = true } }
        val attempt = Attempt(context, admitted, result.chosen, relay.newPart(), holdNow, onEvent)
        // A response that has not begun can still be refused, and the two replicas would both read the prompt.
        running.sent(attempt, keepsSilent = relay.hasBegun)
        attempt.start(instructions.of(result.chosen, relay.resumeAfter))
        context.requestSent()
    }

    private companion object {
        val MIN_TIME_FOR_RETRY = 50.milliseconds

        /** A request takes a few milliseconds to its replica. */
        val MIN_TIME_TO_BEGIN = 5.milliseconds
    }
}
