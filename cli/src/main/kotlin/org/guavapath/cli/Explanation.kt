/** From a request's identity to its cause, by the log lines of all gateways. */
package org.guavapath.cli

import kotlinx.serialization.Serializable
import java.time.Duration
import java.time.Instant
import java.time.format.DateTimeParseException

/**
 * Why a request ended as it did.
 *
 * @property request lines about the request, in order
 * @property circumstances what the gateway came to believe shortly before, and what happened to the request's replicas
 * @property cause the conclusion in words
 */
@Serializable
internal data class Explanation(val request: List<String>, val circumstances: List<String>, val cause: String) {
    companion object {
        /** What changed this long before a request began may still have decided about it. */
        private val LOOK_BACK = Duration.ofSeconds(3)

        /** Beliefs that touch all requests of a gateway. */
        private val OF_GATEWAY = setOf(
            "configuration in force", "store lost", "store regained", "view adopted", "members", "links", "upstream",
            "weights named", "log lines dropped", "started", "stopping",
        )

        private const val RATE_EXCEEDED = 4001.0
        private const val ANSWER_INCOMPLETE = 5004.0

        /** Returns the explanation of the request [id] by [lines]; null if no line is about it. */
        fun of(id: String, lines: List<LogLine>): Explanation? {
            val own = lines.filter { it.requestId == id }.sortedBy { it.time }
            if (own.isEmpty()) return null
            val gateways = own.map { it.source }.toSet()
            val replicas = own.mapNotNull { it.fields["replica"] }.toSet()
            val begin = timeOf(own.first())?.minus(LOOK_BACK)
            val end = timeOf(own.last())
            val related = lines.filter { line ->
                val isOfGateway = line.source in gateways && line.message in OF_GATEWAY
                val isOfReplica = line.requestId == null && line.fields["replica"] in replicas
                (isOfGateway || isOfReplica) && isWithin(timeOf(line), begin, end)
            }
            return Explanation(
                own.map { it.toString() },
                related.sortedBy { it.time }.map { it.toString() },
                causeOf(own),
            )
        }

        private fun isWithin(at: Instant?, begin: Instant?, end: Instant?): Boolean =
            at != null && begin != null && end != null && at in begin..end

        private fun timeOf(line: LogLine): Instant? = try {
            Instant.parse(line.time)
        } catch (_: DateTimeParseException) {
            null
        }

        private fun causeOf(own: List<LogLine>): String {
            val last = own.last()
            return when {
                last.number("code") == RATE_EXCEEDED -> limit(last)
                last.message == "refused" -> "refused before it was admitted: ${last.fields["detail"]}"
                last.message != "ended" -> "not ended in these lines"
                last.number("code") == ANSWER_INCOMPLETE && "firstEventMs" in last.fields ->
                    "the answer broke off after it had begun: ${last.fields["detail"]}, after ${sends(own)}"
                else -> ended(own, last)
            }
        }

        private fun limit(refused: LogLine): String {
            val workspace = refused.fields["workspace"]
            val bucket = "${refused.fields["tokensLeft"]} of ${refused.fields["burst"]} tokens left, " +
                "${refused.fields["ratePerSecond"]} a second"
            val share = refused.number("rateShare") ?: 1.0
            val part = if (share < 1) "; the gateway heard a part of the fleet and used $share of the rate" else ""
            return "the limit of workspace $workspace was used up: $bucket$part"
        }

        private fun ended(own: List<LogLine>, last: LogLine): String {
            val took = last.number("firstEventMs") ?: last.number("milliseconds")
            val expected = own.firstOrNull { it.message == "dispatched" }?.number("costMs")
            val failed = own.filter { it.message == "attempt ended" }
                .map { "${it.fields["replica"]} after ${it.fields["afterMs"]} ms: ${it.fields["reason"]}" }
            val attempts = if (failed.isEmpty()) "" else "; given up: ${failed.joinToString("; ")}"
            return "${last.fields["result"]} (${last.fields["status"]}) after ${sends(own)}, first event or answer " +
                "after $took ms where $expected ms were expected$attempts"
        }

        private fun sends(own: List<LogLine>): String {
            val count = own.count { it.message == "dispatched" }
            return if (count == 1) "1 send" else "$count sends"
        }
    }
}
