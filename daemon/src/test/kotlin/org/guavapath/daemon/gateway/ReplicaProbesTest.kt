package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.placement.ReplicaRegistry
import org.guavapath.core.time.MonotonicTime
import org.junit.jupiter.api.assertAll
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReplicaProbesTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    /**
     * What a replica does after one of its connections has closed.
     *
     * @property hasEnded whether it has ended
     * @property inquiries number of requests that were cut off
     */
    private class Case(
        val name: String,
        val hasEnded: Boolean,
        val inquiries: Int = 1,
        val change: ReplicaProbesTest.(Trial) -> Unit,
    )

    /**
     * A [change] that the list shows after the connection has closed; the address goes on accepting connections.
     *
     * @property outlived whether the last connection was accepted, the replica is listed, and leaves; null if it ended
     */
    private class ListCase(
        val name: String,
        val outlived: String?,
        val after: Duration,
        val before: (Trial) -> Unit = {},
        val change: (Trial) -> Unit,
    )

    /** A replica that listens and is listed, and what is found out of it for each inquiry. */
    private inner class Trial(inquiries: Int = 1) : AutoCloseable {
        val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
        val replica = replicaAt(server.localPort)
        val successor = replica.copy(id = ReplicaId("successor"), startedAt = replica.startedAt + 1)
        private val pool = ReplicaPool(loop)
        private val listed = ReplicaRegistry()
        private val probes = ReplicaProbes(loop, pool, listed)
        private val blocking = ArrayList<Socket>()
        val results = List(inquiries) { CopyOnWriteArrayList<String>() }

        /** Connections that were tried, as is told at the end of an examination. */
        @Volatile
        var tried = 0

        /** Connections that were tried. */
        val connections: Long get() = pool.opened

        fun examine() = results.forEach {
            loop.submit {
                probes.examine(replica, { it += ENDED }, { it += SETTLED }) { survival ->
                    it += "$OUTLIVED ${survival.isAccepting} ${survival.isListed} ${survival.isLeaving}"
                    tried = survival.connections
                }
            }.get()
        }

        fun confirm(result: MutableList<String>) {
            loop.submit { probes.confirm(replica, { result += ENDED }, { result += ALIVE }) }.get()
        }

        fun listNextIncarnation() = list(replica.copy(startedAt = replica.startedAt + 1))

        fun list(vararg entries: Replica) {
            loop.submit { listed.update(entries.toList()) }.get()
        }

        /** Records that the replica has said that it leaves. */
        fun leaves() {
            loop.submit { listed.leaving.record(replica.incarnation, MonotonicTime.now()) }.get()
        }

        /** Fills the queue of connections, so that further ones time out. */
        fun block() = repeat(2 * BACKLOG) {
            val socket = Socket().also { blocking += it }
            runCatching { socket.connect(server.localSocketAddress, 1) }
        }

        override fun close() {
            server.close()
            blocking.forEach { it.close() }
        }
    }

    private val cases = listOf(
        Case("refuses connections", hasEnded = true) { it.server.close() },
        Case("three requests were cut off", hasEnded = true, inquiries = 3) { it.server.close() },
        Case("accepts connections for 5 ms more", hasEnded = true) { it.server.closeAfter(5.milliseconds) },
        Case("accepts connections for 30 ms more", hasEnded = true) { it.server.closeAfter(30.milliseconds) },
        Case("accepts connections for 400 ms more", hasEnded = true) { it.server.closeAfter(400.milliseconds) },
        Case("hands a connection over after its end", hasEnded = true) { trial ->
            val waiting = thread(isDaemon = true) { runCatching { trial.server.accept() } }
            while (waiting.state != Thread.State.RUNNABLE) Thread.sleep(1)
            trial.server.closeAfter(0.milliseconds)
        },
        Case("its next incarnation is listed", hasEnded = true) { it.listNextIncarnation() },
        Case("accepts connections", hasEnded = false) {},
        Case("three responses of it broke off", hasEnded = false, inquiries = 3) {},
        Case("closes each connection at once", hasEnded = false) { trial ->
            thread(isDaemon = true) {
                generateSequence { runCatching { trial.server.accept() }.getOrNull() }.forEach { it.close() }
            }
        },
    )

    private fun ServerSocket.closeAfter(delay: Duration) = thread(isDaemon = true) {
        Thread.sleep(delay.inWholeMilliseconds)
        close()
    }

    private fun replicaAt(port: Int) = Replica(
        ReplicaId("replica"),
        startedAt = 1,
        ServiceName("service"),
        "127.0.0.1:$port",
        FailureDomainName("domain"),
        slots = 1,
        isDraining = false,
        warmUpLeft = Duration.ZERO,
        weights = emptyMap(),
    )

    /** Guards against taking a replica that ends for alive, as it accepts connections a moment longer. */
    @Test
    fun anAcceptedConnectionDoesNotShowThatAReplicaLives() {
        val trials = cases.associateWith { Trial(it.inquiries) }
        trials.forEach { (case, trial) ->
            trial.list(trial.replica)
            case.change(this, trial)
            trial.examine()
        }
        Thread.sleep(TIME_TO_DECIDE.inWholeMilliseconds)
        trials.forEach { (case, trial) ->
            val expected = if (case.hasEnded) listOf(ENDED, SETTLED) else listOf(SETTLED)
            trial.results.forEach { assertEquals(expected, it.sorted(), "${case.name}: $it") }
            trial.close()
        }
    }

    private val listCases = listOf(
        ListCase("another replica at its address", outlived = null, after = 2.seconds) {
            it.list(it.replica, it.successor)
        },
        ListCase("another replica at its address, 5 s late", outlived = null, after = 5.seconds) {
            it.list(it.successor)
        },
        ListCase("another replica without a start at its address", outlived = null, after = 2.seconds) {
            it.list(it.replica, it.successor.copy(startedAt = 0))
        },
        ListCase("its next incarnation, 5 s late", outlived = null, after = 5.seconds) { it.listNextIncarnation() },
        ListCase("nothing any more", outlived = null, after = 3.seconds) { it.list() },
        ListCase("another address", outlived = null, after = 3.seconds) {
            it.list(it.replica.copy(address = "127.0.0.1:1"))
        },
        ListCase("what it did", outlived = "true true false", after = 2.seconds) { it.list(it.replica) },
        ListCase("another replica at another address", outlived = "true true false", after = 2.seconds) {
            it.list(it.replica, it.successor.copy(address = "127.0.0.1:1"))
        },
        ListCase(
            "a replica that was at its address before",
            outlived = "true true false",
            after = 2.seconds,
            before = { it.list(it.replica, it.successor.copy(startedAt = 0)) },
            change = { it.list(it.replica, it.successor.copy(startedAt = 0)) },
        ),
        ListCase(
            "nothing, as before",
            outlived = "true false false",
            after = 1.seconds,
            before = { it.list() },
            change = { it.list() },
        ),
        ListCase("that it drains, and then nothing", outlived = "true false true", after = 1.seconds) { trial ->
            trial.list(trial.replica.copy(isDraining = true))
            Thread.sleep(1_000)
            trial.list()
        },
        ListCase(
            "nothing after it has said that it leaves",
            outlived = "true false true",
            after = 2.seconds,
            before = { it.leaves() },
            change = { it.list() },
        ),
        ListCase(
            "its next incarnation after it has said that it leaves",
            outlived = "true false true",
            after = 2.seconds,
            before = { it.leaves() },
            change = { it.listNextIncarnation() },
        ),
        ListCase(
            "another replica at its address after it has said that it leaves",
            outlived = "true false true",
            after = 2.seconds,
            before = { it.leaves() },
            change = { it.list(it.successor) },
        ),
        ListCase(
            "nothing, as it is cut off from all",
            outlived = "false false false",
            after = 2.seconds,
            before = { it.block() },
            change = { it.list() },
        ),
    )

    /** Guards against missing a crash that only the list shows, as the next replica at the address accepts at once. */
    @Test
    fun theListShowsThatAReplicaHasEndedWhichStartsAgainAtOnce() {
        val trials = listCases.associateWith { Trial() }
        val changes = trials.map { (case, trial) ->
            trial.list(trial.replica)
            case.before(trial)
            trial.examine()
            thread {
                Thread.sleep(case.after.inWholeMilliseconds)
                case.change(trial)
            }
        }
        changes.forEach { it.join() }
        Thread.sleep(ReplicaProbes.LISTING_TIME.inWholeMilliseconds)
        assertAll(
            trials.map { (case, trial) ->
                val expected = listOf(case.outlived?.let { "$OUTLIVED $it" } ?: ENDED, SETTLED)
                val check = {
                    trial.results.forEach { assertEquals(expected, it.sorted(), case.name) }
                    if (case.outlived != null) assertEquals(trial.connections, trial.tried.toLong(), case.name)
                    assertTrue(trial.connections <= MAX_CONNECTIONS, "${case.name}: ${trial.connections} connections")
                }
                check
            },
        )
        trials.values.forEach { it.close() }
    }

    /** Guards against responses without a length that count as answers though their replica has crashed. */
    @Test
    fun aReplicaIsConfirmedOnceItHasLivedOnAndWithFewConnections() {
        val results = List(CONFIRMATIONS) { CopyOnWriteArrayList<String>() }
        val changes = listOf<Triple<String, List<String>, (Trial) -> Unit>>(
            Triple("it lives", listOf(ALIVE)) {},
            Triple("it lives, and ends a second later", listOf(ALIVE)) { it.server.closeAfter(1.seconds) },
            Triple("it refuses connections", listOf(ENDED)) { it.server.close() },
            Triple("it refuses connections after 20 ms", listOf(ENDED)) { it.server.closeAfter(20.milliseconds) },
            Triple("it refuses connections after 120 ms", emptyList()) { it.server.closeAfter(120.milliseconds) },
            Triple("its next incarnation is listed", listOf(ENDED)) { it.listNextIncarnation() },
            Triple("it is not reached", emptyList()) { it.block() },
        )
        val checks = changes.map { (name, expected, change) ->
            {
                results.forEach { it.clear() }
                Trial().use { trial ->
                    trial.list(trial.replica)
                    change(trial)
                    results.forEach { trial.confirm(it) }
                    Thread.sleep(TIME_TO_DECIDE.inWholeMilliseconds)
                    results.forEach { assertEquals(expected, it.toList(), name) }
                    val allowed = if (ENDED in expected) CONFIRMATIONS else MAX_QUIET_CONNECTIONS
                    assertTrue(trial.connections <= allowed, "$name: ${trial.connections} connections")
                }
            }
        }
        assertAll(checks)
    }

    private companion object {
        const val ALIVE = "alive"
        const val CONFIRMATIONS = 10

        /** At once, and 50 and 150 ms later. */
        const val MAX_QUIET_CONNECTIONS = 3
        const val BACKLOG = 100

        /** One each 10 ms, 20 ms and so on within the second for which a replica is watched. */
        const val MAX_CONNECTIONS = 8
        const val ENDED = "ended"
        const val OUTLIVED = "outlived"
        const val SETTLED = "settled"

        /** Longer than replicas are watched. */
        val TIME_TO_DECIDE = 1500.milliseconds
    }
}
