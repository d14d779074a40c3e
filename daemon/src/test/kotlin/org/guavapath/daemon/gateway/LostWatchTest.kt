package org.guavapath.daemon.gateway

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.guavapath.core.store.ObjectKind
import org.guavapath.platform.store.ObjectStoreClient
import org.guavapath.platform.wire.StoreKinds
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A store over HTTP that never answers what it receives while it is silent. */
private class SilentHttpStore : AutoCloseable {
    private val revision = AtomicLong(1)
    private val objects = ConcurrentHashMap<Pair<String, String>, Long>()
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0).apply {
        executor = Executors.newCachedThreadPool { work -> Thread(work).apply { isDaemon = true } }
        createContext("/objects/") { respond(it) }
        start()
    }

    @Volatile
    var isSilent = false

    val client = ObjectStoreClient("127.0.0.1:${server.address.port}")

    fun write(kind: ObjectKind, name: String) {
        objects[kind.text to name] = revision.incrementAndGet()
    }

    private fun respond(call: HttpExchange) {
        if (isSilent) return
        val kind = call.requestURI.path.substringAfterLast('/')
        val query = call.requestURI.query.orEmpty().split('&')
            .associate { it.substringBefore('=') to it.substringAfter('=') }
        val after = query["watch"]?.toLong()
        val until = System.nanoTime() + (query["waitMs"]?.toLong() ?: 0) * NANOSECONDS_IN_A_MILLISECOND
        while (after != null && changed(kind, after).isEmpty() && System.nanoTime() < until) Thread.sleep(1)
        if (isSilent) return
        val asOf = revision.get()
        val items = changed(kind, after ?: 0).map { (name, at) ->
            """{"metadata":{"name":"$name","revision":$at},"spec":1}"""
        }
        val text = if (after == null) {
            """{"items":[${items.joinToString()}],"truncated":false,"asOf":$asOf}"""
        } else {
            """{"events":[${items.joinToString { """{"object":$it,"deleted":false}""" }}],"asOf":$asOf}"""
        }
        call.sendResponseHeaders(200, text.length.toLong())
        call.responseBody.use { it.write(text.toByteArray()) }
    }

    private fun changed(kind: String, after: Long) =
        objects.filter { (key, at) -> key.first == kind && at > after }.map { (key, at) -> key.second to at }

    override fun close() = server.stop(0)

    private companion object {
        const val NANOSECONDS_IN_A_MILLISECOND = 1_000_000L
    }
}

class LostWatchTest {
    /** Silences, each after a gap from the one before or from a change that all views have just learned of. */
    private class Case(
        val name: String,
        val delayBetweenWatches: Duration,
        val silences: List<Silence>,
    )

    private class Silence(val gap: Duration, val length: Duration)

    private fun silentOnce(name: String, length: Duration, delayBetweenWatches: Duration) =
        Case(name, delayBetweenWatches, listOf(Silence(ANSWER_TIME, length)))

    /** Guards against changes that are learned late once the store is back, as answers to watches were lost (DRAIN). */
    @Test
    fun changesAreLearnedInTimeAfterTheAnswersToAllWatchesWereLost() = runBlocking {
        assertNoneLate(
            listOf(
                silentOnce("a moment", 60.milliseconds, 20.milliseconds),
                silentOnce("between two watches of a list", 400.milliseconds, 300.milliseconds),
                silentOnce("4.5 s", 4500.milliseconds, 300.milliseconds),
            ),
        )
    }

    /** Guards against a second silence in which the list after a lost watch is lost too (CONFIG). */
    @Test
    fun changesAreLearnedInTimeAfterTwoSilencesAtDrawnMoments() = runBlocking {
        assertNoneLate(
            (1..DRAWS).map { seed ->
                val random = Random(seed)
                fun drawn(from: Duration, until: Duration) = from + (until - from) * random.nextDouble()
                val first = Silence(drawn(Duration.ZERO, 100.milliseconds), drawn(20.milliseconds, 2.seconds))
                val second = Silence(drawn(Duration.ZERO, LONGEST_GAP), drawn(20.milliseconds, 2.seconds))
                Case("seed $seed", delayBetweenWatches = 20.milliseconds, listOf(first, second))
            },
        )
    }

    private suspend fun assertNoneLate(cases: List<Case>) {
        val late = coroutineScope { cases.map { async { it.name to lateViews(it) } }.awaitAll() }
        assertEquals(cases.map { it.name to emptyList<String>() }, late)
    }

    /** Returns the kinds whose change, made when the store is in touch again, is not learned in time. */
    private suspend fun lateViews(case: Case): List<String> = SilentHttpStore().use { store ->
        coroutineScope {
            val tracked = EraTrackingStore(store.client, GatewayLog())
            val kinds = listOf(StoreKinds.CONFIGURATIONS, StoreKinds.REPLICAS)
            val views = kinds.map { StoreView(it, tracked, GatewayLog(), case.delayBetweenWatches) {} }
            val following = views.map { launch { it.follow() } }
            kinds.forEach { store.write(it, "first") }
            delay(WARM_UP)
            kinds.forEach { store.write(it, "second") }
            case.silences.forEach {
                delay(it.gap)
                store.isSilent = true
                delay(it.length)
                store.isSilent = false
            }
            delay(CONTACT_TIME)
            kinds.forEach { store.write(it, "third") }
            withTimeoutOrNull(TIME_TO_APPLY) {
                while (views.any { "third" !in it.objects }) delay(10.milliseconds)
            }
            following.forEach { it.cancel() }
            views.filter { "third" !in it.objects }.map { it.kind.text }
        }
    }

    private companion object {
        const val DRAWS = 30

        /** Longer than a lost watch takes to be given up and the list to follow it. */
        val LONGEST_GAP = 4.seconds
        val WARM_UP = 1.seconds

        /** The views have learned of the change and not yet begun, or just begun, the next watch. */
        val ANSWER_TIME = 15.milliseconds

        /** Time from the end of a disturbance after which changes must be learned in time. */
        val CONTACT_TIME = 3.seconds

        /** Time within which a change of the configuration or the list of replicas must be learned. */
        val TIME_TO_APPLY = 2.seconds
    }
}
