package org.guavapath.daemon.gateway

import io.netty.handler.codec.http.HttpMethod
import org.guavapath.platform.wire.SampleFleet
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class ReplicaConnectionTest {
    private fun success(id: String?, body: String = "success") = SampleFleet.plainResponse(id, body)

    private fun failure(id: String?, body: String = "failure") =
        SampleFleet.plainResponse(id, body, status = "500 Internal Server Error")

    private fun result(request: DrivenRequest): String = when (val delivery = request.delivery) {
        is Delivery.Whole -> "${delivery.status} ${delivery.body}"
        is Delivery.Failed -> "failed"
        null -> "pending"
    }

    /** A failure that does not name its request was skipped, and a success behind it was relayed in its place. */
    @Test
    fun neverRelaysASuccessBehindAFailure() {
        val cases = listOf(
            Triple("without an id", failure(null), "failed"),
            Triple("with an id that the connection has not carried", failure("other"), "failed"),
            Triple("with the id in another case", failure("SECOND"), "failed"),
            Triple("with two ids", failure("other\r\n$ID_NAME: second"), "failed"),
            Triple("with the id", failure("second"), "500 failure"),
        )
        for ((name, first, expected) in cases) {
            val driven = DrivenConnection()
            driven.send("first").also { driven.receive(success("first")) }
            val request = driven.send("second")
            driven.receive(first)
            driven.receive(success("second"))
            assertEquals(expected, result(request), name)
        }
    }

    /** A response that was broken off within its head gave its status to the next response on the connection. */
    @Test
    fun neverTakesTheStatusOfAResponseThatWasBrokenOff() {
        val late = success("first", "late")
        for (length in 1 until late.length) {
            val driven = DrivenConnection()
            driven.send("first").also { driven.receive(success("first")) }
            val request = driven.send("second")
            driven.receive(late.take(length))
            driven.receive(failure("second"))
            driven.close()
            assertIs<Delivery.Failed>(request.delivery, "broken off after ${late.take(length)}")
        }
    }

    /** A head with parts of two responses was relayed if the first of its ids was the right one. */
    @Test
    fun neverRelaysAHeadOfTwoResponses() {
        val (idName, id) = SampleFleet.attemptIdHeader("second")
        val plain = success("second", "body")
        val statusLine = "HTTP/1.1 500 Internal Server Error"
        val cases = listOf(
            "a status line in the reason phrase" to plain.replace("200 OK", "200 OK$statusLine"),
            "a status line in a header" to
                plain.replace("Content-Length", "Content-Type: text/$statusLine\r\nContent-Length"),
            "two ids" to plain.replace("Content-Length", "$idName: other\r\nContent-Length"),
            "the same id twice" to plain.replace("Content-Length", "$idName: $id\r\nContent-Length"),
            "two lengths" to plain.replace("Content-Length", "Content-Length: 3\r\nContent-Length"),
            "a length and chunks" to success("second", "4\r\nbody\r\n0\r\n\r\n")
                .replace("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length"),
            "another protocol" to plain.replace("200 OK", "101 Switching Protocols"),
        )
        for ((name, response) in cases) {
            val driven = DrivenConnection()
            val request = driven.send("second")
            driven.receive(response)
            assertEquals("failed", result(request), name)
        }
    }

    /** Guards against a status that is none of HTTP, which callers got as an answer, 0200 even as a success (MIXED). */
    @Test
    fun neverRelaysAResponseWithoutAValidStatusLine() {
        val statuses = listOf("", "0", "20", "000", "099", "600", "999", "1000", "0200", "2200", "20O", "+200", "-200")
        val versions = listOf("HTTP/2.0", "HTTP/0.9", "HTTP/11.1", "ICY/1.1")
        val cases = statuses.map { "HTTP/1.1 $it OK" } + versions.map { "$it 200 OK" }
        for (statusLine in cases) {
            val driven = DrivenConnection()
            val request = driven.send("second")
            driven.receive(success("second").replace("HTTP/1.1 200 OK", statusLine))
            assertEquals("failed", result(request), statusLine)
            assertEquals(false, driven.isOpen, statusLine)
        }
        for (statusLine in listOf("HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ")) {
            val request = DrivenConnection().let { driven ->
                driven.send("second").also { driven.receive(success("second").replace("HTTP/1.1 200 OK", statusLine)) }
            }
            assertEquals("200 success", result(request), statusLine)
        }
    }

    /** A response that was broken off within its body was completed by bytes of the next one. */
    @Test
    fun neverTakesTheNextResponseForTheRestOfABody() {
        val body = "b".repeat(LONG_BODY)
        val cases = listOf(
            "its own response" to success("second", body),
            "a repeated response" to success("first", body),
            "its own response in chunks" to success("second", "12c\r\n$body\r\n0\r\n\r\n")
                .replace(Regex("Content-Length: \\d+"), "Transfer-Encoding: chunked"),
            "its own response without a length" to "${success("second", body).replace("Content-Length", "Other")}$body",
        )
        for ((name, brokenOff) in cases) {
            val headLength = brokenOff.indexOf("\r\n\r\n") + "\r\n\r\n".length
            for (length in headLength until headLength + LONG_BODY) {
                val driven = DrivenConnection()
                driven.send("first").also { driven.receive(success("first")) }
                val request = driven.send("second")
                driven.receive(brokenOff.take(length))
                driven.receive(failure("second") + failure("first"))
                driven.close()
                assertEquals(
                    "failed",
                    result(request),
                    "$name, broken off after ${length - headLength} bytes of its body"
                )
            }
        }
    }

    /** A body of nothing but lines of heads took time that grew with the square of its length. */
    @Test
    fun readsLargeBodiesOfHeadsInTime() {
        val parts = listOf(
            "HTTP/1.1 200\r\n",
            "HTTP/1.1 200\r\n\r\n",
            "HTTP/",
            "HTTP/1.1 200 OK\r\n" + "a\r\n".repeat(8_000),
        )
        val bodies = parts.map { it.repeat(LARGE_BODY / it.length) }
        for (body in bodies) {
            val driven = DrivenConnection()
            val request = driven.send("second")
            val started = TimeSource.Monotonic.markNow()
            success("second", body).chunked(SEGMENT).forEach { driven.receive(it) }
            assertEquals("200 $body", result(request))
            assertTrue(started.elapsedNow() < 5.seconds, "${body.take(SHOWN)}: ${started.elapsedNow()}")
        }
    }

    /** Bodies that tell of HTTP are whole. */
    @Test
    fun acceptsBodiesThatHoldHeads() {
        val bodies = listOf(
            "HTTP/1.1 500",
            failure("other"),
            failure(null),
            "$ID_NAME: second\r\n",
            "The request $ID_NAME: second\r\n got HTTP/1.1 500 Error\r\n\r\n",
        )
        for (body in bodies) {
            val driven = DrivenConnection()
            val request = driven.send("second")
            success("second", body).forEach { driven.receive("$it") }
            assertEquals("200 $body", result(request))
            assertEquals(true, driven.isIdle, body)
        }
    }

    /** Half of a head that arrived between two requests was joined to the response to the second one. */
    @Test
    fun closesWhenBytesArriveWhileNoRequestIsPending() {
        val late = success("first", "late")
        for (length in 1..late.length) {
            for (isBehindResponse in listOf(true, false)) {
                val driven = DrivenConnection()
                driven.send("first")
                val unasked = late.take(length)
                if (isBehindResponse) {
                    driven.receive(success("first") + unasked)
                } else {
                    driven.receive(success("first"))
                    driven.receive(unasked)
                }
                assertEquals(false to false, driven.isIdle to driven.isOpen, "$unasked, $isBehindResponse")
            }
        }
    }

    /** What followed the head of the response to a HEAD request was taken for its body. */
    @Test
    fun readsNoBodyAfterTheHeadOfAResponseToAHeadRequest() {
        val head = success("first", "0123456789").substringBefore("0123456789")
        val driven = DrivenConnection()
        val first = driven.send("first", HttpMethod.HEAD)
        driven.receive(head)
        assertEquals("200 ", result(first))
        val second = driven.send("second")
        driven.receive(head + success("second", "own"))
        assertEquals("200 own", result(second))
    }

    /** A response that names a request was taken for that to a call of the gateway's own. */
    @Test
    fun neverTakesAResponseThatNamesARequestForThatToACall() {
        val driven = DrivenConnection()
        val call = driven.send(id = null)
        driven.receive(success("first"))
        assertEquals("failed", result(call))
    }

    /** What was left of a response when the gateway closed its connection was counted as unasked. */
    @Test
    fun countsNothingAfterItsOwnClose() {
        val driven = DrivenConnection()
        driven.send("first").onHead = { driven.connection.close() }
        driven.receive(success("first") + success("first"))
        assertEquals(emptyList(), driven.strays.map { it.kind })
    }

    @Test
    fun neverCarriesARequestTwice() {
        val driven = DrivenConnection()
        driven.send("first").also { driven.receive(success("first")) }
        assertFailsWith<IllegalArgumentException> { driven.send("first") }
    }

    @Test
    fun skipsLateResponsesToEarlierRequests() {
        val interim = "HTTP/1.1 103 Early Hints\r\n\r\n"
        val cases = listOf(
            "a repeated response" to success("first", "late"),
            "a repeated response with another status" to failure("first", "late"),
            "two of them" to success("first", "late") + failure("first", "later"),
            "an informational response" to interim,
            "an informational response behind a repeated one" to success("first", "late") + interim,
        )
        for ((name, before) in cases) {
            val driven = DrivenConnection()
            driven.send("first").also { driven.receive(success("first")) }
            val request = driven.send("second")
            driven.receive(before)
            driven.receive(success("second", "own"))
            assertEquals("200 own", result(request), name)
        }
    }

    private companion object {
        const val LONG_BODY = 300
        const val LARGE_BODY = 1_000_000
        const val SEGMENT = 1_400
        const val SHOWN = 40
        val ID_NAME = SampleFleet.attemptIdHeader("").first
    }
}
