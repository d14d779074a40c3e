/** A replica's connection without a network, for tests that write each byte of the responses themselves. */
package org.guavapath.daemon.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.guavapath.core.identity.RequestId
import org.guavapath.platform.wire.ReplicaResponseHead
import org.guavapath.platform.wire.SampleFleet

/** What a request got. */
internal sealed class Delivery {
    /** A whole response. */
    data class Whole(val status: Int, val body: String) : Delivery()

    /** No response. */
    data class Failed(val reason: String) : Delivery()
}

/** A request on a [DrivenConnection]; [delivery] is null as long as it is pending. */
internal class DrivenRequest : ReplicaResponseListener {
    private val body = BodyBuffer()
    private var status = 0

    /** Called with the head of the response. */
    var onHead: () -> Unit = {}

    var delivery: Delivery? = null
        private set

    override fun notSent(reason: String, isOwnDecision: Boolean) = end(Delivery.Failed(reason))

    override fun head(head: ReplicaResponseHead, headers: HttpHeaders) {
        status = head.status
        onHead()
    }

    override fun body(bytes: ByteArray) {
        body.append(bytes)
    }

    override fun complete() = end(Delivery.Whole(status, body.bytes().toString(Charsets.UTF_8)))

    override fun failed(reason: String) = end(Delivery.Failed(reason))

    private fun end(outcome: Delivery) {
        check(delivery == null) { "$outcome after $delivery" }
        delivery = outcome
    }
}

/** Drives one [ReplicaConnection] on the calling thread. */
internal class DrivenConnection {
    val strays = ArrayList<StrayResponse>()
    val connection = ReplicaConnection(onStray = { strays += it }, onIdle = { _, _ -> })
    private val channel = EmbeddedChannel().also { connection.install(it.pipeline()) }

    val isIdle: Boolean get() = connection.isIdle
    val isOpen: Boolean get() = channel.isOpen

    /** Sends the request [id], or a call of the gateway's own if that is null. */
    fun send(id: String?, method: HttpMethod = HttpMethod.GET): DrivenRequest {
        val headers = DefaultHttpHeaders()
        id?.let(SampleFleet::attemptIdHeader)?.let { (name, value) -> headers.set(name, value) }
        val http = ReplicaRequests.call(method, "/", headers, body = null)
        return DrivenRequest().also {
            connection.send(http, id?.let(::RequestId), it)
            channel.releaseOutbound()
        }
    }

    /** Has the gateway receive [text] in one piece, unless it has closed the connection. */
    fun receive(text: String) {
        if (channel.isOpen) channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.UTF_8))
    }

    /** Has the replica close the connection. */
    fun close() {
        channel.close()
        channel.runPendingTasks()
    }
}
