package org.guavapath.daemon.pipeline

import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class ServiceCallTrackerTest {
    private class Case(val name: String, val unread: Int, val head: String, val isWhole: Boolean)

    private val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    private val client = serviceClient()

    @AfterTest
    fun stop() = server.close()

    /** Answers one request with [head] and a short body, and closes the connection with [unread] bytes of it unread. */
    private fun answer(head: String, unread: Int) = thread(isDaemon = true) {
        server.accept().use { socket ->
            val input = socket.getInputStream()
            skipHead(input)
            input.readNBytes(BODY_BYTES - unread)
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nConnection: close\r\n$head\r\na part".toByteArray())
        }
    }

    private fun skipHead(input: InputStream) {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(input.read().toChar())
    }

    /** Guards against a part of a service's response that passes for whole though its connection was reset (MIXED). */
    @Test
    fun aResponseWithoutALengthIsAPartIfItsConnectionIsReset() {
        listOf(
            Case("all read", unread = 0, head = "", isWhole = true),
            Case("all read, with a length", unread = 0, head = "Content-Length: 6\r\n", isWhole = true),
            Case("one byte unread", unread = 1, head = "", isWhole = false),
            Case("nothing read", unread = BODY_BYTES, head = "", isWhole = false),
        ).forEach { case ->
            val outcomes = List(RUNS) {
                answer(case.head, case.unread)
                isReceivedWhole()
            }
            assertEquals(setOf(case.isWhole), outcomes.toSet(), case.name)
        }
    }

    private fun isReceivedWhole(): Boolean {
        val tracker = ServiceCallTracker()
        val request = Request.Builder().url("http://127.0.0.1:${server.localPort}/")
            .tag(ServiceCallTracker::class.java, tracker)
            .post(ByteArray(BODY_BYTES).toRequestBody())
            .build()
        val text = try {
            client.newCall(request).execute().use { it.body.string() }
        } catch (_: IOException) {
            // The reset may come before the response is read, or while the request is written.
            return false
        }
        return text == "a part" && !tracker.isReset
    }

    private companion object {
        const val BODY_BYTES = 12_000
        const val RUNS = 8
    }
}
