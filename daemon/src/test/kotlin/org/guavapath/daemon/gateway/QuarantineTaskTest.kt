package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.guavapath.core.fleet.PromptPart
import org.guavapath.core.fleet.PromptShape
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.VmId
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quarantine.CrashStage
import org.guavapath.core.quarantine.PartKey
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.platform.wire.SampleFleet
import java.util.concurrent.Callable
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class QuarantineTaskTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher())
    private val store = MemoryStore(SampleFleet("127.0.0.1:1"))
    private val log = GatewayLog()
    private val gateways = HashMap<VmId, QuarantineTask>()
    private val prompt =
        PromptShape(ModelName("model"), 20, 10, listOf(PromptPart("shared", 10), PromptPart("own", 10)))

    /** Delivers messages to the gateways that are linked. */
    private inner class Links(private val self: VmId, private val linked: () -> Set<VmId>) : GatewayPeers {
        override fun broadcast(message: PeerMessage) = linked().forEach { send(it, message) }

        override fun send(to: VmId, message: PeerMessage) {
            if (to !in linked() || message !is PeerMessage.PromptCrashes) return
            loop.execute { gateways[to]?.received(self, message) }
        }
    }

    private fun start(name: String, linked: () -> Set<VmId> = { emptySet() }): QuarantineTask {
        val vm = VmId(name)
        val fleet = FleetState(FailureDomainName("domain"), MonotonicTime.now(), isFirstStart = false)
        val stored = StoredCrashReports(EraTrackingStore(CountingStore(store), log), isFirstStart = false, log)
        val task = QuarantineTask(fleet, Links(vm, linked), stored, log)
        gateways[vm] = task
        scope.launch { task.run(scope) }
        return task
    }

    private fun report(task: QuarantineTask) = onLoop {
        val parts = PartKey.sharedPartsOf(prompt)
        val replica = ReplicaId("replica")
        val at = MonotonicTime.now()
        task.report(CrashReport(replica, 1, RequestId("1"), at, CrashStage.BEFORE_FIRST_EVENT, parts))
    }

    private fun <T> onLoop(block: () -> T): T = loop.submit(Callable { block() }).get(5, TimeUnit.SECONDS)

    private fun awaitQuarantine(task: QuarantineTask, name: String) {
        val until = TimeSource.Monotonic.markNow() + TIMEOUT
        while (!onLoop { task.isQuarantined(prompt) }) {
            assertTrue(until.hasNotPassedNow(), name)
            Thread.sleep(POLL.inWholeMilliseconds)
        }
    }

    @AfterTest
    fun stop() {
        scope.cancel()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    /** Guards against crashing replicas again after all gateways were killed at once. */
    @Test
    fun aGatewayThatStartsAloneReadsTheReportsFromTheStore() {
        report(start("vm-1"))
        val until = TimeSource.Monotonic.markNow() + TIMEOUT
        while (store.list(StoredCrashReports.KIND).objects.isEmpty() && until.hasNotPassedNow()) {
            Thread.sleep(POLL.inWholeMilliseconds)
        }
        awaitQuarantine(start("vm-2"), "read from the store")
    }

    /** Guards against crashing replicas again through a gateway that restarts or was cut off. */
    @Test
    fun aGatewayReceivesTheReportsWhenItLinks() {
        val everyone = setOf(VmId("vm-1"), VmId("vm-2"))
        var linked = emptySet<VmId>()
        val first = start("vm-1") { linked }
        val second = start("vm-2") { linked }
        report(first)
        linked = everyone
        onLoop { second.linked(VmId("vm-1")) }
        awaitQuarantine(second, "received from a peer")
    }

    private companion object {
        val TIMEOUT = 5.seconds
        val POLL = 10.milliseconds
    }
}
