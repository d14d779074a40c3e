/**
 * Stand-in for the platform store: objects by kind and name, with revisions, conditional writes and watches.
 *
 * Store API: `GET|POST /objects/KIND`, `GET|PUT|DELETE /objects/KIND/NAME`, `PUT /objects/KIND/NAME/status`. For
 * tests: `PUT /faults`, `POST /standin/forget` (drops the history) and `GET /standin/calls` (number of calls to the
 * store API).
 */
package org.guavapath.standins.platform

import io.javalin.Javalin
import io.javalin.http.Context
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.guavapath.standins.loopbackServer
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

private const val MAX_VALUE_BYTES = 1_048_576
private const val MAX_WATCH_MILLISECONDS = 30_000L
private const val PAGE_SIZE = 500
private const val OK = 200
private const val BAD_REQUEST = 400
private const val NOT_FOUND = 404
private const val CONFLICT = 409
private const val GONE = 410
private const val TOO_LARGE = 413
private const val UNAVAILABLE = 503

/**
 * Faults that a test injects.
 *
 * @property down calls to the store API fail with status 503
 * @property lostAnswerShare share of writes with a response of status 503 although they were carried out
 * @property delayMilliseconds delay of each call to the store API
 */
@Serializable
internal data class PlatformFaults(
    val down: Boolean = false,
    val lostAnswerShare: Double = 0.0,
    val delayMilliseconds: Long = 0,
)

/** Serves the platform store on a loopback port. */
internal class PlatformStandIn(port: Int) {
    private val store = ObjectStore()
    private val random = Random(port)
    private val calls = AtomicLong()

    @Volatile
    private var faults = PlatformFaults()

    private val server: Javalin = loopbackServer(port) {
        before { context -> beforeCall(context) }
        get("/objects/{kind}") { if (it.queryParam("watch") == null) list(it) else watch(it) }
        post("/objects/{kind}") { create(it) }
        get("/objects/{kind}/{name}") { read(it) }
        put("/objects/{kind}/{name}") { replace(it, isStatus = false) }
        put("/objects/{kind}/{name}/status") { replace(it, isStatus = true) }
        delete("/objects/{kind}/{name}") { remove(it) }
        put("/faults") { faults = Json.decodeFromString(PlatformFaults.serializer(), it.body()) }
        post("/standin/forget") { store.compactHistory() }
        get("/standin/calls") { it.result(calls.get().toString()) }
    }

    val port: Int get() = server.port()

    fun stop() {
        server.stop()
    }

    private fun beforeCall(context: Context) {
        if (context.path() == "/faults" || context.path().startsWith("/standin/")) return
        calls.incrementAndGet()
        val activeFaults = faults
        if (activeFaults.delayMilliseconds > 0) Thread.sleep(activeFaults.delayMilliseconds)
        if (activeFaults.down) {
            context.status(UNAVAILABLE)
            context.skipRemainingHandlers()
        }
    }

    private fun list(context: Context) {
        val after = context.queryParam("after")
        val asOf = store.revision
        val remaining = store.list(context.pathParam("kind")).filter { after == null || it.name > after }
        respond(context, OK) {
            putJsonArray("items") { remaining.take(PAGE_SIZE).forEach { add(jsonOf(it)) } }
            put("truncated", remaining.size > PAGE_SIZE)
            put("asOf", asOf)
        }
    }

    private fun watch(context: Context) {
        val after = context.queryParam("watch")?.toLongOrNull() ?: 0
        val wait = context.queryParam("waitMs")?.toLongOrNull() ?: MAX_WATCH_MILLISECONDS
        val changes = store.awaitChanges(context.pathParam("kind"), after, minOf(wait, MAX_WATCH_MILLISECONDS))
        when {
            faults.down -> context.status(UNAVAILABLE)
            changes == null -> context.status(GONE)
            else -> respond(context, OK) {
                putJsonArray("events") { changes.forEach { add(jsonOf(it)) } }
                put("asOf", maxOf(after, changes.lastOrNull()?.snapshot?.revision ?: after))
            }
        }
    }

    private fun read(context: Context) {
        val current = store.read(context.pathParam("kind"), context.pathParam("name"))
        if (current == null) context.status(NOT_FOUND) else context.status(OK).json(jsonOf(current).toString())
    }

    private fun create(context: Context) = handleWrite(context) { body ->
        val name = checkNotNull(body["metadata"]).jsonObject.getValue("name").jsonPrimitive.content
        store.create(context.pathParam("kind"), name, body["spec"] ?: JsonNull)
    }

    private fun replace(context: Context, isStatus: Boolean) = handleWrite(context) { body ->
        val expectedRevision = body["metadata"]?.jsonObject?.get("revision")?.jsonPrimitive?.long
        val content = body[if (isStatus) "status" else "spec"] ?: JsonNull
        store.replace(
            context.pathParam("kind"),
            context.pathParam("name"),
            expectedRevision,
            value = content.takeIf { !isStatus },
            status = content.takeIf { isStatus },
        )
    }

    private fun remove(context: Context) = respond(
        context,
        store.remove(
            context.pathParam("kind"),
            context.pathParam("name"),
            context.queryParam("revision")?.toLongOrNull(),
        ),
    )

    private fun handleWrite(context: Context, write: (JsonObject) -> WriteResult) {
        val text = context.body()
        if (text.length > MAX_VALUE_BYTES) {
            context.status(TOO_LARGE)
            return
        }
        try {
            respond(context, write(Json.parseToJsonElement(text).jsonObject))
        } catch (exception: SerializationException) {
            context.status(BAD_REQUEST).result(exception.message.orEmpty())
        }
    }

    /** Sends the [result]; a lost response has status 503 as in an outage although the write took effect. */
    private fun respond(context: Context, result: WriteResult) {
        when (result) {
            is WriteResult.Written -> context.status(OK).json(jsonOf(result.current).toString())
            is WriteResult.Conflict -> context.status(CONFLICT).json(jsonOf(result.current).toString())
            WriteResult.Missing -> context.status(NOT_FOUND)
        }
        if (random.nextDouble() < faults.lostAnswerShare) context.status(UNAVAILABLE).result("")
    }
}

private fun respond(context: Context, status: Int, build: JsonObjectBuilder.() -> Unit) {
    context.status(status).json(buildJsonObject(build).toString())
}

private fun jsonOf(target: StandInObject): JsonObject = buildJsonObject {
    putJsonObject("metadata") {
        put("name", target.name)
        put("revision", target.revision)
        put("createdRev", target.createdRevision)
        putJsonArray("finalizers") { }
        put("deleting", false)
    }
    put("spec", target.value)
    put("status", target.status)
}

private fun jsonOf(change: StandInChange): JsonObject = buildJsonObject {
    put("object", jsonOf(change.snapshot))
    put("deleted", change.isRemoved)
}
