package org.guavapath.daemon.gateway

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import org.guavapath.platform.wire.ResponseCodec

/**
 * Decodes what arrives on a connection to a replica while one request is pending.
 *
 * Each request has a decoder of its own, so that no state of a decoder outlasts a response: bytes that follow the end
 * of the response leave the decoder undecoded when it is removed.
 *
 * @param hasNoBody whether a response ends with its head whatever its headers say, as that to a HEAD request does
 */
internal class ReplicaResponseDecoder(private val hasNoBody: (HttpResponse) -> Boolean) : HttpResponseDecoder() {
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        super.isContentAlwaysEmpty(message) || message is HttpResponse && hasNoBody(message)

    /** The decoder takes any number for a status, and any name for a version. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status) = initialLine
        ResponseCodec.statusLineFault(version, status)?.let { throw IllegalArgumentException(it) }
        return super.createMessage(initialLine)
    }

    /** Two statements on the length may come from two responses. */
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) =
        throw IllegalArgumentException("both a length and chunks")
}
