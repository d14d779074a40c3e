/**
 * Stand-in for a plain HTTP service that records operations, such as disc exchanges.
 *
 * It counts how often each operation, named by the header `X-Operation`, was run. For tests: `PUT /faults`,
 * `GET /standin/runs` (runs by operation) and `GET /standin/keys` (requests that contain a caller key).
 */
package org.guavapath.standins.service

import io.javalin.Javalin
import io.javalin.http.Context
import io.javalin.http.HandlerType
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavapath.standins.loopbackServer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

private const val CALLER_KEY_PREFIX = "gp_"
private const val OK = 200
private const val UNAVAILABLE = 503

/**
 * Faults that a test injects.
 *
 * @property delayMilliseconds time that a run takes
 * @property refuseWithRetryNow requests are refused with status 503 and `Retry-After: 0` after the run was counted
 * @property status status of the responses
 */
@Serializable
internal data class ServiceFaults(
    val delayMilliseconds: Long = 0,
    val refuseWithRetryNow: Boolean = false,
    val status: Int = OK,
)

/** Serves a plain service on a loopback port. */
internal class ServiceStandIn(port: Int) {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()
    private val callerKeysSeen = AtomicLong()

    @Volatile
    private var faults = ServiceFaults()

    private val server: Javalin = loopbackServer(port) {
        put("/faults") { faults = Json.decodeFromString(ServiceFaults.serializer(), it.body()) }
        get("/standin/runs") { it.json(Json.encodeToString(runs.mapValues { run -> run.value.get() })) }
        get("/standin/keys") { it.result(callerKeysSeen.get().toString()) }
        SERVED_METHODS.forEach { method -> addHttpHandler(method, "/<path>") { run(it) } }
    }

    val port: Int get() = server.port()

    fun stop() {
        server.stop()
    }

    private fun run(context: Context) {
        val content = context.headerMap().toString() + context.queryString().orEmpty() + context.body()
        if (CALLER_KEY_PREFIX in content) callerKeysSeen.incrementAndGet()
        val operation = context.header("X-Operation") ?: "unnamed"
        runs.computeIfAbsent(operation) { AtomicInteger() }.incrementAndGet()
        val activeFaults = faults
        Thread.sleep(activeFaults.delayMilliseconds)
        if (activeFaults.refuseWithRetryNow) {
            context.status(UNAVAILABLE).header("Retry-After", "0")
        } else {
            context.status(activeFaults.status)
            context.json("""{"operation":"$operation","path":"${context.path()}","done":true}""")
        }
    }

    private companion object {
        val SERVED_METHODS =
            listOf(HandlerType.GET, HandlerType.POST, HandlerType.PUT, HandlerType.PATCH, HandlerType.DELETE)
    }
}
