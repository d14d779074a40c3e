/**
 * Stand-in of the platform's store: objects by kind and name, with revisions, conditional writes and watches.
 *
 * `GET|POST /objects/KIND`, `GET|PUT|DELETE /objects/KIND/NAME`; `PUT /faults`, `POST /standin/forget` and
 * `GET /standin/calls` serve tests.
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

private const val LARGEST_VALUE_BYTES = 1_048_576
private const val LONGEST_WATCH_MILLISECONDS = 30_000L
private const val PAGE_SIZE = 500
private const val OK = 200
private const val BAD_REQUEST = 400
private const val NOT_FOUND = 404
private const val CONFLICT = 409
private const val GONE = 410
private const val TOO_LARGE = 413
private const val UNAVAILABLE = 503

/** Faults that a test sets: an outage, the share of writes whose answers are lost, and a delay of each call. */
@Serializable
internal data class PlatformFaults(
    val down: Boolean = false,
    val lostAnswerShare: Double = 0.0,
    val delayMilliseconds: Long = 0,
)

/** The platform on a loopback port. */
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
        put("/objects/{kind}/{name}") { replace(it) }
        delete("/objects/{kind}/{name}") { remove(it) }
        put("/faults") { faults = Json.decodeFromString(PlatformFaults.serializer(), it.body()) }
        post("/standin/forget") { store.forgetHistory() }
        get("/standin/calls") { it.result(calls.get().toString()) }
    }

    val port: Int get() = server.port()

    fun stop() {
        server.stop()
    }

    private fun beforeCall(context: Context) {
        if (context.path() == "/faults" || context.path().startsWith("/standin/")) return
        calls.incrementAndGet()
        val present = faults
        if (present.delayMilliseconds > 0) Thread.sleep(present.delayMilliseconds)
        if (present.down) {
            context.status(UNAVAILABLE)
            context.skipRemainingHandlers()
        }
    }

    private fun list(context: Context) {
        val after = context.queryParam("after")
        val asOf = store.revision
        val rest = store.list(context.pathParam("kind")).filter { after == null || it.name > after }
        answer(context, OK) {
            putJsonArray("items") { rest.take(PAGE_SIZE).forEach { add(jsonOf(it)) } }
            put("truncated", rest.size > PAGE_SIZE)
            put("asOf", asOf)
        }
    }

    private fun watch(context: Context) {
        val after = context.queryParam("watch")?.toLongOrNull() ?: 0
        val wait = context.queryParam("waitMs")?.toLongOrNull() ?: LONGEST_WATCH_MILLISECONDS
        val changes = store.awaitChanges(context.pathParam("kind"), after, minOf(wait, LONGEST_WATCH_MILLISECONDS))
        when {
            faults.down -> context.status(UNAVAILABLE)
            changes == null -> context.status(GONE)
            else -> answer(context, OK) {
                putJsonArray("events") { changes.forEach { add(jsonOf(it)) } }
                put("asOf", maxOf(after, changes.lastOrNull()?.present?.revision ?: after))
            }
        }
    }

    private fun read(context: Context) {
        val present = store.read(context.pathParam("kind"), context.pathParam("name"))
        if (present == null) context.status(NOT_FOUND) else context.status(OK).json(jsonOf(present).toString())
    }

    private fun create(context: Context) = writing(context) { body ->
        val name = checkNotNull(body["metadata"]).jsonObject.getValue("name").jsonPrimitive.content
        store.create(context.pathParam("kind"), name, body["spec"] ?: JsonNull)
    }

    private fun replace(context: Context) = writing(context) { body ->
        val condition = body["metadata"]?.jsonObject?.get("revision")?.jsonPrimitive?.long
        store.replace(context.pathParam("kind"), context.pathParam("name"), body["spec"] ?: JsonNull, condition)
    }

    private fun remove(context: Context) = answer(
        context,
        store.remove(
            context.pathParam("kind"),
            context.pathParam("name"),
            context.queryParam("revision")?.toLongOrNull(),
        ),
    )

    private fun writing(context: Context, write: (JsonObject) -> WriteResult) {
        val text = context.body()
        if (text.length > LARGEST_VALUE_BYTES) {
            context.status(TOO_LARGE)
            return
        }
        try {
            answer(context, write(Json.parseToJsonElement(text).jsonObject))
        } catch (exception: SerializationException) {
            context.status(BAD_REQUEST).result(exception.message.orEmpty())
        }
    }

    /** A lost answer looks to the client like an outage although the write took effect. */
    private fun answer(context: Context, result: WriteResult) {
        when (result) {
            is WriteResult.Written -> context.status(OK).json(jsonOf(result.present).toString())
            is WriteResult.Conflict -> context.status(CONFLICT).json(jsonOf(result.present).toString())
            WriteResult.Missing -> context.status(NOT_FOUND)
        }
        if (random.nextDouble() < faults.lostAnswerShare) context.status(UNAVAILABLE).result("")
    }
}

private fun answer(context: Context, status: Int, build: JsonObjectBuilder.() -> Unit) {
    context.status(status).json(buildJsonObject(build).toString())
}

private fun jsonOf(present: StandInObject): JsonObject = buildJsonObject {
    putJsonObject("metadata") {
        put("name", present.name)
        put("revision", present.revision)
        put("createdRev", present.createdRevision)
        putJsonArray("finalizers") { }
        put("deleting", false)
    }
    put("spec", present.value)
    put("status", JsonNull)
}

private fun jsonOf(change: StandInChange): JsonObject = buildJsonObject {
    put("object", jsonOf(change.present))
    put("deleted", change.isRemoved)
}
