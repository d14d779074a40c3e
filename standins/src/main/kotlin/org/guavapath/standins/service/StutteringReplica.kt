/**
 * Stand-in for a replica of the sample fleet that stutters: it answers plain requests, some with failures of its own,
 * and sends some responses again, late, with another status, or broken off, all in segments.
 *
 * For tests: `GET /standin/responses` lists its first response to each request that it received, in order.
 */
package org.guavapath.standins.service

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.SampleRequest
import org.guavapath.platform.wire.SampleResponse
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

private const val LATE_THREADS = 16

/**
 * Settings of a replica that stutters.
 *
 * @property port its port on the loopback address
 * @property number distinguishes it from other such replicas, which respond to the same request in other ways
 */
@Serializable
internal data class StutteringSettings(val port: Int, val number: Int)

/** Serves a replica that stutters. */
internal class StutteringReplica(private val settings: StutteringSettings) {
    private val runs = AtomicInteger()
    private val responses = ConcurrentLinkedQueue<SampleResponse>()
    private val late = Executors.newScheduledThreadPool(LATE_THREADS)

    init {
        ReplicaConnection.listen(settings.port) { Connection(it) }
    }

    private inner class Connection(socket: Socket) : ReplicaConnection(socket) {
        private var beforeNext = ""

        override fun ownResponse(path: String, body: String): String = when (path) {
            "/standin/responses" -> SampleFleet.plainResponse(id = null, recorded())
            else -> super.ownResponse(path, body)
        }

        override fun writeOwn(response: String) {
            write(response, Random.Default)
        }

        override fun answer(id: String, request: SampleRequest) {
            val plan = StutteringPlan(id, settings.number, runs.incrementAndGet())
            responses.add(plan.response)
            Thread.sleep(plan.milliseconds)
            val random = Random(id.hashCode())
            write(beforeNext + plan.text, random)
            beforeNext = ""
            when (val stutter = plan.stutter) {
                Stutter.Absent -> Unit
                is Stutter.BeforeNext -> beforeNext = stutter.text
                is Stutter.Late ->
                    late.schedule({ writeLate(stutter.text, random) }, stutter.milliseconds, TimeUnit.MILLISECONDS)
            }
        }

        private fun writeLate(text: String, random: Random) = try {
            write(text, random)
        } catch (_: IOException) {
            // The gateway has closed the connection.
        }

        /** Writes [text] in segments; what else is to be written waits for its end. */
        private fun write(text: String, random: Random) = synchronized(output) {
            val ends = List(random.nextInt(MAX_SEGMENTS)) { random.nextInt(text.length) }.sorted() + text.length
            ends.fold(0) { from, end ->
                output.write(text.substring(from, end).toByteArray())
                if (end < text.length) Thread.sleep(random.nextLong(MAX_PAUSE))
                end
            }
        }
    }

    private fun recorded(): String = Json.encodeToString(responses.toList())

    private companion object {
        const val MAX_SEGMENTS = 4
        const val MAX_PAUSE = 6L
    }
}
