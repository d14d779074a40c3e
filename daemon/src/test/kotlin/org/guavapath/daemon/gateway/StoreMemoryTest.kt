package org.guavapath.daemon.gateway

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.guavapath.platform.wire.SampleFleet
import java.net.InetAddress
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.io.path.readLines
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StoreMemoryTest {
    private val sample = SampleFleet("127.0.0.1:1")
    private val startedAt = System.nanoTime()
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0).apply {
        executor = Executors.newCachedThreadPool()
        createContext("/objects/config") { respond(it, ::configurations) }
        createContext("/objects/servers") { respond(it, ::replicas) }
        start()
    }

    /** Entries of other writers, which are written again at each revision. */
    private var others = emptyList<String>()

    /** The JVM options with which the platform runs the gateway. */
    private val options = Path.of("../deploy/system.toml").readLines().single { it.startsWith("run = ") }
        .split(' ').filter { it.startsWith("-X") && "Shared" !in it }

    @AfterTest
    fun stop() = server.stop(0)

    /** All objects are written again ten times a second. */
    private val revision get() = 1 + (System.nanoTime() - startedAt) / WRITE_INTERVAL_NANOSECONDS

    private fun respond(call: HttpExchange, objects: (Long) -> List<String>) {
        val after = call.requestURI.query.orEmpty().substringAfter("watch=", "").substringBefore('&').toLongOrNull()
        while (after != null && revision <= after) Thread.sleep(1)
        val asOf = revision
        call.sendResponseHeaders(200, 0)
        call.responseBody.bufferedWriter().use { writer ->
            writer.write(if (after == null) "{\"items\":[" else "{\"events\":[")
            objects(asOf).forEachIndexed { index, text ->
                if (index > 0) writer.write(",")
                writer.write(if (after == null) text else "{\"object\":$text}")
            }
            writer.write("],\"asOf\":$asOf}")
        }
    }

    private fun stored(name: String, revision: Long, content: Any) =
        """{"metadata":{"name":"$name","revision":$revision},"spec":$content}"""

    /** A configuration with as many routes as the store's limit for a value allows. */
    private fun configurations(revision: Long): List<String> {
        val small = sample.configuration(revision.toInt()).jsonObject
        val route = small.getValue("routes").jsonArray.first().jsonObject
        val routes = List(VALUE_BYTES / (route.toString().length + 10)) { number ->
            JsonObject(route + ("name" to JsonPrimitive("r-$number")) + ("pathPrefix" to JsonPrimitive("/$number/")))
        }
        return listOf(stored("main", revision, JsonObject(small + ("routes" to JsonArray(routes)))))
    }

    private fun replicas(revision: Long) = List(3) { stored("sound-$it", revision, sample.replica) } +
        others.mapIndexed { number, content -> stored("other-$number", revision, content) }

    /** Guards against gateways that end by exhausted heap as others write large or many unusable entries (Fault). */
    @Test
    fun entriesThatNameNoReplicaTakeNoMemory() {
        val cases = listOf(
            "large lists" to List(8) { entry(numbers(VALUE_BYTES / 2 - 100)) },
            "large texts" to List(8) { entry("\"${"x".repeat(VALUE_BYTES - 200)}\"") },
            "many lists within the limits" to List(2_000) { entry(numbers(1_500)) },
            "unknown fields of sound entries" to
                List(8) { sound(VALUE_BYTES) } + List(300) { sound(bytes = 20_000) },
        )
        cases.forEach { (name, entries) ->
            others = entries
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val command = listOf(java) + options + listOf("-cp", System.getProperty("java.class.path"), MAIN) +
                listOf("127.0.0.1:${server.address.port}", (revision + VERSIONS).toString())
            val process = ProcessBuilder(command).redirectErrorStream(true).start()
            val lines = Executors.newSingleThreadExecutor().submit<List<String>> { process.inputReader().readLines() }
            assertTrue(process.waitFor(60, TimeUnit.SECONDS), "$name: it goes on")
            assertEquals(0, process.exitValue(), "$name: ${lines.get().last()}")
            println("$name: ${lines.get().last()}")
        }
    }

    private fun entry(slots: String) =
        """{"service":"models","address":"127.0.0.1:9","zone":"domain","slots":$slots,"state":"ready"}"""

    private fun numbers(count: Int) = List(count) { "0" }.joinToString(",", "[", "]")

    private fun sound(bytes: Int) = JsonObject(
        sample.replica.jsonObject + ("note" to JsonArray(List(1_000) { JsonPrimitive("n".repeat(bytes / 1_000 - 5)) })),
    ).toString()

    private companion object {
        const val MAIN = "org.guavapath.daemon.gateway.StoreReaderKt"

        /** The store's limit for a value. */
        const val VALUE_BYTES = 1_048_576
        const val VERSIONS = 30
        const val WRITE_INTERVAL_NANOSECONDS = 100_000_000L
    }
}
