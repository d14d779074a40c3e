/** Explains the outcome of a request from the log lines of all gateways. */
package org.guavapath.cli

import kotlinx.serialization.Serializable
import java.time.Duration
import java.time.Instant
import java.time.format.DateTimeParseException

/**
 * The outcome of a request and its cause.
 *
 * @property request log lines of the request, in order of time
 * @property circumstances log lines about state changes of the request's gateway and replicas, from shortly before its
 * start until its end
 * @property cause the cause in words
 */
@Serializable
internal data class Explanation(val request: List<String>, val circumstances: List<String>, val cause: String) {
    companion object {
        /** How long before the start of a request a state change may still affect it. */
        private val LOOKBACK = Duration.ofSeconds(3)

        /** Messages about state changes that affect all requests of a gateway. */
        private val GATEWAY_STATE_CHANGES = setOf(
            "configuration in force", "store lost", "store regained", "view adopted", "members", "links", "upstream",
            "weights named", "log lines dropped", "started", "stopping",
        )

        /** Messages that tell why prompts are refused; a quarantine may begin long before a request that it refuses. */
        private val QUARANTINE_MESSAGES =
            setOf("attempt cut off by crash", "quarantine begun", "quarantine ended", "quarantine on trial")

        private val AVAILABILITY_MESSAGES = setOf("replica leaving", "replica paused")

        private const val RATE_EXCEEDED = 4001.0
        private const val PROMPT_QUARANTINED = 5013.0
        private const val REQUEST_QUARANTINED = 5015.0
        private const val ANSWER_INCOMPLETE = 5004.0
        private const val ENDPOINTS_BUSY = 5012.0

        /** Returns the explanation of the request [id] from [lines]; null if no line has its identifier. */
        fun of(id: String, lines: List<LogLine>): Explanation? {
            val requestLines = lines.filter { it.requestId == id }.sortedBy { it.time }
            if (requestLines.isEmpty()) return null
            val gateways = requestLines.map { it.source }.toSet()
            val replicas = requestLines.mapNotNull { it.fields["replica"] }.toSet()
            val start = timeOf(requestLines.first())?.minus(LOOKBACK)
            val end = timeOf(requestLines.last())
            val code = requestLines.last().number("code")
            val isQuarantined = code in setOf(PROMPT_QUARANTINED, REQUEST_QUARANTINED)
            val related = lines.filter { line ->
                val isGatewayStateChange = line.source in gateways && line.message in GATEWAY_STATE_CHANGES
                val isReplicaEvent = line.requestId == null && line.fields["replica"] in replicas
                val isQuarantineEvent = isQuarantined && line.message in QUARANTINE_MESSAGES &&
                    (line.source in gateways || line.message == "attempt cut off by crash")
                val isAvailabilityEvent =
                    code == ENDPOINTS_BUSY && line.source in gateways && line.message in AVAILABILITY_MESSAGES
                (isQuarantineEvent || isAvailabilityEvent) && isWithin(timeOf(line), Instant.MIN, end) ||
                    (isGatewayStateChange || isReplicaEvent) && isWithin(timeOf(line), start, end)
            }
            return Explanation(
                requestLines.map { it.toString() },
                related.sortedBy { it.time }.map { it.toString() },
                causeOf(requestLines),
            )
        }

        private fun isWithin(at: Instant?, start: Instant?, end: Instant?): Boolean =
            at != null && start != null && end != null && at in start..end

        private fun timeOf(line: LogLine): Instant? = try {
            Instant.parse(line.time)
        } catch (_: DateTimeParseException) {
            null
        }

        private fun causeOf(lines: List<LogLine>): String {
            val last = lines.last()
            return when {
                last.number("code") == RATE_EXCEEDED -> rateExceededCause(last)
                last.number("code") == PROMPT_QUARANTINED ->
                    "replicas crashed on prompts with a part of this one: ${last.fields["detail"]}"
                last.number("code") == REQUEST_QUARANTINED ->
                    "replicas crashed each time they ran this request: ${last.fields["detail"]}"
                last.number("code") == ENDPOINTS_BUSY ->
                    "the endpoints took no request: ${last.fields["detail"]}, after ${sends(lines)}"
                last.message == "refused" -> "refused before it was admitted: ${last.fields["detail"]}"
                last.message != "ended" -> "not ended in these lines"
                last.number("code") == ANSWER_INCOMPLETE && "firstEventMs" in last.fields ->
                    "the answer broke off after it had begun: ${last.fields["detail"]}, after ${sends(lines)}"
                else -> endedCause(lines, last)
            }
        }

        private fun rateExceededCause(refused: LogLine): String {
            val workspace = refused.fields["workspace"]
            val bucket = "${refused.fields["tokensLeft"]} of ${refused.fields["burst"]} tokens left, " +
                "${refused.fields["ratePerSecond"]} a second"
            val share = refused.number("rateShare") ?: 1.0
            val partition = if (share < 1) "; the gateway heard a part of the fleet and used $share of the rate" else ""
            return "the limit of workspace $workspace was used up: $bucket$partition"
        }

        private fun endedCause(lines: List<LogLine>, last: LogLine): String {
            val elapsed = last.number("firstEventMs") ?: last.number("milliseconds")
            val expected = lines.firstOrNull { it.message == "dispatched" }?.number("costMs")
            val failed = lines.filter { it.message == "attempt ended" }
                .map { "${it.fields["replica"]} after ${it.fields["afterMs"]} ms: ${it.fields["reason"]}" }
            val attempts = if (failed.isEmpty()) "" else "; given up: ${failed.joinToString("; ")}"
            return "${last.fields["result"]} (${last.fields["status"]}) after ${sends(lines)}, first event or answer " +
                "after $elapsed ms where $expected ms were expected$attempts"
        }

        private fun sends(lines: List<LogLine>): String {
            val count = lines.count { it.message == "dispatched" }
            return if (count == 1) "1 send" else "$count sends"
        }
    }
}
