/**
 * Stand-in for a model engine with the widely used completion API.
 *
 * The uncached parts of prompts are prefilled one after another at a fixed rate; tokens then follow at a fixed
 * interval. `GET /engine/events?after=N` returns cache events and `GET /engine/load` a load report.
 * For tests: `PUT /faults`, `POST /standin/crash` and `GET /standin/counts`.
 */
package org.guavapath.standins.engine

import io.javalin.Javalin
import io.javalin.http.Context
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.routing.CacheEventBatch
import org.guavapath.core.routing.LoadReport
import org.guavapath.standins.loopbackServer
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val UNAVAILABLE = 503
private const val NOT_FOUND = 404
private const val MILLISECONDS_PER_SECOND = 1_000L
private const val CALLER_KEY_PREFIX = "gp_"
private const val EVENT_POLL_MILLISECONDS = 20L
private const val MAX_EVENT_WAIT_MILLISECONDS = 2_000L

/** Serves a model engine on a loopback port. */
internal class EngineStandIn(private val settings: EngineSettings) {
    private val prefillLock = ReentrantLock(true)
    private val running = AtomicInteger()
    private val queuedTokens = AtomicLong()
    private val started = AtomicLong()
    private val finished = AtomicLong()
    private val cancelled = AtomicLong()
    private val callerKeysSeen = AtomicLong()

    @Volatile
    private var faults = EngineFaults()

    @Volatile
    private var currentProcess =
        EngineProcess(Incarnation(System.currentTimeMillis()), PrefixCache(settings.cacheBlocks))

    private val server: Javalin = loopbackServer(settings.port) {
        before { countCallerKeys(it) }
        post("/v1/completions") { complete(it) }
        post("/v1/chat/completions") { complete(it) }
        get("/engine/events") { events(it) }
        get("/engine/load") { it.json(Json.encodeToString(LoadReport.serializer(), load())) }
        put("/faults") { faults = Json.decodeFromString(EngineFaults.serializer(), it.body()) }
        post("/standin/crash") { crash() }
        get("/standin/counts") { it.json(Json.encodeToString(EngineCounts.serializer(), counts())) }
    }

    val port: Int get() = server.port()

    fun stop() {
        server.stop()
    }

    private fun counts() = EngineCounts(started.get(), finished.get(), cancelled.get(), callerKeysSeen.get())

    private fun countCallerKeys(context: Context) {
        val headers = context.headerMap().entries.joinToString { "${it.key}: ${it.value}" }
        val content = headers + context.queryString().orEmpty() + context.body()
        if (CALLER_KEY_PREFIX in content) callerKeysSeen.incrementAndGet()
    }

    private fun crash() {
        currentProcess =
            EngineProcess(Incarnation(currentProcess.incarnation.number + 1), PrefixCache(settings.cacheBlocks))
    }

    private fun load(): LoadReport {
        val process = currentProcess
        return LoadReport(
            incarnation = process.incarnation,
            running = running.get(),
            queuedTokens = queuedTokens.get(),
            prefillTokensPerSecond = settings.prefillTokensPerSecond,
            models = settings.models,
            cacheSequence = process.cache.sequence,
        )
    }

    private fun events(context: Context) {
        val after = context.queryParam("after")?.toLongOrNull() ?: 0
        val expectedIncarnation = context.queryParam("incarnation")?.toLongOrNull()
        val deadline = System.currentTimeMillis() + MAX_EVENT_WAIT_MILLISECONDS
        while (hasNoNewEvents(after, expectedIncarnation) && System.currentTimeMillis() < deadline) {
            Thread.sleep(EVENT_POLL_MILLISECONDS)
        }
        val process = currentProcess
        val since = if (process.incarnation.number == expectedIncarnation) after else 0
        val batch = CacheEventBatch(process.incarnation, process.cache.eventsAfter(since))
        context.json(Json.encodeToString(CacheEventBatch.serializer(), batch))
    }

    private fun hasNoNewEvents(after: Long, expectedIncarnation: Long?): Boolean =
        currentProcess.incarnation.number == expectedIncarnation && currentProcess.cache.sequence <= after

    private fun complete(context: Context) {
        val request = EngineRequest(Json.parseToJsonElement(context.body()) as JsonObject, settings)
        if (faults.refuse) {
            context.status(UNAVAILABLE)
            return
        }
        if (settings.models.none { it.model.text == request.model }) {
            context.status(NOT_FOUND)
            return
        }
        started.incrementAndGet()
        running.incrementAndGet()
        try {
            val process = currentProcess
            val cachedTokens = prefill(request, process)
            val stream = TokenStream(context, request, cachedTokens, settings.tokenMilliseconds, faults)
            val isComplete = stream.write { currentProcess === process }
            if (isComplete) finished.incrementAndGet() else cancelled.incrementAndGet()
        } finally {
            running.decrementAndGet()
        }
    }

    /** Waits for the prefill of the uncached part of the prompt and caches it; returns the number of cached tokens. */
    private fun prefill(request: EngineRequest, process: EngineProcess): Int {
        val chain = request.chain()
        val promptTokens = request.promptTokens.toLong()
        queuedTokens.addAndGet(promptTokens)
        return try {
            prefillLock.withLock {
                val cachedTokens = minOf(request.promptTokens, process.cache.match(chain) * settings.pieceTokens)
                val uncachedTokens = request.promptTokens - cachedTokens
                Thread.sleep(uncachedTokens * MILLISECONDS_PER_SECOND / settings.prefillTokensPerSecond)
                process.cache.store(chain)
                cachedTokens
            }
        } finally {
            queuedTokens.addAndGet(-promptTokens)
        }
    }
}

/** State of an engine process, which a crash replaces by one with the next incarnation and an empty cache. */
internal class EngineProcess(val incarnation: Incarnation, val cache: PrefixCache)
