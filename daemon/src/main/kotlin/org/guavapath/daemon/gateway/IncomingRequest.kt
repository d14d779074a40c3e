package org.guavapath.daemon.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import org.guavapath.core.fleet.PromptShape
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.memory.BodyReservation
import org.guavapath.core.quarantine.RequestKey
import org.guavapath.core.time.MonotonicTime

/** A caller's request; its body is appended as it arrives. */
internal class IncomingRequest(
    request: HttpRequest,
    val receivedAt: MonotonicTime,
    reservation: BodyReservation? = null,
) {
    val method: HttpMethod = request.method()

    /** Path and query exactly as received. */
    val target: String = request.uri()
    val headers: HttpHeaders = request.headers()
    val isKeepAlive: Boolean = HttpUtil.isKeepAlive(request)

    /** Length that the request states for its body, null if it does not. */
    val statedBytes: Long? = HttpUtil.getContentLength(request, -1L).takeIf { it >= 0 }
    val body = RequestBody(statedBytes, reservation)

    val path: String get() = target.substringBefore('?')
    val bodySize: Int get() = body.size

    /** Value of the Host header without the port. */
    val host: String get() = headers.get("Host").orEmpty().substringBefore(':')

    /** Returns the key that repeats of this request by callers of [workspace] with [prompt] have too. */
    fun key(workspace: WorkspaceName?, prompt: PromptShape?): RequestKey =
        RequestKey.of(host, "${method.name()} $target", workspace, prompt, body.digest)

    /**
     * Returns why the request is malformed, or null if it is valid.
     *
     * Rejects everything that two parsers may frame differently or resolve to different paths, so that replicas
     * see the same request as this gateway.
     */
    fun validate(): String? = when {
        headers.getAll("Host").size != 1 -> "a request has exactly one Host header"
        !target.startsWith('/') -> "the target is not a path"
        hasDotSegment() -> "the path has dot segments"
        headers.getAll("Transfer-Encoding").any { !it.equals("chunked", ignoreCase = true) } ->
            "the transfer encoding is not supported"
        headers.getAll("Transfer-Encoding").isNotEmpty() && headers.contains("Content-Length") ->
            "both a length and a transfer encoding"
        else -> null
    }

    private fun hasDotSegment(): Boolean = path.split('/').any { segment ->
        val plain = segment.replace("%2e", ".", ignoreCase = true)
        plain == "." || plain == ".."
    }
}
