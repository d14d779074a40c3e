package org.guavapath.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpVersion
import org.guavapath.core.fleet.CallerLimits
import org.guavapath.core.memory.BodyBudget
import org.guavapath.core.results.DispatchCode
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Serves the requests of one connection without a network; the test writes the responses. */
class CallerRequestsTest {
    /** A connection of a caller. [onServe] is called with the writer of each request as it is served. */
    private class Connection(private val onServe: (ResponseSink) -> Unit = {}) : RequestHandler {
        private val channel = EmbeddedChannel(HttpResponseEncoder())
        private val pauses = ReadingPauses(channel)
        private val requests = CallerRequests(channel, this, pauses, { ends += it }, onLast = { ends += null })
        private val text = StringBuilder()
        val sinks = ArrayList<ResponseSink>()
        val failures = ArrayList<Throwable>()
        val misplaced = ArrayList<String>()

        /** Why the gateway wants the connection closed; null for its last response. */
        val ends = ArrayList<ConnectionEnd?>()

        override val callerLimits = CallerLimits(16_384, 1_024, headerTimeout = 2.seconds, idleTimeout = 5.seconds)
        override val connections = CallerConnections()
        override val bodies = BodyBudget(bytes = 1_024)

        override fun serve(request: IncomingRequest, sink: ResponseSink): RunningExchange? {
            sinks += sink
            onServe(sink)
            return null
        }

        override fun failed(cause: Throwable) {
            failures += cause
        }

        override fun refusedUnread(request: IncomingRequest, refusal: Refusal) = error("unused")

        override fun leftUnanswered(unanswered: UnansweredRequests) = error("unused")

        override fun misplacedWrite(request: IncomingRequest?, write: String, state: ResponseState) {
            misplaced += write
        }

        fun request(method: HttpMethod = HttpMethod.GET) {
            val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/")
            requests.add(IncomingRequest(head, MonotonicTime.now()))
        }

        /** Returns all that was written to the caller since the last call, and has further requests served. */
        fun received(): String {
            channel.runPendingTasks()
            generateSequence { channel.readOutbound<ByteBuf>() }.forEach {
                text.append(it.toString(Charsets.UTF_8))
                it.release()
            }
            return text.toString().also { text.clear() }
        }
    }

    private class Write(val name: String, val write: ResponseSink.() -> Unit)

    private class Progress(val name: String, val begin: ResponseSink.() -> Unit, val finish: ResponseSink.() -> Unit)

    /** Guards against writing what belongs to a request that has its response into the response to the next one. */
    @Test
    fun aLateWriteOfAnEndedRequestDoesNotReachTheNextResponse() {
        val writes = listOf(
            Write("a response") { writeFull(OK, "late".toByteArray()) },
            Write("a refusal") { refuse(Refusal(DispatchCode.EndpointTimeout, "late"), id = null) },
            Write("the beginning of a stream") { begin(OK) },
            Write("a chunk") { writeChunk("late".toByteArray()) },
            Write("the end of a stream") { end() },
            Write("an abort") { abort() },
        )
        val ends = listOf(
            Write("a whole response") { writeFull(OK, "first".toByteArray()) },
            Write("a stream") { stream("first") },
            Write("a refusal") { refuse(Refusal(DispatchCode.NoEndpoint), id = null) },
        )
        val progress = listOf(
            Progress("waits", begin = {}) { writeFull(OK, "next".toByteArray()) },
            Progress("has begun", begin = { begin(OK) }) {
                writeChunk("next".toByteArray())
                end()
            },
        )
        val cases = writes.flatMap { late -> ends.flatMap { first -> progress.map { Triple(late, first, it) } } }
        val wrong = cases.mapNotNull { (late, first, next) ->
            val expected = exchange(first, next, late = null)
            val found = runCatching { exchange(first, next, late) }.getOrElse { "$it" }
            "${late.name} after ${first.name}, the next ${next.name}: $found".takeIf { found != expected }
        }
        assertTrue(wrong.isEmpty(), "${wrong.size} cases\n${wrong.joinToString("\n")}")
    }

    /** Returns what the caller receives to two requests, with a [late] write for the first as the second is served. */
    private fun exchange(first: Write, next: Progress, late: Write?): String {
        val connection = Connection()
        connection.request()
        first.write(connection.sinks[0])
        connection.received()
        connection.request()
        val sink = connection.sinks[1]
        next.begin(sink)
        late?.write?.invoke(connection.sinks[0])
        next.finish(sink)
        connection.request()
        assertEquals(if (late == null) 0 else 1, connection.misplaced.size, "refused writes: ${connection.misplaced}")
        return "${connection.received()}ends ${connection.ends}, ${connection.sinks.size} served"
    }

    /** Guards against a body in the response to a HEAD request, which callers take for the next response. */
    @Test
    fun aResponseToAHeadRequestEndsWithItsHead() {
        val cases = listOf(
            Write("a whole response") { writeFull(OK, "body".toByteArray()) },
            Write("a response without a body") { writeFull(OK, ByteArray(0)) },
            Write("a stream") { stream("body") },
            Write("an empty stream") {
                begin(OK)
                end()
            },
            Write("a refusal") { refuse(Refusal(DispatchCode.NoEndpoint), id = null) },
            Write("an exception") { error("no answer") },
        )
        val wrong = cases.mapNotNull { case ->
            val connection = Connection(case.write)
            connection.request(HttpMethod.HEAD)
            val text = connection.received()
            val rest = text.substringAfter("\r\n\r\n")
            "${case.name}: $rest".takeIf { rest.isNotEmpty() || !text.startsWith("HTTP/1.1 ") }
        }
        assertTrue(wrong.isEmpty(), wrong.joinToString("\n"))
    }

    /** Guards against an exception after the beginning of a response that completes it for the caller. */
    @Test
    fun anExceptionBreaksOffAResponseThatHasBegun() {
        val cases = listOf(
            Write("a head") { begin(OK) },
            Write("a part") {
                begin(OK)
                writeChunk("part".toByteArray())
            },
        )
        cases.forEach { case ->
            val connection = Connection {
                case.write(it)
                error("no answer")
            }
            connection.request()
            val text = connection.received()
            assertFalse(text.endsWith("0\r\n\r\n"), "${case.name} ends as a whole response: $text")
            assertEquals(listOf<ConnectionEnd?>(ConnectionEnd.BROKEN_OFF), connection.ends, case.name)
            assertEquals(1, connection.failures.size, case.name)
        }
    }

    /** An exception before a response has begun is answered, and one after its end changes nothing. */
    @Test
    fun anExceptionBesideAResponseIsAnsweredOnce() {
        val cases = mapOf(
            Write("nothing") {} to "500",
            Write("a response") { writeFull(OK, "body".toByteArray()) } to "200",
            Write("a stream") { stream("body") } to "200",
        )
        cases.forEach { (case, status) ->
            val connection = Connection {
                case.write(it)
                error("no answer")
            }
            connection.request()
            val heads = Regex("HTTP/1.1 ([0-9]+)").findAll(connection.received()).map { it.groupValues[1] }.toList()
            assertEquals(listOf(status), heads, case.name)
            assertEquals(emptyList(), connection.ends, case.name)
        }
    }

    private companion object {
        val OK = ResponseHead(200, emptyList())

        fun ResponseSink.stream(text: String) {
            begin(OK)
            writeChunk(text.toByteArray())
            end()
        }
    }
}
