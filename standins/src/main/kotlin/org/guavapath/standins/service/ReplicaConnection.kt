package org.guavapath.standins.service

import org.guavapath.platform.wire.ReplicaCodec
import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.SampleRequest
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

private const val BACKLOG = 500

/** A gateway's connection to a stand-in for a replica of the sample fleet. */
internal abstract class ReplicaConnection(socket: Socket) {
    private val input = socket.apply { tcpNoDelay = true }.getInputStream().bufferedReader()
    protected val output = socket.getOutputStream()

    /** Answers the [request] with the attempt [id]. */
    protected abstract fun answer(id: String, request: SampleRequest)

    /** Returns the response to a request for [path] with [body] that is not a caller's. */
    protected open fun ownResponse(path: String, body: String): String = when (path) {
        ReplicaCodec.REPORT_PATH -> SampleFleet.stateResponse(isLoading = false)
        else -> SampleFleet.plainResponse(id = null, body)
    }

    /** Writes the [response] to a request that is not a caller's. */
    protected open fun writeOwn(response: String) = output.write(response.toByteArray())

    private fun serve() = generateSequence { readHead().ifEmpty { null } }.forEach { head ->
        val body = String(CharArray(SampleRequest.bodyLength(head)) { input.read().toChar() })
        val id = SampleFleet.attemptIdIn(head)
        if (id != null) {
            answer(id, SampleRequest.received(head, body))
        } else {
            writeOwn(ownResponse(head.first().split(' ')[1], body))
        }
    }

    private fun readHead() = generateSequence { input.readLine()?.ifEmpty { null } }.toList()

    companion object {
        /** Serves each connection to [port] on the loopback address by what [open] returns. */
        fun listen(port: Int, open: (Socket) -> ReplicaConnection) {
            val listener = ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress())
            thread { while (true) listener.accept().let { socket -> thread { serve(socket, open) } } }
        }

        private fun serve(socket: Socket, open: (Socket) -> ReplicaConnection) = try {
            socket.use { open(it).serve() }
        } catch (_: IOException) {
            // Gateways close connections, some because of what was sent on them.
        }
    }
}
