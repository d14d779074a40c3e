package org.guavapath.daemon.http

import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.handler.ErrorHandler
import org.eclipse.jetty.util.Callback
import org.guavapath.core.results.ProgramCode
import org.guavapath.core.results.RequestCode
import org.guavapath.core.results.ResultCode
import org.guavapath.daemon.pipeline.RESULT_HEADER
import org.guavapath.daemon.pipeline.Refusal
import org.guavapath.daemon.pipeline.errorBody

private const val HEADER_TOO_LARGE = 431
private const val URI_TOO_LONG = 414
private const val TIMEOUT = 408
private const val MIN_SERVER_ERROR = 500

/** Gives error responses of the HTTP server itself the same JSON body and result code header as all others. */
internal class ResultCodeErrorHandler : ErrorHandler() {
    override fun handle(request: Request, response: Response, callback: Callback): Boolean {
        val code = codeOf(response.status)
        response.headers.put(RESULT_HEADER, code.number.toString())
        response.headers.put(HttpHeader.CONTENT_TYPE, "application/json")
        Content.Sink.write(response, true, errorBody(Refusal(code), correlationId = "none").toString(), callback)
        return true
    }

    private fun codeOf(status: Int): ResultCode = when {
        status == HEADER_TOO_LARGE || status == URI_TOO_LONG -> RequestCode.HeaderTooLarge
        status == TIMEOUT -> RequestCode.SlowRequest
        status >= MIN_SERVER_ERROR -> ProgramCode.InternalError
        else -> RequestCode.MalformedHttp
    }
}
