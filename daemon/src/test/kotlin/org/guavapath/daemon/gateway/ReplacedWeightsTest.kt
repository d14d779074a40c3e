package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.StoreKinds
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private const val LOOPBACK = "127.0.0.1"

/** Gateways with one replica that keeps weights 1; the store is in memory. */
private class OutdatedFleet : AutoCloseable {
    private val store = MemoryStore(SampleFleet("$LOOPBACK:1"))
    private val settings = ArrayList<SampleSettings>()
    private var requests = 0
    val replica = OutdatedReplica()

    init {
        store.write(StoreKinds.REPLICAS, SampleFleet.REPLICA_NAME, SampleFleet.replicaEntry(replica.address, 1))
    }

    /** Starts one more gateway, linked with the first, and waits until it serves. */
    fun start() {
        val name = "vm-${settings.size}"
        val added = settings.firstOrNull()?.let { SampleSettings(name, seeds = listOf(it.peers)) }
            ?: SampleSettings(name)
        settings.add(added)
        Gateway(added.read(), CountingStore(store)).start()
        val until = TimeSource.Monotonic.markNow() + START_TIMEOUT
        while (!isReady(added)) {
            assertTrue(until.hasNotPassedNow(), "$name does not serve")
            Thread.sleep(POLL.inWholeMilliseconds)
        }
    }

    /** Names weights 2; returns when. */
    fun nameWeights(): TimeMark {
        val namedAt = TimeSource.Monotonic.markNow()
        store.write(StoreKinds.WEIGHTS, SampleFleet.WEIGHTS_NAME, SampleFleet.weights(number = 2))
        return namedAt
    }

    /** Sends a request to the gateway [index]; returns the status of the response. */
    fun send(index: Int, tokens: Int = 40): Int {
        requests += 1
        val id = requests.toString(HEXADECIMAL)
        return Socket(LOOPBACK, settings[index].callers).use { socket ->
            socket.getOutputStream().write(SampleFleet.request(id, listOf("own$id"), tokens).toByteArray())
            socket.getInputStream().bufferedReader().readText().split(' ').getOrElse(1) { "0" }.toInt()
        }
    }

    /** How long after [namedAt] the last request began. */
    fun lastBeginning(namedAt: TimeMark): Duration =
        replica.beginnings.last().let { namedAt.elapsedNow() - it.elapsedNow() }

    private fun isReady(gateway: SampleSettings): Boolean = runCatching {
        Socket(LOOPBACK, gateway.readiness).use { socket ->
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".toByteArray())
            " 200 " in socket.getInputStream().bufferedReader().readLine().orEmpty()
        }
    }.getOrDefault(false)

    override fun close() = replica.close()

    private companion object {
        const val HEXADECIMAL = 16
        val START_TIMEOUT = 10.seconds
        val POLL = 20.milliseconds
    }
}

private fun TimeMark.waitUntil(duration: Duration) =
    Thread.sleep(maxOf(Duration.ZERO, duration - elapsedNow()).inWholeMilliseconds)

class ReplacedWeightsTest {
    /** Guards against a gateway that takes weights for newly named because it has just started. */
    @Test
    fun aRestartedGatewayDoesNotUseWeightsThatWereReplacedBeforeItsStart() = OutdatedFleet().use { fleet ->
        fleet.start()
        val namedAt = fleet.nameWeights()
        namedAt.waitUntil(1.seconds)
        assertEquals(OK, fleet.send(index = 0), "no other weights are there yet")
        namedAt.waitUntil(4.seconds)
        fleet.start()
        namedAt.waitUntil(LIMIT + 300.milliseconds)
        fleet.send(index = 1)
        assertTrue(fleet.lastBeginning(namedAt) < LIMIT, "a request began ${fleet.lastBeginning(namedAt)} after")
    }

    /** Guards against requests that are sent in time, but begin too late as they wait at their replica. */
    @Test
    fun aRequestThatWaitsAtItsReplicaDoesNotBeginOnReplacedWeights() = OutdatedFleet().use { fleet ->
        fleet.start()
        val namedAt = fleet.nameWeights()
        namedAt.waitUntil(1.seconds)
        assertEquals(OK, fleet.send(index = 0), "no other weights are there yet")
        fleet.replica.waitingTime = 1500.milliseconds
        namedAt.waitUntil(4700.milliseconds)
        fleet.send(index = 0, tokens = 50_000)
        assertTrue(fleet.lastBeginning(namedAt) < LIMIT, "a request began ${fleet.lastBeginning(namedAt)} after")
    }

    private companion object {
        const val OK = 200

        /** The platform's bound on the use of weights that were replaced. */
        val LIMIT = 6.seconds
    }
}
