package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.placement.ReplicaRegistry
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

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

    /** A replica that listens and is listed, and what is found out of it for each inquiry. */
    private inner class Trial(val case: Case) : AutoCloseable {
        val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
        private val replica = replicaAt(server.localPort)
        private val listed = ReplicaRegistry()
        private val probes = ReplicaProbes(loop, ReplicaPool(loop), listed)
        val results = List(case.inquiries) { CopyOnWriteArrayList<String>() }

        fun start() {
            list(replica)
            case.change(this@ReplicaProbesTest, this)
            results.forEach { loop.submit { probes.examine(replica, { it += ENDED }, { it += SETTLED }) }.get() }
        }

        fun listNextIncarnation() = list(replica.copy(startedAt = replica.startedAt + 1))

        private fun list(entry: Replica) {
            loop.submit { listed.update(listOf(entry)) }.get()
        }

        override fun close() = server.close()
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
        val trials = cases.map { Trial(it) }
        trials.forEach { it.start() }
        Thread.sleep(TIME_TO_DECIDE.inWholeMilliseconds)
        trials.forEach { trial ->
            val expected = if (trial.case.hasEnded) listOf(ENDED, SETTLED) else listOf(SETTLED)
            trial.results.forEach { assertEquals(expected, it.sorted(), "${trial.case.name}: $it") }
            trial.close()
        }
    }

    private companion object {
        const val BACKLOG = 100
        const val ENDED = "ended"
        const val SETTLED = "settled"

        /** Longer than replicas are watched. */
        val TIME_TO_DECIDE = 1500.milliseconds
    }
}
