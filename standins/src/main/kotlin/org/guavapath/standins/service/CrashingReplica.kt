/**
 * Stand-in for a replica of the sample fleet that streams responses to prompts, and whose process ends when it runs a
 * prompt with a deadly part. Its output tells when such prompts arrived and when it ended, in Unix milliseconds.
 */
package org.guavapath.standins.service

import kotlinx.serialization.Serializable
import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.SampleRequest
import org.guavapath.platform.wire.SampleRoute
import java.net.Socket

private const val PREFILL_MILLISECONDS = 20L
private const val EVENT_MILLISECONDS = 10L
private const val EVENTS = 3
private const val PLAIN_BODY = "{}"

/**
 * Settings of a replica that crashes.
 *
 * @property port its port on the loopback address
 * @property deadlyPart the part of prompts that ends it
 * @property crashMilliseconds time from the head of a response to the end
 */
@Serializable
internal data class CrashingSettings(val port: Int, val deadlyPart: String, val crashMilliseconds: Long)

/** Serves a replica that crashes. */
internal class CrashingReplica(private val settings: CrashingSettings) {
    init {
        ReplicaConnection.listen(settings.port) { Connection(it) }
    }

    @Synchronized
    private fun end() {
        println("ended ${System.currentTimeMillis()}")
        Runtime.getRuntime().halt(1)
    }

    private inner class Connection(socket: Socket) : ReplicaConnection(socket) {
        override fun answer(id: String, request: SampleRequest) = when (request.route) {
            SampleRoute.PROMPTS -> stream(id, isDeadly = settings.deadlyPart in request.parts)
            SampleRoute.LOOKUPS, SampleRoute.ORDERS ->
                write(SampleRequest.plainResponseHead(id, PLAIN_BODY.length) + PLAIN_BODY)
        }

        private fun stream(id: String, isDeadly: Boolean) {
            if (isDeadly) println("arrived ${System.currentTimeMillis()}")
            Thread.sleep(PREFILL_MILLISECONDS)
            write(SampleFleet.responseHead(id, isFramed = true))
            if (isDeadly) {
                Thread.sleep(settings.crashMilliseconds)
                end()
            }
            for (event in 1..EVENTS) {
                Thread.sleep(EVENT_MILLISECONDS)
                val text = "id: $event\ndata: a\n\n"
                write("${text.length.toString(radix = 16)}\r\n$text\r\n")
            }
            write("0\r\n\r\n")
        }

        private fun write(text: String) = output.write(text.toByteArray())
    }
}
