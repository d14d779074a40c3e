package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.guavapath.core.store.Listing
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreError
import org.guavapath.core.store.StoredObject
import org.guavapath.core.store.WatchResult
import org.guavapath.platform.store.ObjectStoreClient
import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.StoreKinds
import java.net.BindException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val LOOPBACK = "127.0.0.1"
private const val REQUESTS = 50
private const val STARTUP_MILLISECONDS = 700L
private const val CLOSED_PORT = 9

/**
 * Runs two gateways on loopback with an in-memory store and one replica, and sends requests to one of them.
 *
 * The build archives the classes that are loaded here, so that a gateway starts in a fraction of the time. Each class
 * missing from the archive slows down every start, so the rehearsal covers all code paths of a gateway.
 */
internal class Rehearsal {
    private val replica = ServerSocket(0, REQUESTS, InetAddress.getByName(LOOPBACK))
    private val sample = SampleFleet("$LOOPBACK:${replica.localPort}")

    /** Runs the rehearsal and returns the number of requests that received a complete response. */
    fun run(): Int {
        thread(isDaemon = true) { while (true) serveConnection(replica.accept()) }
        val seed = SampleSettings(vm = "first")
        val second = SampleSettings(vm = "second", seeds = listOf(seed.peers))
        val gateways = listOf(seed, second).map { Gateway(it.read(), SampleStore(sample)) }
        gateways.forEach { it.start() }
        Thread.sleep(STARTUP_MILLISECONDS)
        callStore()
        val completed = (1..REQUESTS).count { sendRequest(second.callers) }
        gateways.forEach { it.shutDown() }
        return completed
    }

    /** Loads the classes of the store client with calls that fail at once, as nothing listens on the port. */
    private fun callStore() = runBlocking {
        val client = ObjectStoreClient("$LOOPBACK:$CLOSED_PORT")
        client.list(StoreKinds.REPLICAS)
        client.create(StoreKinds.REPLICAS, "name", JsonObject(mapOf("field" to JsonPrimitive(1))))
        client.watch(StoreKinds.REPLICAS, Revision.NONE, STARTUP_MILLISECONDS.milliseconds)
    }

    private fun sendRequest(port: Int): Boolean = Socket(LOOPBACK, port).use { socket ->
        socket.getOutputStream().write(sample.request.toByteArray())
        val reader = socket.getInputStream().bufferedReader()
        generateSequence { reader.readLine() }.firstOrNull { it == "0" || it.startsWith("HTTP/1.1 5") } == "0"
    }

    private fun serveConnection(socket: Socket) = thread(isDaemon = true) {
        val reader = socket.getInputStream().bufferedReader()
        while (true) {
            val head = generateSequence { reader.readLine()?.takeIf { it.isNotEmpty() } }.count()
            if (head == 0) break
            repeat(2) { reader.read() }
            socket.getOutputStream().write(sample.response.toByteArray())
        }
    }
}

/**
 * Settings of a gateway on free loopback ports.
 *
 * @property vm name of its VM
 * @param seeds peer ports of the seed gateways; null for this gateway alone
 * @property isFirstStart whether the whole fleet starts for the first time
 * @property repeatSlack retries of the whole fleet in each window, whatever the number of requests
 */
internal class SampleSettings(
    private val vm: String,
    seeds: List<Int>? = null,
    private val isFirstStart: Boolean = false,
    private val repeatSlack: Double = 1.0,
) {
    val callers = freePort()
    val readiness = freePort()
    val peers = freePort()
    private val seeds = seeds ?: listOf(peers)

    /** Returns the settings, parsed from JSON as from a settings file. */
    fun read(): GatewaySettings = GatewaySettings.read(
        """
        {"vm": "$vm", "failureDomain": "domain", "callers": "$LOOPBACK:$callers",
         "readiness": "$LOOPBACK:$readiness", "peers": "$LOOPBACK:$peers", "store": "$LOOPBACK:$CLOSED_PORT",
         "peerSeeds": [${seeds.joinToString { "\"$LOOPBACK:$it\"" }}], "peerSecrets": ["a secret of the samples"],
         "isFirstStart": $isFirstStart, "drainMilliseconds": 1000, "repeatRatio": 1.0, "repeatWindowSeconds": 1,
         "repeatSlack": $repeatSlack}
        """,
    ).getOrElse { error("the sample settings are invalid: $it") }

    private companion object {
        /**
         * Below the ephemeral port range: an outgoing connection could otherwise take a free port before its gateway
         * listens there. Each process starts at a different port.
         */
        const val FIRST_PORT = 20_000
        const val PORTS = 12_000
        val nextPort = AtomicInteger((ProcessHandle.current().pid() * 101 % PORTS).toInt())

        fun freePort(): Int = generateSequence { FIRST_PORT + nextPort.getAndIncrement() % PORTS }.first { isFree(it) }

        fun isFree(port: Int): Boolean = try {
            ServerSocket(port, 1, InetAddress.getByName(LOOPBACK)).close()
            true
        } catch (_: BindException) {
            false
        }
    }
}

/** A read-only store with the objects of [sample]. */
internal class SampleStore(sample: SampleFleet) : ObjectStore {
    private val objects = mapOf(
        StoreKinds.CONFIGURATIONS to stored(SampleFleet.CONFIGURATION_NAME, sample.configuration),
        StoreKinds.REPLICAS to stored(SampleFleet.REPLICA_NAME, sample.replica),
        StoreKinds.WEIGHTS to stored(SampleFleet.WEIGHTS_NAME, sample.weights),
    )

    override suspend fun list(kind: ObjectKind): Result<Listing, StoreError> =
        Ok(Listing(listOfNotNull(objects[kind]).associateBy { it.name }, FIRST))

    override suspend fun watch(
        kind: ObjectKind,
        after: Revision,
        timeout: Duration,
    ): Result<WatchResult, StoreError> {
        delay(timeout)
        return Ok(WatchResult.Changes(emptyList(), after))
    }

    override suspend fun read(kind: ObjectKind, name: String): Result<StoredObject?, StoreError> = Ok(objects[kind])

    override suspend fun create(kind: ObjectKind, name: String, value: JsonElement): Result<StoredObject, StoreError> =
        refused()

    override suspend fun replace(
        kind: ObjectKind,
        name: String,
        value: JsonElement,
        condition: Revision,
    ): Result<StoredObject, StoreError> = refused()

    override suspend fun replaceStatus(
        kind: ObjectKind,
        name: String,
        status: JsonElement,
        condition: Revision,
    ): Result<StoredObject, StoreError> = refused()

    override suspend fun remove(kind: ObjectKind, name: String, condition: Revision): Result<Unit, StoreError> =
        refused()

    private fun <T> refused(): Result<T, StoreError> = Err(StoreError.Refused("the sample store is read-only"))

    private fun stored(name: String, value: JsonElement) = StoredObject(name, FIRST, value)

    private companion object {
        val FIRST = Revision(1)
    }
}
