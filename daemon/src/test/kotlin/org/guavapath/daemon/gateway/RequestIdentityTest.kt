package org.guavapath.daemon.gateway

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.guavapath.core.fleet.PromptPart
import org.guavapath.core.fleet.PromptShape
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.quarantine.RequestKey
import org.guavapath.core.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class RequestIdentityTest {
    private class Case(
        val name: String,
        val isRepeat: Boolean,
        val headers: Map<String, String> = mapOf("Host" to "a.example"),
        val requestLine: String = "POST /offers/1?page=2",
        val workspace: String? = "first",
        val body: List<String> = listOf("body"),
    ) {
        fun key(prompt: PromptShape? = null): RequestKey {
            val (method, target) = requestLine.split(' ')
            val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target)
            headers.forEach { (name, value) -> request.headers().add(name, value) }
            val incoming = IncomingRequest(request, MonotonicTime.ZERO)
            body.forEach { incoming.body.append(Unpooled.copiedBuffer(it, Charsets.UTF_8)) }
            return incoming.key(workspace?.let(::WorkspaceName), prompt)
        }
    }

    private val cases = listOf(
        Case("the same request", isRepeat = true),
        Case("another header", isRepeat = true, headers = mapOf("Host" to "a.example", "Own" to "1")),
        Case("the body in two pieces", isRepeat = true, body = listOf("bo", "dy")),
        Case("another port of the host", isRepeat = true, headers = mapOf("Host" to "a.example:81")),
        Case("another method", isRepeat = false, requestLine = "PUT /offers/1?page=2"),
        Case("another host", isRepeat = false, headers = mapOf("Host" to "b.example")),
        Case("another path", isRepeat = false, requestLine = "POST /offers/2?page=2"),
        Case("another query", isRepeat = false, requestLine = "POST /offers/1?page=3"),
        Case("another workspace", isRepeat = false, workspace = "second"),
        Case("no workspace", isRepeat = false, workspace = null),
        Case("another body", isRepeat = false, body = listOf("ydob")),
        Case("no body", isRepeat = false, body = emptyList()),
        Case(
            "a target that ends with the workspace",
            isRepeat = false,
            requestLine = "POST /offers/1?page=2first",
            workspace = null,
        ),
    )

    /** Guards against taking a sound prompt for the repeat of another one with the same body. */
    @Test
    fun promptsOfOtherPartsAreNoRepeats() {
        val key = { parts: List<String> ->
            Case("", isRepeat = true).key(PromptShape(ModelName("model"), 10, 10, parts.map { PromptPart(it, 10) }))
        }
        assertEquals(key(listOf("shared", "own")), key(listOf("shared", "own")))
        assertNotEquals(key(listOf("shared", "own")), key(listOf("shared", "other")))
    }

    @Test
    fun repeatsHaveEqualKeys() {
        val first = Case("the first", isRepeat = true).key()
        cases.forEach { assertEquals(it.isRepeat, it.key() == first, it.name) }
    }
}
