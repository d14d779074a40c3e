package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonElement
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.VmId
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
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.time.Duration

private const val LOOPBACK = "127.0.0.1"
private const val REQUESTS = 50
private const val SETTLE_MILLISECONDS = 700L
private const val CLOSED_PORT = 9

/**
 * Runs a gateway on loopback for a moment, with a store in memory and one replica, and sends it requests.
 *
 * The build archives the classes that this loads, so that a gateway starts in a fraction of the time.
 */
internal class Rehearsal {
    private val replica = ServerSocket(0, REQUESTS, InetAddress.getByName(LOOPBACK))
    private val sample = SampleFleet("$LOOPBACK:${replica.localPort}")

    /** Runs the rehearsal and returns how many requests were answered whole. */
    fun run(): Int {
        thread(isDaemon = true) { while (true) answerAll(replica.accept()) }
        val callers = freePort()
        val gateway = Gateway(settings(callers), SampleStore(sample))
        gateway.start()
        Thread.sleep(SETTLE_MILLISECONDS)
        kotlinx.coroutines.runBlocking { ObjectStoreClient("$LOOPBACK:$CLOSED_PORT").list(StoreKinds.REPLICAS) }
        val answered = (1..REQUESTS).count { ask(callers) }
        gateway.shutDown()
        return answered
    }

    private fun settings(callers: Int) = GatewaySettings(
        vm = VmId("rehearsal"),
        failureDomain = FailureDomainName("domain"),
        callers = "$LOOPBACK:$callers",
        readiness = "$LOOPBACK:${freePort()}",
        peers = "$LOOPBACK:${freePort()}",
        store = "$LOOPBACK:$CLOSED_PORT",
        peerSecrets = listOf("a secret of the rehearsal"),
        isFirstStart = true,
        drainMilliseconds = 1_000,
        repeatRatio = 1.0,
        repeatWindowSeconds = 1,
        repeatSlack = 1.0,
    )

    private fun ask(port: Int): Boolean = Socket(LOOPBACK, port).use { socket ->
        socket.getOutputStream().write(sample.request.toByteArray())
        val reader = socket.getInputStream().bufferedReader()
        generateSequence { reader.readLine() }.firstOrNull { it == "0" || it.startsWith("HTTP/1.1 5") } == "0"
    }

    private fun answerAll(socket: Socket) = thread(isDaemon = true) {
        val reader = socket.getInputStream().bufferedReader()
        while (true) {
            val head = generateSequence { reader.readLine()?.takeIf { it.isNotEmpty() } }.count()
            if (head == 0) break
            repeat(2) { reader.read() }
            socket.getOutputStream().write(sample.answer.toByteArray())
        }
    }

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }
}

/** A store that holds the sample and takes no writes. */
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
        longest: Duration,
    ): Result<WatchResult, StoreError> {
        delay(longest)
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

    override suspend fun remove(kind: ObjectKind, name: String, condition: Revision): Result<Unit, StoreError> =
        refused()

    private fun <T> refused(): Result<T, StoreError> = Err(StoreError.Refused("the rehearsal's store is read only"))

    private fun stored(name: String, value: JsonElement) = StoredObject(name, FIRST, value)

    private companion object {
        val FIRST = Revision(1)
    }
}
