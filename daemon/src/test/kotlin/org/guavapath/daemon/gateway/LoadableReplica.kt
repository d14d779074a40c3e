package org.guavapath.daemon.gateway

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.platform.wire.ReplicaCodec
import org.guavapath.platform.wire.SampleFleet
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** An order to load weights, as a replica receives it. */
@Serializable
internal data class ReceivedOrder(
    val model: String,
    val version: Int,
    val holder: String,
    val fence: Long,
    val expected: Long,
)

/** What becomes of an order that reaches a replica. */
internal enum class OrderFate {
    /** It is answered and, if it is accepted, carried out. */
    PROCESSED,

    /** It is not answered, and processed when [LoadableReplica.releaseHeld] is called. */
    HELD,

    /** It is neither answered nor processed. */
    LOST,

    /** It is answered as accepted, but not carried out. */
    DROPPED,

    /** It is answered with an error. */
    REFUSED,
}

@Serializable
private data class ModelState(val name: String, val version: Int)

@Serializable
private data class State(val models: List<ModelState>, val busy: Boolean, val seq: Long)

/**
 * A replica of the sample fleet that loads the weights that it is ordered to.
 *
 * It reports its state as it was a moment ago, and writes its list entry at each start and at an interval. A restart
 * forgets the orders and has the weights that it is given.
 *
 * @param name the replica's id
 * @param startWeights its weights by model
 * @param service the service that it belongs to
 * @param list writes its list entry
 */
internal class LoadableReplica(
    val name: String,
    startWeights: Map<String, Int>,
    private val service: String = "models",
    private val list: (String, JsonElement) -> Unit,
) : AutoCloseable {
    /** The state between two starts. */
    private class Life(val startedAt: Long, var weights: Map<String, Int>) {
        var acceptedOrders = 0L
        var fence = 0L
        var isLoading = false
        val states = ArrayDeque<Pair<TimeMark, State>>()
    }

    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private val held = ConcurrentLinkedQueue<ReceivedOrder>()
    private val received = ConcurrentLinkedQueue<ReceivedOrder>()
    private val reportCount = AtomicInteger()
    private var life = Life(FIRST_START, startWeights)

    /** Where each gateway reaches the replica, by the gateway's index. */
    val doors = List(MAX_GATEWAYS) { ReplicaDoor(::answer) }

    /** Decides what becomes of an order. */
    @Volatile
    var fate: (ReceivedOrder) -> OrderFate = { OrderFate.PROCESSED }

    /** Time for which a load waits for running requests. */
    @Volatile
    var waitTime: Duration = Duration.ZERO

    /** Whether an order of another kind is in progress. */
    @Volatile
    var isBlocked = false

    /** Whether the replica writes its list entry at the interval. */
    @Volatile
    var isListing = true

    /** Whether the list entry names no weights. */
    @Volatile
    var isListedWithoutWeights = false

    /** Whether requests run whatever weights they expect. */
    @Volatile
    var ignoresExpectedWeights = false

    /** Orders that arrived, whatever became of them. */
    val orders: List<ReceivedOrder> get() = received.toList()

    /** Number of reports since the last start. */
    val reports: Int get() = reportCount.get()

    init {
        changed()
        writeEntry()
        val interval = LISTING_INTERVAL.inWholeMilliseconds
        timer.scheduleAtFixedRate({ if (isListing) writeEntry() }, interval, interval, TimeUnit.MILLISECONDS)
    }

    @Synchronized
    fun weights(model: String = SampleFleet.WEIGHTS_NAME): Int? = life.weights[model]

    /** Starts again under the same id, with [weights]. */
    @Synchronized
    fun restart(weights: Map<String, Int>) {
        life = Life(life.startedAt + 1, weights)
        reportCount.set(0)
        changed()
        doors.forEach { it.disconnect() }
        writeEntry()
    }

    /** Processes the orders that were held. */
    fun releaseHeld() = generateSequence { held.poll() }.toList().forEach { process(it) }

    /** Writes the list entry as it is now. */
    @Synchronized
    fun writeEntry() {
        val weights = if (isListedWithoutWeights) emptyMap() else life.weights
        val entry = SampleFleet.replicaEntry(doors.first().address, life.startedAt).jsonObject
        val models = weights.map { json.encodeToJsonElement(ModelState.serializer(), ModelState(it.key, it.value)) }
        list(name, JsonObject(entry + mapOf("service" to JsonPrimitive(service), "models" to JsonArray(models))))
    }

    private fun answer(head: List<String>, body: String): String? {
        val (header, id) = ReplicaCodec.callHeaders(ReplicaId(name)).first()
        val path = head.first().split(' ')[1]
        return when {
            head.any { it.startsWith("$header: ", ignoreCase = true) && it.substringAfter(": ") != id } ->
                response(MISDIRECTED)
            path == ReplicaCodec.REPORT_PATH -> {
                reportCount.incrementAndGet()
                response(OK, report())
            }
            path == ReplicaCodec.ORDER_PATH -> ordered(json.decodeFromString(ReceivedOrder.serializer(), body))
            else -> request(head)
        }
    }

    private fun ordered(order: ReceivedOrder): String? {
        received.add(order)
        return when (fate(order)) {
            OrderFate.PROCESSED -> response(process(order))
            OrderFate.HELD -> null.also { held.add(order) }
            OrderFate.LOST -> null
            OrderFate.DROPPED -> response(drop(order))
            OrderFate.REFUSED -> response(UNAVAILABLE)
        }
    }

    /** Returns the status of the response to [order], and begins to load if it is accepted. */
    @Synchronized
    private fun process(order: ReceivedOrder): Int {
        val status = accept(order)
        if (status != ACCEPTED) return status
        val present = life
        present.isLoading = true
        changed()
        timer.schedule({ loaded(present, order) }, (waitTime + LOAD_TIME).inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return status
    }

    /** Whether it rejects orders with a lower fencing token than it has seen. */
    @Volatile
    var checksFences = true

    @Synchronized
    private fun drop(order: ReceivedOrder): Int = accept(order).also { changed() }

    private fun accept(order: ReceivedOrder): Int = when {
        checksFences && order.fence < life.fence -> FENCED
        life.isLoading || isBlocked || order.expected != life.acceptedOrders -> CONFLICT
        life.weights[order.model] == order.version -> OK
        else -> {
            life.fence = order.fence
            life.acceptedOrders += 1
            ACCEPTED
        }
    }

    @Synchronized
    private fun loaded(ordered: Life, order: ReceivedOrder) {
        ordered.weights += order.model to order.version
        ordered.isLoading = false
        if (ordered === life) changed()
    }

    @Synchronized
    private fun changed() {
        val models = life.weights.map { ModelState(it.key, it.value) }
        life.states.addLast(TimeSource.Monotonic.markNow() to State(models, life.isLoading, life.acceptedOrders))
    }

    @Synchronized
    private fun report(): String {
        val state = life.states.lastOrNull { (at, _) -> at.elapsedNow() >= REPORT_LAG } ?: life.states.first()
        return json.encodeToString(State.serializer(), state.second.let { it.copy(busy = it.busy || isBlocked) })
    }

    private fun request(head: List<String>): String {
        val id = checkNotNull(SampleFleet.attemptIdIn(head))
        val weights = weights()
        val expected = head.firstOrNull { it.startsWith(EXPECTED_WEIGHTS) }?.substringAfter(": ")?.toInt()
        if (expected != null && expected != weights && !ignoresExpectedWeights) return response(MISDIRECTED)
        val event = "id: 1\ndata: a\n\n"
        val responseHead = SampleFleet.responseHead(id, isFramed = true).replace(": 1\r\n", ": $weights\r\n")
        return "$responseHead${event.length.toString(HEXADECIMAL)}\r\n$event\r\n0\r\n\r\n"
    }

    private fun response(status: Int, body: String = "{}") =
        "HTTP/1.1 $status Status\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n$body"

    override fun close() {
        timer.shutdownNow()
        doors.forEach { it.close() }
    }

    private companion object {
        const val MAX_GATEWAYS = 4
        const val FIRST_START = 1_000L
        const val OK = 200
        const val ACCEPTED = 202
        const val CONFLICT = 409
        const val FENCED = 412
        const val MISDIRECTED = 421
        const val UNAVAILABLE = 503
        const val HEXADECIMAL = 16
        val EXPECTED_WEIGHTS = SampleFleet("").linesAtReplica.last().substringBeforeLast(' ')
        val json = Json { ignoreUnknownKeys = true }
        val LISTING_INTERVAL = 1200.milliseconds
        val REPORT_LAG = 100.milliseconds
        val LOAD_TIME = 210.milliseconds
    }
}
