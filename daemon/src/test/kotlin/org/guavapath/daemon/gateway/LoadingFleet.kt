package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.netty.channel.EventLoop
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.guavapath.core.store.Listing
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreError
import org.guavapath.core.store.StoredObject
import org.guavapath.core.store.WatchResult
import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.StoreKinds
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * One gateway's access to [shared], which checks conditions of writes. It finds replicas at the addresses that
 * [addresses] has for those that they list.
 */
internal class GatewayStore(private val shared: MemoryStore, private val addresses: () -> Map<String, String>) :
    ObjectStore {
    private val store = CountingStore(shared)

    /** Time until a call is answered. */
    @Volatile
    var latency: Duration = Duration.ZERO

    /** Time by which changes are seen later. */
    @Volatile
    var watchDelay: Duration = Duration.ZERO

    override suspend fun list(kind: ObjectKind): Result<Listing, StoreError> = called {
        store.list(kind).map { listing -> listing.copy(objects = listing.objects.mapValues { readdressed(it.value) }) }
    }

    /** Watches on another thread, as a client of a store does. */
    override suspend fun watch(kind: ObjectKind, after: Revision, timeout: Duration): Result<WatchResult, StoreError> =
        called {
            withContext(Dispatchers.IO) {
                store.watch(kind, after, timeout).map { readdressed(it) }.also { delay(watchDelay) }
            }
        }

    override suspend fun read(kind: ObjectKind, name: String) = called { store.read(kind, name) }

    override suspend fun create(kind: ObjectKind, name: String, value: JsonElement) =
        called { written(kind, name, value, condition = null) }

    override suspend fun replace(kind: ObjectKind, name: String, value: JsonElement, condition: Revision) =
        called { written(kind, name, value, condition) }

    override suspend fun replaceStatus(kind: ObjectKind, name: String, status: JsonElement, condition: Revision) =
        called {
            synchronized(shared) {
                val present = shared.list(kind).objects[name]
                val written = if (present?.revision == condition) shared.writeStatus(kind, name, status) else null
                if (written == null) Err(StoreError.Conflict(present)) else Ok(written)
            }
        }

    override suspend fun remove(kind: ObjectKind, name: String, condition: Revision) =
        called { store.remove(kind, name, condition) }

    private suspend fun <T> called(call: suspend () -> Result<T, StoreError>): Result<T, StoreError> {
        delay(latency)
        return call()
    }

    private fun written(kind: ObjectKind, name: String, value: JsonElement, condition: Revision?) =
        synchronized(shared) {
            val present = shared.list(kind).objects[name]
            if (present?.revision != condition) {
                Err(StoreError.Conflict(present))
            } else {
                Ok(checkNotNull(shared.write(kind, name, value)))
            }
        }

    private fun readdressed(result: WatchResult): WatchResult = when (result) {
        is WatchResult.HistoryGone -> result
        is WatchResult.Changes -> result.copy(
            changes = result.changes.map { change -> change.copy(present = change.present?.let { readdressed(it) }) },
        )
    }

    private fun readdressed(stored: StoredObject): StoredObject {
        val text = addresses().entries.fold(stored.value.toString()) { text, (listed, own) ->
            text.replace("\"$listed\"", "\"$own\"")
        }
        return stored.copy(value = Json.parseToJsonElement(text))
    }
}

/** A gateway of a [LoadingFleet]. */
internal class LoadingGateway(
    val name: String,
    val index: Int,
    val settings: SampleSettings,
    val store: GatewayStore,
    peerSecret: String?,
) {
    private val read = settings.read()
    private val mayGoOn = CountDownLatch(1)
    private val gateway = Gateway(peerSecret?.let { read.copy(peerSecrets = listOf(it)) } ?: read, store)

    fun start() = gateway.start()

    /** Ends all tasks, as the end of the process would; the listeners stay open. */
    fun kill() {
        (part("scope") as CoroutineScope).cancel()
        goOn()
    }

    /** Does nothing until [goOn]. */
    fun standStill() = (part("loop") as EventLoop).execute { mayGoOn.await() }

    fun goOn() = mayGoOn.countDown()

    /** Ends all tasks and closes the listeners. */
    fun close() {
        kill()
        gateway.close()
    }

    private fun part(name: String): Any? =
        Gateway::class.java.getDeclaredField(name).apply { isAccessible = true }.get(gateway)

    val isReady: Boolean
        get() = runCatching {
            Socket("127.0.0.1", settings.readiness).use { socket ->
                val request = "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                socket.getOutputStream().write(request.toByteArray())
                " 200 " in socket.getInputStream().bufferedReader().readLine().orEmpty()
            }
        }.getOrDefault(false)
}

/**
 * Replicas that load weights, and gateways that order them to; the store is in memory. All replicas have weights 1 at
 * the start, which are the target.
 */
internal class LoadingFleet(replicas: Int = 3) : AutoCloseable {
    private val store = MemoryStore(SampleFleet("127.0.0.1:1"))
    private val started = CopyOnWriteArrayList<LoadingGateway>()

    /** The gateways, in the order of their starts. */
    val gateways: List<LoadingGateway> get() = started
    private val added = CopyOnWriteArrayList<LoadableReplica>()
    val replicas: List<LoadableReplica> get() = added

    init {
        repeat(replicas) { add("replica-$it") }
    }

    fun add(
        name: String,
        weights: Map<String, Int> = mapOf(SampleFleet.WEIGHTS_NAME to 1),
        service: String = "models",
    ): LoadableReplica {
        val replica = LoadableReplica(name, weights, service) { id, entry ->
            store.write(StoreKinds.REPLICAS, id, entry)
        }
        return replica.also { added.add(it) }
    }

    /** The gateway that has taken the rollout lease, null before the first. */
    val holder: String?
        get() = store.list(ObjectKind("guavapath-leases")).objects["rollout"]
            ?.let { Json.decodeFromJsonElement(LeaseRecord.serializer(), it.value).vm.text }

    /** Creates the gateway [name], linked with the first unless it has another [peerSecret]. */
    fun gateway(name: String, peerSecret: String? = null): LoadingGateway {
        val seeds = started.firstOrNull()?.let { listOf(it.settings.peers) }
        val settings = SampleSettings(name, seeds, isFirstStart = started.isEmpty())
        val index = started.size
        val own = GatewayStore(store) { replicas.associate { it.doors.first().address to it.doors[index].address } }
        return LoadingGateway(name, index, settings, own, peerSecret).also { started.add(it) }
    }

    /** Starts the gateway [name], and waits until it knows the replicas. */
    fun start(name: String, peerSecret: String? = null): LoadingGateway {
        val gateway = gateway(name, peerSecret)
        gateway.start()
        await("$name serves") { gateway.isReady }
        return gateway
    }

    /** Starts the gateway vm-0, has it bring all replicas to weights 2, and starts others that are linked with it. */
    fun startWithHolder(others: Int = 0, peerSecret: String? = null): LoadingGateway {
        val first = start("vm-0")
        name(2)
        await("the first weights are loaded") { replicas.all { it.weights() == 2 } }
        (1..others).forEach { start("vm-$it", peerSecret) }
        if (others > 0) Thread.sleep(LINK_TIME.inWholeMilliseconds)
        assertEquals("vm-0", holder)
        return first
    }

    /** Names the weights [number]; returns when. */
    fun name(number: Int, model: String = SampleFleet.WEIGHTS_NAME): TimeMark {
        val target = SampleFleet.weights(number).toString()
            .replace("\"${SampleFleet.WEIGHTS_NAME}\",", "\"$model\",")
        store.write(StoreKinds.WEIGHTS, model, Json.parseToJsonElement(target))
        return TimeSource.Monotonic.markNow()
    }

    /** Runs [block] while no gateway sees a change of the store. */
    fun unseen(block: () -> Unit) = synchronized(store) { block() }

    fun await(name: String, timeout: Duration = START_TIMEOUT, isTrue: () -> Boolean) {
        val until = TimeSource.Monotonic.markNow() + timeout
        while (!isTrue() && until.hasNotPassedNow()) Thread.sleep(POLL.inWholeMilliseconds)
        assertTrue(isTrue(), name)
    }

    /** Asserts that [replicas] have weights [number] within the bound, counted from [calmSince]. */
    fun assertLoaded(
        number: Int,
        calmSince: TimeMark = TimeSource.Monotonic.markNow(),
        model: String = SampleFleet.WEIGHTS_NAME,
        replicas: List<LoadableReplica> = this.replicas,
    ) {
        val isLoaded = { replicas.all { it.weights(model) == number } }
        while (!isLoaded() && calmSince.elapsedNow() < BOUND) Thread.sleep(POLL.inWholeMilliseconds)
        val seen = replicas.joinToString { "${it.name} has ${it.weights(model)} after ${it.orders.size} orders" }
        assertTrue(isLoaded(), "weights $number after $BOUND: $seen; $holder has the lease")
    }

    override fun close() {
        started.forEach { it.close() }
        replicas.forEach { it.close() }
        store.isAbandoned = true
    }

    companion object {
        /** Time of calm in which all replicas come to the newest weights. */
        val BOUND = 6.seconds
        private val POLL = 20.milliseconds
        private val START_TIMEOUT = 10.seconds

        /** Longer than gateways take to open their links and to publish a status. */
        private val LINK_TIME = 1500.milliseconds
    }
}
