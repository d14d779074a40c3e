package org.guavapath.core.quarantine

import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.FleetClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a history showed, and which bounds it broke. */
internal class HistoryRecord(
    private val case: HistoryCase,
    private val clock: FleetClock,
    private val trace: ((MonotonicTime, String) -> Unit)?,
) {
    /** Crashes by each cause; and those that were no trials. */
    private val crashes = HashMap<Suspect, Int>()
    private val untried = HashMap<Suspect, Int>()
    private val broken = LinkedHashMap<String, String>()

    /** The most crashes by one cause. */
    val mostCrashes: Int get() = crashes.values.maxOrNull() ?: 0
    var soundRefused = 0
        private set

    /** The first breach of each bound, in the order in which they came. */
    val breaches: List<String> get() = broken.values.toList()

    fun decided(request: HistoryRequest, gateway: HistoryGateway, verdict: QuarantineVerdict) {
        val cause = request.cause
        if (cause != null) {
            deadlyDecided(request, cause, gateway, verdict)
        } else if (verdict == QuarantineVerdict.Allowed) {
            gateway.refusedSince.remove(request.kind)
        } else {
            soundDecided(request, gateway, verdict)
        }
    }

    private fun deadlyDecided(
        request: HistoryRequest,
        cause: Suspect,
        gateway: HistoryGateway,
        verdict: QuarantineVerdict,
    ) {
        val heard = gateway.heard[cause]?.size ?: 0
        val text = text(request, gateway, verdict) + ", $heard crashes heard"
        trace?.invoke(clock.now, text)
        val allowed = when {
            verdict != QuarantineVerdict.Trial -> case.allowedCrashes
            case.isWholeRequest -> HELD_REQUEST
            else -> HELD_PART
        }
        if (verdict is QuarantineVerdict.Held || heard < allowed) return
        breach("sent after the last crash", "$text: ${known(gateway, cause)}")
    }

    /** Returns when the replicas that [cause] has ended were sent the first request with it, and ended. */
    private fun known(gateway: HistoryGateway, cause: Suspect): String {
        val reports = gateway.quarantine.reports.filter { cause in it.suspects }.groupBy { it.incarnation }
        return reports.entries.joinToString { (incarnation, ofReplica) ->
            val sentAt = ofReplica.minOf { it.sentAt }
            "${incarnation.id} ${sentAt.microseconds}..${ofReplica.minOf { it.at }.microseconds} us"
        }
    }

    private fun soundDecided(request: HistoryRequest, gateway: HistoryGateway, verdict: QuarantineVerdict) {
        val text = text(request, gateway, verdict)
        trace?.invoke(clock.now, text)
        if (case.deadlyCallers == 0) breach("held without a cause", text)
        if (verdict !is QuarantineVerdict.Held) {
            gateway.refusedSince.remove(request.kind)
            return
        }
        soundRefused += 1
        val since = gateway.refusedSince.getOrPut(request.kind) { clock.now }
        if (clock.now - since > LONGEST_REFUSAL) breach("sound refused for more than $LONGEST_REFUSAL", text)
        val isFound = case.isCalm && mostCrashes >= HistoryCase.ALLOWED_BY_PART
        if (isFound) breach("sound refused after the fifth crash", text)
    }

    private fun text(request: HistoryRequest, gateway: HistoryGateway, verdict: QuarantineVerdict): String {
        val decision = when (verdict) {
            is QuarantineVerdict.Held ->
                "held for ${verdict.timeLeft}: ${verdict.suspects}, ${verdict.crashes.map { it.incarnation }}"
            else -> "$verdict"
        }
        return "gateway ${gateway.number}: ${request.name}: $decision"
    }

    fun crashed(replica: HistoryReplica, by: HistoryRun?, lost: List<HistoryRun>) {
        trace?.invoke(
            clock.now,
            "${replica.incarnation} ends by ${by?.request?.name} with ${lost.map { it.request.name }}"
        )
        val cause = by?.request?.cause ?: return
        crashes.merge(cause, 1, Int::plus)
        if (!by.isTrial) untried.merge(cause, 1, Int::plus)
        if (!case.isCalm) return
        if (crashes.getValue(cause) > maxOf(case.allowedCrashes, case.calmCrashes)) {
            breach("more crashes than allowed", "${crashes[cause]} crashes by $cause")
        }
        if ((untried[cause] ?: 0) > case.calmCrashes) {
            breach(
                "too many crashes but for trials",
                "${untried[cause]} crashes by $cause, at most ${case.calmCrashes}"
            )
        }
    }

    private fun breach(bound: String, text: String) {
        if (bound in broken) return
        broken[bound] = "$bound: at ${(clock.now - MonotonicTime.ZERO).inWholeMilliseconds} ms: $text"
        trace?.invoke(clock.now, "BREACH " + broken[bound])
    }

    private companion object {
        val LONGEST_REFUSAL: Duration = 30.seconds

        /** Crashes by one cause after which nothing is sent for a day. */
        const val HELD_PART = 5
        const val HELD_REQUEST = 6
    }
}
