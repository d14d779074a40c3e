/** Types that the stages of the request pipeline exchange. */
package org.guavapath.daemon.pipeline

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import org.guavapath.core.config.CallerKey
import org.guavapath.core.config.Route
import org.guavapath.core.identity.RequestId
import org.guavapath.core.results.ResultCode
import org.guavapath.daemon.configuration.ActiveConfiguration
import kotlin.time.Duration

/** An HTTP header field. */
internal data class HeaderField(val name: String, val value: String)

/** The target of a request: its method, the path as sent, and the query without its question mark. */
internal data class RequestTarget(val method: String, val path: String, val query: String?)

/**
 * A request from a caller.
 *
 * @property id identifier assigned by the daemon, unique within its run, which engines and logs use
 * @property correlationId identifier shown to the caller: the one it sent or, if none, [id]
 */
internal class CallerRequest(
    val id: RequestId,
    val correlationId: String,
    val target: RequestTarget,
    val headers: List<HeaderField>,
    val body: ByteArray,
) {
    val method: String get() = target.method
    val path: String get() = target.path

    /** Returns the first value of the header [name], ignoring case, or null. */
    fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}

/** Why a request is not served: the result code, details for the caller and, where known, the delay before a retry. */
internal class Refusal(val code: ResultCode, val detail: String = code.sentence, val retryAfter: Duration? = null)

/** A request with its route and the caller's key; [key] is null on open routes. */
internal class RoutedRequest(
    val request: CallerRequest,
    val configuration: ActiveConfiguration,
    val route: Route,
    val key: CallerKey?,
)

/** A stage of the pipeline that turns [Input] into [Output] or refuses the request. */
internal fun interface Filter<Input, Output> {
    suspend fun apply(input: Input): Result<Output, Refusal>
}

/** Returns a filter that applies this one and then [next]. */
internal infix fun <First, Middle, Last> Filter<First, Middle>.then(next: Filter<Middle, Last>): Filter<First, Last> =
    Filter { input ->
        val middle = apply(input)
        middle.fold(success = { next.apply(it) }, failure = { Err(it) })
    }

/** Destination of a response. Writing throws [java.io.IOException] if the caller has disconnected. */
internal interface Responder {
    /** Whether the response has begun, so its status can no longer change. */
    val isBegun: Boolean

    /** Sets the status and headers. */
    fun begin(status: Int, headers: List<HeaderField>)

    /** Writes and flushes a part of the body. */
    fun write(bytes: ByteArray)

    /** Closes the connection without completing the response. */
    fun abort()
}
