package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.SampleRequest
import org.guavapath.platform.wire.SampleRoute
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.TimeSource
import kotlin.time.TimeSource.Monotonic.ValueTimeMark

/**
 * A request, a report query or an order that reached a replica, with the first line of its head and its [id].
 *
 * @property salt the salt of its cached parts, null if it has none
 */
internal class ReplicaArrival(val line: String, val id: String?, val salt: String?, val at: ValueTimeMark) {
    /** Whether it is a request of a caller. */
    val isRequest: Boolean get() = SampleRoute.entries.any { it.pathPrefix in line }
}

/**
 * A replica of the sample fleet that responds as it is told.
 *
 * @param name its identity
 */
internal class OutspokenReplica(val name: String) : AutoCloseable {
    private val door = ReplicaDoor { head, _ -> respond(head) }
    private val all = CopyOnWriteArrayList<ReplicaArrival>()
    val address: String get() = door.address

    /** All that has arrived, in order. */
    val arrivals: List<ReplicaArrival> get() = all

    /** Returns the response to a request with an id, null for the usual one. */
    @Volatile
    var response: (id: String) -> String? = { null }

    /** Time until a request is answered. */
    var delay: Duration by door::latency

    /** How long nothing is sent wherever a response has a [ReplicaDoor.SILENCE]. */
    var silence: Duration by door::silence

    /** A line that is added to the head of each response, null for none. */
    @Volatile
    var line: String? = null

    private fun respond(head: List<String>): String {
        val id = SampleFleet.attemptIdIn(head)
        all += ReplicaArrival(head.first(), id, SampleRequest.saltIn(head), TimeSource.Monotonic.markNow())
        val text = when {
            id == null -> SampleFleet.stateResponse(isLoading = false)
            else -> response(id) ?: success(id, isStream = SampleRoute.PROMPTS.pathPrefix in head.first())
        }
        return line?.let { withLine(text, it) } ?: text
    }

    override fun close() = door.close()

    companion object {
        private const val HEXADECIMAL = 16
        private const val EVENT = "id: 1\ndata: a\n\n"

        /** Returns [response] with [line] in its head. */
        fun withLine(response: String, line: String): String = response.replaceFirst("\r\n", "\r\n$line\r\n")

        /** Ends a stream. */
        const val STREAM_END = "0\r\n\r\n"

        /** Returns the event with the number [id] of a stream. */
        fun event(id: Int): String = EVENT.replace("1", "$id").let { "${it.length.toString(HEXADECIMAL)}\r\n$it\r\n" }

        /** Returns a whole successful response to the request [id]. */
        fun success(id: String, isStream: Boolean): String = if (isStream) {
            SampleFleet.responseHead(id, isFramed = true) + event(1) + STREAM_END
        } else {
            SampleRequest.plainResponseHead(id, length = 2) + "{}"
        }

        /** Returns a response that says that the request [id] was not run, with [line] in its head. */
        fun notRun(id: String, line: String): String =
            withLine(SampleRequest.notRunResponse(id, isMisdirected = false), line)
    }
}
