package org.guavapath.acceptance

import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.StoreKinds
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

private const val REPLICAS = 6

/**
 * Gateways in front of [REPLICAS] replicas whose processes end when they run a prompt with [deadlyPart].
 *
 * A replica that has ended is started again at once at its address. Half of them then have a new name; they are listed
 * at once, 1.5 s, or 3 s later.
 */
internal class CrashFleet(private val deadlyPart: String) : AutoCloseable {
    private val fleet = GatewayFleet("crash", REPLICAS, ::standIn)
    private val logs = CopyOnWriteArrayList(List(REPLICAS) { GatewayFleet.replicaName(it) })
    private val supervisors = fleet.replicas.mapIndexed { number, process ->
        thread {
            try {
                supervise(number, process)
            } catch (_: InterruptedException) {
                // The fleet is closed.
            }
        }
    }
    val callerPorts: List<Int> get() = fleet.callerPorts

    private fun standIn(number: Int, port: Int): String {
        val crashTime = CRASH_MILLISECONDS[number % CRASH_MILLISECONDS.size]
        val replica = """{"port": $port, "deadlyPart": "$deadlyPart", "crashMilliseconds": $crashTime}"""
        return """{"crashingReplicas": [$replica]}"""
    }

    /** Returns when [event] happened at replicas, in Unix milliseconds, in order. */
    fun times(event: String): List<Long> = logs.flatMap { fleet.linesOf(it) }
        .filter { it.startsWith("$event ") }.map { it.substringAfter(' ').toLong() }.sorted()

    private fun supervise(number: Int, first: Process) {
        var process = first
        var listed = GatewayFleet.replicaName(number)
        generateSequence(1) { it + 1 }.forEach { start ->
            process.waitFor()
            val log = "${GatewayFleet.replicaName(number)}-$start"
            process = fleet.launchReplica(number, log)
            logs += log
            val startedAt = System.currentTimeMillis()
            Thread.sleep(LISTING_MILLISECONDS[number % LISTING_MILLISECONDS.size])
            listed = list(number, listed, if (number % 2 == 0) listed else log, startedAt)
        }
    }

    /** Lists the replica [number] as [name] in place of [listed]. */
    private fun list(number: Int, listed: String, name: String, startedAt: Long): String {
        val entry = SampleFleet.replicaEntry("127.0.0.1:${fleet.replicaPorts[number]}", startedAt)
        if (name == listed) {
            fleet.replace(StoreKinds.REPLICAS, name, entry)
        } else {
            fleet.remove(StoreKinds.REPLICAS, listed)
            fleet.create(StoreKinds.REPLICAS, name, entry)
        }
        return name
    }

    override fun close() {
        supervisors.forEach { it.interrupt() }
        supervisors.forEach { it.join() }
        fleet.close()
    }

    private companion object {
        val CRASH_MILLISECONDS = listOf(20, 60, 120)
        val LISTING_MILLISECONDS = listOf(0L, 0L, 1_500L, 1_500L, 3_000L, 3_000L)
    }
}
