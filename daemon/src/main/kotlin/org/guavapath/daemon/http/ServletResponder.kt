package org.guavapath.daemon.http

import jakarta.servlet.http.HttpServletResponse
import org.guavapath.daemon.pipeline.CallerDisconnectedException
import org.guavapath.daemon.pipeline.HeaderField
import org.guavapath.daemon.pipeline.Responder
import java.io.IOException

/** Writes a response through the servlet API. Not thread-safe. */
internal class ServletResponder(private val response: HttpServletResponse) : Responder {
    override var isBegun = false
        private set

    override fun begin(status: Int, headers: List<HeaderField>) {
        isBegun = true
        response.status = status
        headers.forEach { response.addHeader(it.name, it.value) }
    }

    override fun write(bytes: ByteArray) {
        try {
            response.outputStream.write(bytes)
            response.outputStream.flush()
        } catch (exception: IOException) {
            throw CallerDisconnectedException(exception)
        }
    }

    override fun abort() {
        throw AbortedResponseException()
    }
}

/** Makes the server close the connection to a caller whose response cannot be completed. */
internal class AbortedResponseException : IOException("the response was aborted")
