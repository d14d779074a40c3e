/** Gateways and stand-ins for replicas as separate processes for the time of a test; their logs are kept. */
package org.guavapath.acceptance

import kotlinx.serialization.json.JsonElement
import org.guavapath.core.store.ObjectKind
import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.SampleRequest
import org.guavapath.platform.wire.SampleResponse
import org.guavapath.platform.wire.SampleRoute
import org.guavapath.platform.wire.StoreKinds
import java.io.BufferedReader
import java.io.IOException
import java.net.HttpURLConnection
import java.net.Socket
import java.net.URI
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.io.path.createDirectories
import kotlin.io.path.readLines
import kotlin.io.path.writeText

private const val LOOPBACK = "127.0.0.1"
private const val GATEWAYS = 3

/** A caller's connection to the gateway at [port]; it is opened again once the gateway has closed it. */
internal class CallerChannel(private val port: Int) : AutoCloseable {
    private var socket: Socket? = null
    private var input: BufferedReader? = null

    /** Sends [request] with [id] and returns the response, null if it is broken off. */
    fun exchange(request: SampleRequest, id: String): SampleResponse? = try {
        val channel = socket ?: Socket(LOOPBACK, port).also {
            socket = it
            it.soTimeout = TIMEOUT_MILLISECONDS
            input = it.getInputStream().bufferedReader()
        }
        channel.getOutputStream().write(request.text(id, isLast = false).toByteArray())
        read(checkNotNull(input))
    } catch (_: IOException) {
        close()
        null
    }

    private fun read(input: BufferedReader): SampleResponse {
        val head = generateSequence { line(input).ifEmpty { null } }.toList()
        val isChunked = head.any { it.equals("Transfer-Encoding: chunked", ignoreCase = true) }
        val body = if (isChunked) chunks(input) else text(input, SampleRequest.bodyLength(head))
        if (head.any { it.equals("Connection: close", ignoreCase = true) }) close()
        return SampleResponse.received(head, body)
    }

    private fun chunks(input: BufferedReader): String = generateSequence {
        val length = line(input).toInt(HEXADECIMAL)
        text(input, length).also { line(input) }.ifEmpty { null }
    }.joinToString("")

    private fun line(input: BufferedReader): String = input.readLine() ?: throw IOException("broken off")

    private fun text(input: BufferedReader, length: Int) = String(
        CharArray(length) {
            val character = input.read()
            if (character < 0) throw IOException("broken off")
            character.toChar()
        },
    )

    override fun close() {
        socket?.close()
        socket = null
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 15_000
        const val HEXADECIMAL = 16
    }
}

/**
 * [GATEWAYS] gateways in front of [replicaCount] stand-ins for replicas.
 *
 * @param name names the folder of the logs
 * @param standIn the settings of the stand-in with a number, at a port
 */
internal open class GatewayFleet(
    name: String,
    replicaCount: Int,
    private val standIn: (number: Int, port: Int) -> String,
) : AutoCloseable {
    private class GatewayPorts {
        val callers = Fleet.freePort()
        val readiness = Fleet.freePort()
        val peers = Fleet.freePort()
    }

    private val folder = Path.of("target", "$name-${ProcessHandle.current().pid()}").createDirectories()
    private val processes = CopyOnWriteArrayList<Process>()
    private val store = Fleet.freePort()
    private val gatewayPorts = List(GATEWAYS) { GatewayPorts() }

    /** The processes that the replicas were started as. */
    val replicas = ArrayList<Process>()
    val replicaPorts = List(replicaCount) { Fleet.freePort() }

    /** Ports of the gateways that callers connect to. */
    val callerPorts: List<Int> = gatewayPorts.map { it.callers }

    init {
        runCatching { start() }.onFailure {
            close()
            throw it
        }
    }

    private fun start() {
        launch("platform", STAND_IN_COMMAND, """{"platformPort": $store}""")
        replicaPorts.indices.forEach { replicas += launchReplica(it, replicaName(it)) }
        (replicaPorts + store).forEach { port -> Fleet.eventually("port $port is open") { isOpen(port) } }
        val sample = SampleFleet("$LOOPBACK:${replicaPorts.first()}")
        create(StoreKinds.CONFIGURATIONS, SampleFleet.CONFIGURATION_NAME, sample.configuration)
        create(StoreKinds.WEIGHTS, SampleFleet.WEIGHTS_NAME, sample.weights)
        replicaPorts.forEachIndexed { number, port ->
            create(StoreKinds.REPLICAS, replicaName(number), SampleFleet("$LOOPBACK:$port").replica)
        }
        gatewayPorts.forEachIndexed { number, ports ->
            launch("gateway-$number", GATEWAY_COMMAND, settings(number, ports))
        }
        callerPorts.forEach { port -> Fleet.eventually("the gateway at $port serves") { serves(port) } }
    }

    private fun settings(number: Int, ports: GatewayPorts) = """
        {"vm": "vm-$number", "failureDomain": "domain", "callers": "$LOOPBACK:${ports.callers}",
         "readiness": "$LOOPBACK:${ports.readiness}", "peers": "$LOOPBACK:${ports.peers}", "store": "$LOOPBACK:$store",
         "peerSeeds": ["$LOOPBACK:${gatewayPorts.first().peers}"], "peerSecrets": ["a secret of this test"],
         "drainMilliseconds": 1000, "repeatRatio": 1.0, "repeatWindowSeconds": 1, "repeatSlack": 100.0}
    """.trimIndent()

    /** Starts the replica [number] as a process, which [log] names. */
    fun launchReplica(number: Int, log: String): Process =
        launch(log, STAND_IN_COMMAND, standIn(number, replicaPorts[number]))

    private fun launch(name: String, command: List<String>, settings: String): Process {
        val file = folder.resolve("$name.json").apply { writeText(settings) }
        return ProcessBuilder(command + file.toString())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("$name.log").toFile())
            .start()
            .also { processes += it }
    }

    /** Returns what the process that [log] names has written, line by line. */
    fun linesOf(log: String): List<String> = folder.resolve("$log.log").readLines()

    fun create(kind: ObjectKind, name: String, value: JsonElement): String =
        call(store, "/objects/${kind.text}", objectOf(name, value))

    fun replace(kind: ObjectKind, name: String, value: JsonElement): String =
        call(store, "/objects/${kind.text}/$name", objectOf(name, value), method = "PUT")

    fun remove(kind: ObjectKind, name: String): String = call(store, "/objects/${kind.text}/$name", method = "DELETE")

    private fun objectOf(name: String, value: JsonElement) = """{"metadata": {"name": "$name"}, "spec": $value}"""

    fun call(
        port: Int,
        path: String,
        body: String? = null,
        method: String = if (body == null) "GET" else "POST",
    ): String {
        val connection = URI("http://$LOOPBACK:$port$path").toURL().openConnection() as HttpURLConnection
        connection.requestMethod = method
        connection.doOutput = body != null
        body?.let { connection.outputStream.write(it.toByteArray()) }
        return connection.inputStream.use { it.readBytes().decodeToString() }
    }

    private fun isOpen(port: Int): Boolean = try {
        Socket(LOOPBACK, port).use { true }
    } catch (_: IOException) {
        false
    }

    private fun serves(port: Int): Boolean = CallerChannel(port).use {
        val request = SampleRequest(SampleRoute.LOOKUPS, "warm-up", "{}")
        it.exchange(request, System.nanoTime().toString())?.status == SUCCESS
    }

    override fun close() {
        processes.forEach { it.destroyForcibly() }
        processes.forEach { it.waitFor() }
    }

    companion object {
        /** Returns the name of the replica [number] in the store, and of its log. */
        fun replicaName(number: Int): String = "replica-$number"

        private const val SUCCESS = 200
        private val STAND_IN_COMMAND = listOf("$projectRoot/bin/standins", "--settings")
        private const val JAVA = "java -Xmx96m -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
        private val GATEWAY_COMMAND = "$JAVA -jar $projectRoot/target/guavapath-gateway.jar --settings".split(' ')
    }
}
